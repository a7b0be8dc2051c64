use yare::parameterized;

use crate::decide::route::prefix::CacheChange;
use crate::decide::route::prefix::CacheEvent;
use crate::decide::route::prefix::Index;
use crate::unit::Incarnation;

fn event(incarnation: u64, sequence: u64, change: CacheChange) -> CacheEvent {
    CacheEvent { incarnation: Incarnation::new(incarnation), sequence, change }
}

// Guards against trusting an index with lost events over a current one, and against discarding it.
#[test]
fn a_gap_makes_stale_and_blocks_nothing() {
    let mut index = Index::default();
    index.apply(0, &event(1, 1, CacheChange::Stored(vec![10])));
    index.apply(0, &event(1, 3, CacheChange::Stored(vec![11])));
    assert!(index.is_stale(0));
    assert_eq!(index.holders(&[10]), [0]);
    index.apply(1, &event(1, 1, CacheChange::Stored(vec![10])));
    assert_eq!(index.holders(&[10]), [1]);
    index.apply(0, &event(1, 4, CacheChange::Reset(vec![10])));
    let mut holders = index.holders(&[10]);
    holders.sort_unstable();
    assert_eq!(holders, [0, 1]);
    assert!(index.holders(&[11]).is_empty());
}

#[parameterized(
    late = { 1, 2 },
    doubled = { 1, 3 },
    from_an_older_start = { 0, 9 },
)]
fn old_events_change_nothing(incarnation: u64, sequence: u64) {
    let mut index = Index::default();
    for sequence in 1..=3 {
        index.apply(0, &event(1, sequence, CacheChange::Stored(vec![sequence])));
    }
    index.apply(0, &event(incarnation, sequence, CacheChange::Removed(vec![2])));
    assert_eq!(index.holders(&[2]), [0]);
}

#[test]
fn a_new_start_holds_nothing() {
    let mut index = Index::default();
    index.apply(0, &event(1, 1, CacheChange::Stored(vec![1])));
    index.apply(0, &event(2, 1, CacheChange::Stored(vec![2])));
    assert!(index.holders(&[1]).is_empty());
    assert_eq!(index.holders(&[1, 2]), [0]);
}

#[test]
fn the_longest_prefix_decides() {
    let mut index = Index::default();
    index.apply(0, &event(1, 1, CacheChange::Stored(vec![1])));
    index.apply(1, &event(1, 1, CacheChange::Stored(vec![1, 2])));
    assert_eq!(index.holders(&[1, 2, 3]), [1]);
}
