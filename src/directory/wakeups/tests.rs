use super::Wakeups;
use crate::id;
use crate::roster::slice::Level;
use crate::roster::slice::Position;
use crate::roster::table::Touched;

fn position(nth: usize) -> Position {
    let vm: id::Vm = format!("vm-{nth}").parse().unwrap();
    Position::of_vm(&vm)
}

// Guards against waking all followers for each change, of which most concern only one shard.
#[test]
fn change_wakes_the_followers_of_its_shard() {
    let wakeups = Wakeups::new();
    let followers: Vec<_> =
        (0..400).map(|nth| (position(nth), wakeups.subscribe(position(nth)))).collect();
    for level in [Level::WHOLE, Level::new(2), Level::new(9)] {
        let mut followers = followers.clone();
        for (_, woken) in &mut followers {
            woken.mark_unchanged();
        }
        wakeups.wake(&Touched { all: false, shards: vec![(level, position(7))] });
        for (follower, woken) in &followers {
            let is_concerned = level.joins(*follower, position(7));
            let has_changed = woken.has_changed().unwrap();
            assert!(has_changed || !is_concerned, "a follower misses a change");
            assert!(!has_changed || level.bits() > 6 || is_concerned, "woken in vain");
        }
    }
}
