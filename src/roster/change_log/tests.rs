use super::ChangeLog;
use super::Entry;
use super::GROWTH_TICKS;
use super::Group;
use super::Interest;
use super::News;
use super::Subject;
use crate::id;
use crate::roster::slice::Level;
use crate::roster::slice::Position;

fn subject(nth: usize) -> Subject {
    Subject::Upstream(format!("u{nth}").parse().unwrap())
}

fn entry(revision: u64, is_withdrawal: bool) -> Entry {
    Entry { group: group("here"), revision, is_gone: false, is_withdrawal }
}

fn group(region: &str) -> Group {
    Group::Upstreams(Some(region.parse().unwrap()), "s".to_owned())
}

fn interest(region: Option<&str>) -> Interest {
    let vm: id::Vm = "follower".parse().unwrap();
    let region = region.map(|region| region.parse().unwrap());
    Interest { position: Position::of_vm(&vm), region }
}

/// A log with that many upstreams that have been there for some time.
fn stable(count: usize) -> ChangeLog {
    let mut log = ChangeLog::default();
    for nth in 0..count {
        log.record(subject(nth), &entry(nth as u64 + 1, false), None);
    }
    log.settle();
    log
}

#[test]
fn withdrawals_come_before_additions_and_other_regions_are_left_out() {
    let mut log = stable(10);
    assert_eq!(log.news(&interest(None), 10), News::None);
    assert_eq!(log.news(&interest(None), 4), News::Additions(5));
    assert_eq!(log.news(&interest(Some("there")), 4), News::None);
    log.record(subject(3), &entry(11, true), Some(&entry(4, false)));
    assert_eq!(log.news(&interest(Some("here")), 10), News::Withdrawals);
    assert_eq!(log.changes(&interest(None), 9, 9).len(), 2, "an upstream has one place in the log");
    assert_eq!(log.changes(&interest(None), 0, 3).len(), 3);
}

// Guards against sending every VM each upstream of a starting fleet before it is divided.
#[test]
fn new_members_of_a_growing_group_are_deferred_until_it_is_stable() {
    let mut log = stable(200);
    assert!(!log.defer(&subject(200), &group("here")), "one more is no growth");
    for nth in 200..400 {
        if !log.defer(&subject(nth), &group("here")) {
            log.record(subject(nth), &entry(nth as u64 + 1, false), None);
        }
    }
    assert!(log.defer(&subject(400), &group("here")));
    let mut lacking = Vec::new();
    for tick in 0..=GROWTH_TICKS {
        lacking = log.adapt(1000 + tick as u64);
        if !lacking.is_empty() {
            assert!(tick >= GROWTH_TICKS - 1, "the group still grows");
            break;
        }
    }
    assert!(lacking.contains(&subject(400)), "deferred members are sent in the end");
}

// Guards against VMs that know too few upstreams because a service is spread over too many VMs.
#[test]
fn members_of_an_undersized_group_are_not_deferred() {
    let mut log = ChangeLog::default();
    for nth in 0..100 {
        assert!(!log.defer(&subject(nth), &group("here")));
        log.record(subject(nth), &entry(nth as u64 + 1, false), None);
    }
}

// Guards against a follower that lacks the other half of a shard after two shards were merged.
#[test]
fn merged_shards_are_sent_anew() {
    let mut log = stable(300);
    assert!(log.adapt(301).is_empty());
    let region = "here".parse().unwrap();
    assert_eq!(log.scope().upstream_level(&region, "s"), Level::new(1));
    assert!(log.changes(&interest(None), 0, 1000).len() < 300);
    for nth in 0..150 {
        log.remove(&subject(nth), &entry(nth as u64 + 1, false));
    }
    log.settle();
    assert_eq!(log.adapt(302).len(), 150);
    assert_eq!(log.scope().upstream_level(&region, "s"), Level::WHOLE);
    assert_eq!(log.changes(&interest(None), 0, 1000).len(), 150);
}
