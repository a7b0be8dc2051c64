use std::time::Duration;

use tokio::time::Instant;

use super::Outcome;
use super::Table;
use super::Timeouts;
use crate::id;
use crate::roster::Announcement;
use crate::roster::Heartbeat;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::fixture;
use crate::unit::Slots;

const TIMEOUTS: Timeouts =
    Timeouts { upstream: Duration::from_secs(5), vm: Duration::from_secs(3) };

fn announcement(id: &str, port: u16, start_time_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        id: id.parse().unwrap(),
        stamp: Stamp::new(start_time_ms, sequence),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "a".parse().unwrap(),
        slots: Slots::new(8),
        standing: Standing::Ready,
        cold_left: Duration::ZERO,
        ends_in: None,
        models: Vec::new(),
    }
}

fn standing(table: &Table, id: &str) -> Standing {
    table.upstream(&id.parse().unwrap()).unwrap().standing
}

fn presence(vm: &str, start_time_ms: u64, sequence: u64) -> Presence {
    fixture::entry_vm(vm, "r", Stamp::new(start_time_ms, sequence))
}

#[tokio::test(start_paused = true)]
async fn only_relevant_changes_are_reported() {
    let now = Instant::now();
    let mut table = Table::new(TIMEOUTS);
    assert_eq!(table.apply_announcement(announcement("x", 1, 10, 1), now), Outcome::Changed);
    assert_eq!(table.apply_announcement(announcement("x", 1, 10, 2), now), Outcome::Renewed);
    assert_eq!(table.apply_announcement(announcement("x", 1, 10, 2), now), Outcome::Stale);
    let mut draining = announcement("x", 1, 10, 3);
    draining.standing = Standing::Draining;
    assert_eq!(table.apply_announcement(draining, now), Outcome::Changed);
    assert_eq!(table.apply_announcement(announcement("x", 1, 10, 2), now), Outcome::Stale);
    assert_eq!(standing(&table, "x"), Standing::Draining);
}

// Guards against a delayed check-in that undoes a departure, and against ignoring a restarted upstream, whose sequence
// numbers begin anew.
#[tokio::test(start_paused = true)]
async fn a_later_start_counts_from_the_beginning() {
    let now = Instant::now();
    let mut table = Table::new(TIMEOUTS);
    table.apply_announcement(announcement("x", 1, 10, 900), now);
    table.mark_gone(&"x".parse().unwrap(), Some(10), now);
    assert_eq!(table.apply_announcement(announcement("x", 1, 10, 901), now), Outcome::Stale);
    assert_eq!(standing(&table, "x"), Standing::Gone);
    assert_eq!(table.apply_announcement(announcement("x", 1, 20, 1), now), Outcome::Changed);
    assert_eq!(standing(&table, "x"), Standing::Ready);
    table.mark_gone(&"x".parse().unwrap(), Some(10), now);
    assert_eq!(standing(&table, "x"), Standing::Ready);
}

// Guards against a delayed check-in of a crashed upstream whose address belongs to another one now.
#[tokio::test(start_paused = true)]
async fn an_address_has_one_owner() {
    let now = Instant::now();
    let mut table = Table::new(TIMEOUTS);
    table.apply_announcement(announcement("old", 1, 10, 1), now);
    table.apply_announcement(announcement("new", 1, 20, 1), now);
    assert_eq!(standing(&table, "old"), Standing::Gone);
    assert_eq!(table.apply_announcement(announcement("old", 1, 10, 2), now), Outcome::Stale);
    assert_eq!(table.apply_announcement(announcement("older", 1, 5, 2), now), Outcome::Stale);
    assert_eq!(standing(&table, "new"), Standing::Ready);
}

#[tokio::test(start_paused = true)]
async fn silence_is_reported_once_and_ends_with_a_record() {
    let now = Instant::now();
    let mut table = Table::new(TIMEOUTS);
    table.apply_announcement(announcement("x", 1, 10, 1), now);
    table.apply_presence(presence("vm", 10, 1), now);
    let later = now + Duration::from_secs(6);
    assert!(table.expire(later));
    assert!(!table.expire(later));
    let delta = table.delta(table.revision() - 2, later).unwrap();
    assert!(delta.upstreams[0].silent && delta.vms[0].silent);
    assert_eq!(table.live_vms().count(), 0);
    assert_eq!(table.apply_announcement(announcement("x", 1, 10, 2), later), Outcome::Changed);
    assert_eq!(table.apply_presence(presence("vm", 10, 2), later), Outcome::Changed);
    assert_eq!(table.live_vms().count(), 1);
}

