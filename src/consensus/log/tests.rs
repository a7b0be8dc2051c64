use super::*;
use crate::unit::Term;

fn at(index: u64, term: u64) -> Position {
    Position::new(Index::new(index), Term::new(term))
}

fn entry(index: u64, term: u64) -> Entry {
    Entry::new(at(index, term), Payload::Empty)
}

fn log(terms: &[u64]) -> Log {
    let entries = terms.iter().zip(1..).map(|(&term, index)| entry(index, term));
    Log::new(Snapshot::default(), entries.collect())
}

#[test]
fn conflicting_entries_are_replaced_and_persisted_again() {
    let mut log = log(&[1, 1, 2]);
    log.merge(vec![entry(2, 1), entry(3, 3), entry(4, 3)]);
    let write = log.take_write().expect("the log changed");
    assert_eq!(
        (write.truncate, write.entries),
        (Some(Index::new(3)), vec![entry(3, 3), entry(4, 3)])
    );
    assert_eq!((log.last(), log.synced()), (at(4, 3), Index::new(2)));
    log.mark_persisted(write.sequence);
    assert_eq!(log.synced(), Index::new(4));
}

/// Guards against counting unpersisted entries: a truncation while a write is in flight limits what
/// its confirmation covers.
#[test]
fn a_confirmed_write_covers_only_entries_still_in_the_log() {
    let mut log = log(&[1]);
    log.merge(vec![entry(2, 1), entry(3, 1), entry(4, 1)]);
    let first = log.take_write().expect("three entries");
    log.merge(vec![entry(2, 2), entry(3, 2)]);
    let second = log.take_write().expect("two entries");
    log.mark_persisted(first.sequence);
    assert_eq!(log.synced(), Index::new(1));
    log.mark_persisted(second.sequence);
    assert_eq!(log.synced(), Index::new(3));
}

/// Guards against keeping conflicting entries after a crash between persisting a fetched snapshot
/// and resetting the log.
#[test]
fn entries_that_a_snapshot_replaced_are_dropped_on_restart() {
    let snapshot = Snapshot { position: at(2, 3), members: Members::default() };
    let log = Log::new(snapshot, vec![entry(1, 1), entry(2, 1), entry(3, 1)]);
    assert_eq!((log.last(), log.first()), (at(2, 3), Index::new(3)));
}

#[test]
fn compaction_keeps_a_tail_for_slow_followers() {
    let mut log = log(&[1; 10]);
    assert_eq!(log.compact(Index::new(8), 3, usize::MAX), Some(Index::new(5)));
    assert_eq!((log.first(), log.last()), (Index::new(6), at(10, 1)));
    assert!(log.matches(at(4, 1)) && log.position(Index::new(4)).is_none());
}

#[test]
fn a_slice_has_one_entry_at_least() {
    let log = log(&[1, 1, 1]);
    assert_eq!(log.slice(Index::new(2), Index::new(3), 0), vec![entry(2, 1)]);
    assert_eq!(log.slice(Index::new(2), Index::new(3), usize::MAX).len(), 2);
}
