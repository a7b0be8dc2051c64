use std::fs;

use super::Copy;
use super::ROUTING;
use crate::log;
use crate::routing::state::Replicated;
use crate::unit::Version;

fn state(revision: u64) -> Replicated {
    Replicated { revision: Version::new(revision), ..Replicated::default() }
}

#[test]
fn the_last_state_is_there_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let copy = Copy::<Replicated>::new(&folder.path().join("data"), ROUTING);
    assert_eq!(copy.load(&log::silent()), None);
    copy.save(&state(3), &log::silent());
    copy.save(&state(4), &log::silent());
    assert_eq!(copy.load(&log::silent()), Some(state(4)));
}

// Power is lost while the copy is written, and a part of it is on the disk. The daemon must start without it.
#[test]
fn a_torn_copy_is_none() {
    let folder = tempfile::tempdir().unwrap();
    let copy = Copy::<Replicated>::new(folder.path(), ROUTING);
    copy.save(&state(3), &log::silent());
    let path = folder.path().join(ROUTING);
    let bytes = fs::read(&path).unwrap();
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        assert_eq!(copy.load(&log::silent()), None, "{length} of {}", bytes.len());
    }
}