// Guards against a follower that keeps a removed upstream because it was disconnected when the removal was sent.
#[tokio::test(start_paused = true)]
async fn follower_behind_the_oldest_delta_gets_the_full_table() {
    let now = Instant::now();
    let mut table = Table::new(TIMEOUTS);
    table.apply_announcement(announcement("x", 1, 10, 1), now);
    let seen = table.revision();
    table.apply_announcement(announcement("y", 2, 10, 1), now);
    assert!(!table.delta(seen, now).unwrap().is_full);
    table.mark_gone(&"x".parse().unwrap(), None, now);
    table.expire(now + Duration::from_secs(61));
    table.apply_announcement(announcement("y", 2, 10, 2), now + Duration::from_secs(61));
    let delta = table.delta(seen, now + Duration::from_secs(61)).unwrap();
    assert!(delta.is_full);
    let left: Vec<&id::Upstream> =
        delta.upstreams.iter().map(|observed| &observed.record.id).collect();
    assert_eq!(left.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn remaining_durations_shrink_before_they_are_sent() {
    let now = Instant::now();
    let mut table = Table::new(TIMEOUTS);
    let mut cold = announcement("x", 1, 10, 1);
    cold.cold_left = Duration::from_secs(3);
    table.apply_announcement(cold, now);
    let delta = table.delta(0, now + Duration::from_secs(1)).unwrap();
    assert_eq!(delta.upstreams[0].record.cold_left, Duration::from_secs(2));
}

// Guards against refusing requests after a restart of all control VMs until upstreams check in again. Upstreams that
// ended or left in the meantime must not come back.
#[tokio::test(start_paused = true)]
async fn upstreams_are_there_again_after_a_restart_until_they_are_silent() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut before = Table::new(TIMEOUTS);
    for (name, host) in [("well", 1), ("ended", 2), ("left", 3)] {
        before.apply_announcement(announcement(name, host, 10, 4), now);
    }
    before.mark_gone(&"left".parse().unwrap(), None, now);
    let mut after = Table::new(TIMEOUTS);
    after.restore(before.observed_upstreams(now), Duration::from_secs(2), now);
    assert_eq!(after.upstreams().count(), 2);
    assert_eq!(after.apply_announcement(announcement("left", 3, 10, 5), now), Outcome::Stale);
    let later = now + Duration::from_secs(1);
    assert_eq!(after.apply_announcement(announcement("well", 1, 10, 5), later), Outcome::Renewed);
    after.expire(now + Duration::from_millis(2100));
    let left: Vec<&str> = after.upstreams().map(|upstream| upstream.id.as_str()).collect();
    assert_eq!(left, ["well"]);
}

fn heartbeat(record: &Announcement, sequence: u64) -> Heartbeat {
    Heartbeat { digest: record.digest(), sequence }
}

#[tokio::test(start_paused = true)]
async fn heartbeat_renews_a_known_record() {
    let start = Instant::now();
    let mut table = Table::new(TIMEOUTS);
    let first = announcement("x", 1, 10, 1);
    table.apply_announcement(first.clone(), start);
    let later = start + TIMEOUTS.upstream - Duration::from_secs(1);
    let revision = table.revision();
    assert!(table.apply_heartbeats(&[heartbeat(&first, 2)], later).unknown.is_empty());
    assert!(!table.expire(later + Duration::from_secs(2)));
    assert_eq!(table.revision(), revision);
    assert_eq!(table.apply_announcement(announcement("x", 1, 10, 2), later), Outcome::Stale);
}

// Guards against renewing an outdated record: a VM that missed the draining record must request it.
#[tokio::test(start_paused = true)]
async fn heartbeat_of_an_unknown_record_is_reported() {
    let now = Instant::now();
    let (mut table, mut other) = (Table::new(TIMEOUTS), Table::new(TIMEOUTS));
    table.apply_announcement(announcement("x", 1, 10, 1), now);
    let mut draining = announcement("x", 1, 10, 2);
    draining.standing = Standing::Draining;
    other.apply_announcement(draining.clone(), now);
    let unknown = table.apply_heartbeats(&[heartbeat(&draining, 3)], now).unknown;
    assert_eq!(unknown, [draining.digest()]);
    assert_eq!(standing(&table, "x"), Standing::Ready);
    let (upstreams, vms) = other.records(&unknown);
    assert!(vms.is_empty());
    for record in upstreams {
        assert_eq!(table.apply_announcement(record, now), Outcome::Changed);
    }
    assert_eq!(standing(&table, "x"), Standing::Draining);
    assert!(table.apply_heartbeats(&[heartbeat(&draining, 4)], now).unknown.is_empty());
}

#[tokio::test(start_paused = true)]
async fn heartbeat_revives_silent_subjects_but_not_gone_ones() {
    let start = Instant::now();
    let mut table = Table::new(TIMEOUTS);
    let first = announcement("x", 1, 10, 1);
    table.apply_announcement(first.clone(), start);
    table.apply_presence(presence("v", 10, 1), start);
    let later = start + TIMEOUTS.upstream * 2;
    assert!(table.expire(later));
    let heartbeats =
        [heartbeat(&first, 2), Heartbeat { digest: presence("v", 10, 1).digest(), sequence: 2 }];
    assert!(table.apply_heartbeats(&heartbeats, later).has_changes);
    assert_eq!((table.upstreams().count(), table.live_vms().count()), (1, 1));
    table.mark_gone(&first.id, None, later);
    assert!(!table.apply_heartbeats(&[heartbeat(&first, 9)], later).has_changes);
    assert_eq!(standing(&table, "x"), Standing::Gone);
}

#[test]
fn digest_changes_with_the_record_but_not_its_sequence() {
    let first = announcement("x", 1, 10, 1);
    assert_eq!(first.digest(), announcement("x", 1, 10, 2).digest());
    let mut others =
        vec![announcement("y", 1, 10, 1), announcement("x", 2, 10, 1), announcement("x", 1, 11, 1)];
    others.push(Announcement { service: "t".to_owned(), ..first.clone() });
    others.push(Announcement { slots: Slots::new(9), ..first.clone() });
    others.push(Announcement { standing: Standing::Draining, ..first.clone() });
    others.push(Announcement { data_centre: "b".parse().unwrap(), ..first.clone() });
    assert!(others.iter().all(|other| other.digest() != first.digest()));
}
