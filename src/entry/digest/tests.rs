use std::collections::BTreeMap;
use std::time::Duration;

use super::merge;
use crate::decide::spill::Room;
use crate::id;
use crate::unit::Slots;

fn room(capacity: u64, used: u64, wait_ms: u64) -> BTreeMap<id::Model, Room> {
    let wait = Duration::from_millis(wait_ms);
    let room = Room { capacity: Slots::new(capacity), free: Slots::new(used), wait };
    BTreeMap::from([("m".parse().unwrap(), room)])
}

#[test]
fn what_each_vm_uses_is_taken_from_the_region_once() {
    let merged = merge(&[room(8, 3, 10), room(8, 2, 40)], 2);
    let room = merged[&"m".parse().unwrap()];
    assert_eq!((room.capacity.get(), room.free.get()), (8, 3));
    assert_eq!(room.wait, Duration::from_millis(40));
}

#[test]
fn vms_that_were_not_asked_count_as_the_others() {
    let merged = merge(&[room(100, 3, 10), room(100, 1, 10)], 20);
    assert_eq!(merged[&"m".parse().unwrap()].free.get(), 60);
}
