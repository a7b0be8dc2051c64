use std::fs;

use super::Cache;
use super::ROUTING_FILE;
use crate::log;
use crate::routing::state::Replicated;
use crate::unit::Version;

fn state(revision: u64) -> Replicated {
    Replicated { revision: Version::new(revision), ..Replicated::default() }
}

#[test]
fn the_last_saved_state_is_loaded() {
    let folder = tempfile::tempdir().unwrap();
    let cache = Cache::<Replicated>::new(&folder.path().join("data"), ROUTING_FILE);
    assert_eq!(cache.load(&log::silent()), None);
    cache.save(&state(3), &log::silent());
    cache.save(&state(4), &log::silent());
    assert_eq!(cache.load(&log::silent()), Some(state(4)));
}

// Guards against loading a file that a power failure has truncated.
#[test]
fn a_torn_copy_is_none() {
    let folder = tempfile::tempdir().unwrap();
    let cache = Cache::<Replicated>::new(folder.path(), ROUTING_FILE);
    cache.save(&state(3), &log::silent());
    let path = folder.path().join(ROUTING_FILE);
    let bytes = fs::read(&path).unwrap();
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        assert_eq!(cache.load(&log::silent()), None, "{length} of {}", bytes.len());
    }
}
