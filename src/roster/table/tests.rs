use std::time::Duration;

use tokio::time::Instant;

use super::Patience;
use super::Table;
use super::Taken;
use crate::id;
use crate::roster::Announcement;
use crate::roster::Heartbeat;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::unit::Slots;
use crate::wire::Role;

const PATIENCE: Patience =
    Patience { upstream: Duration::from_secs(5), vm: Duration::from_secs(3) };

fn said(id: &str, port: u16, born: u64, sequence: u64) -> Announcement {
    Announcement {
        id: id.parse().unwrap(),
        stamp: Stamp::new(born, sequence),
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

fn presence(vm: &str, born: u64, sequence: u64) -> Presence {
    Presence {
        vm: vm.parse().unwrap(),
        role: Role::Entry,
        stamp: Stamp::new(born, sequence),
        nonce: 1,
        region: "r".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        standing: Standing::Ready,
        ready: true,
        callers: None,
        forwards: None,
        links: None,
    }
}

#[tokio::test(start_paused = true)]
async fn only_what_matters_is_news() {
    let now = Instant::now();
    let mut table = Table::new(PATIENCE);
    assert_eq!(table.announce(said("x", 1, 10, 1), now), Taken::News);
    assert_eq!(table.announce(said("x", 1, 10, 2), now), Taken::Still);
    assert_eq!(table.announce(said("x", 1, 10, 2), now), Taken::Stale);
    let mut draining = said("x", 1, 10, 3);
    draining.standing = Standing::Draining;
    assert_eq!(table.announce(draining, now), Taken::News);
    assert_eq!(table.announce(said("x", 1, 10, 2), now), Taken::Stale);
    assert_eq!(standing(&table, "x"), Standing::Draining);
}

// An upstream says that it drains; an older check-in that was held up arrives after it. If it counted, requests would
// go on to an upstream that is about to end.
// The same upstream then starts anew under its old name, and its counts begin from the start.
#[tokio::test(start_paused = true)]
async fn a_later_start_counts_from_the_beginning() {
    let now = Instant::now();
    let mut table = Table::new(PATIENCE);
    table.announce(said("x", 1, 10, 900), now);
    table.leave(&"x".parse().unwrap(), Some(10), now);
    assert_eq!(table.announce(said("x", 1, 10, 901), now), Taken::Stale);
    assert_eq!(standing(&table, "x"), Standing::Gone);
    assert_eq!(table.announce(said("x", 1, 20, 1), now), Taken::News);
    assert_eq!(standing(&table, "x"), Standing::Ready);
    table.leave(&"x".parse().unwrap(), Some(10), now);
    assert_eq!(standing(&table, "x"), Standing::Ready);
}

// An upstream crashes, another one takes its address, and then a check-in of the first arrives that a cut had held
// up. If it counted, requests would be sent to the address for a service that is not there any more.
#[tokio::test(start_paused = true)]
async fn an_address_has_one_owner() {
    let now = Instant::now();
    let mut table = Table::new(PATIENCE);
    table.announce(said("old", 1, 10, 1), now);
    table.announce(said("new", 1, 20, 1), now);
    assert_eq!(standing(&table, "old"), Standing::Gone);
    assert_eq!(table.announce(said("old", 1, 10, 2), now), Taken::Stale);
    assert_eq!(table.announce(said("older", 1, 5, 2), now), Taken::Stale);
    assert_eq!(standing(&table, "new"), Standing::Ready);
}

#[tokio::test(start_paused = true)]
async fn silence_is_noted_once_and_ends_with_a_word() {
    let now = Instant::now();
    let mut table = Table::new(PATIENCE);
    table.announce(said("x", 1, 10, 1), now);
    table.meet(presence("vm", 10, 1), now);
    let later = now + Duration::from_secs(6);
    assert!(table.expire(later));
    assert!(!table.expire(later));
    let delta = table.delta(table.revision() - 2, later).unwrap();
    assert!(delta.upstreams[0].silent && delta.vms[0].silent);
    assert_eq!(table.present().count(), 0);
    assert_eq!(table.announce(said("x", 1, 10, 2), later), Taken::News);
    assert_eq!(table.meet(presence("vm", 10, 2), later), Taken::News);
    assert_eq!(table.present().count(), 1);
}

// What left is forgotten after a minute. A follower that was away for longer would keep it for ever if it were only
// told what is there, so it gets everything.
#[tokio::test(start_paused = true)]
async fn a_follower_behind_the_memory_gets_everything() {
    let now = Instant::now();
    let mut table = Table::new(PATIENCE);
    table.announce(said("x", 1, 10, 1), now);
    let seen = table.revision();
    table.announce(said("y", 2, 10, 1), now);
    assert!(!table.delta(seen, now).unwrap().whole);
    table.leave(&"x".parse().unwrap(), None, now);
    table.expire(now + Duration::from_secs(61));
    table.announce(said("y", 2, 10, 2), now + Duration::from_secs(61));
    let delta = table.delta(seen, now + Duration::from_secs(61)).unwrap();
    assert!(delta.whole);
    let left: Vec<&id::Upstream> = delta.upstreams.iter().map(|fact| &fact.said.id).collect();
    assert_eq!(left.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn spans_of_time_age_until_they_are_passed_on() {
    let now = Instant::now();
    let mut table = Table::new(PATIENCE);
    let mut cold = said("x", 1, 10, 1);
    cold.cold_left = Duration::from_secs(3);
    table.announce(cold, now);
    let delta = table.delta(0, now + Duration::from_secs(1)).unwrap();
    assert_eq!(delta.upstreams[0].said.cold_left, Duration::from_secs(2));
}

// All control VMs lose power and come back. Upstreams check in once a second or so; until then, every request would be
// refused although no upstream has ended. Those that did end meanwhile must not stay, and what has left stays away.
#[tokio::test(start_paused = true)]
async fn upstreams_are_there_again_after_a_restart_until_they_are_silent() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut before = Table::new(PATIENCE);
    for (name, host) in [("well", 1), ("ended", 2), ("left", 3)] {
        before.announce(said(name, host, 10, 4), now);
    }
    before.leave(&"left".parse().unwrap(), None, now);
    let mut after = Table::new(PATIENCE);
    after.restore(before.facts(now), Duration::from_secs(2), now);
    assert_eq!(after.upstreams().count(), 2);
    assert_eq!(after.announce(said("left", 3, 10, 5), now), Taken::Stale);
    let later = now + Duration::from_secs(1);
    assert_eq!(after.announce(said("well", 1, 10, 5), later), Taken::Still);
    after.expire(now + Duration::from_millis(2100));
    let left: Vec<&str> = after.upstreams().map(|upstream| upstream.id.as_str()).collect();
    assert_eq!(left, ["well"]);
}

fn word(said: &Announcement, sequence: u64) -> Heartbeat {
    Heartbeat { digest: said.digest(), sequence }
}

#[tokio::test(start_paused = true)]
async fn a_short_word_renews_what_is_known() {
    let start = Instant::now();
    let mut table = Table::new(PATIENCE);
    let first = said("x", 1, 10, 1);
    table.announce(first.clone(), start);
    let later = start + PATIENCE.upstream - Duration::from_secs(1);
    let revision = table.revision();
    assert!(table.still_there(&[word(&first, 2)], later).unknown.is_empty());
    assert!(!table.expire(later + Duration::from_secs(2)));
    assert_eq!(table.revision(), revision);
    assert_eq!(table.announce(said("x", 1, 10, 2), later), Taken::Stale);
}

// Guards against an upstream that is taken to be ready by a VM that missed its word that it drains.
#[tokio::test(start_paused = true)]
async fn a_short_word_about_another_statement_is_not_known() {
    let now = Instant::now();
    let (mut table, mut other) = (Table::new(PATIENCE), Table::new(PATIENCE));
    table.announce(said("x", 1, 10, 1), now);
    let mut draining = said("x", 1, 10, 2);
    draining.standing = Standing::Draining;
    other.announce(draining.clone(), now);
    let unknown = table.still_there(&[word(&draining, 3)], now).unknown;
    assert_eq!(unknown, [draining.digest()]);
    assert_eq!(standing(&table, "x"), Standing::Ready);
    let (upstreams, vms) = other.statements(&unknown);
    assert!(vms.is_empty());
    for said in upstreams {
        assert_eq!(table.announce(said, now), Taken::News);
    }
    assert_eq!(standing(&table, "x"), Standing::Draining);
    assert!(table.still_there(&[word(&draining, 4)], now).unknown.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_short_word_brings_back_who_was_silent_and_nobody_who_left() {
    let start = Instant::now();
    let mut table = Table::new(PATIENCE);
    let first = said("x", 1, 10, 1);
    table.announce(first.clone(), start);
    table.meet(presence("v", 10, 1), start);
    let later = start + PATIENCE.upstream * 2;
    assert!(table.expire(later));
    let words = [word(&first, 2), Heartbeat { digest: presence("v", 10, 1).digest(), sequence: 2 }];
    assert!(table.still_there(&words, later).is_news);
    assert_eq!((table.upstreams().count(), table.present().count()), (1, 1));
    table.leave(&first.id, None, later);
    assert!(!table.still_there(&[word(&first, 9)], later).is_news);
    assert_eq!(standing(&table, "x"), Standing::Gone);
}

#[test]
fn each_thing_that_is_said_makes_another_digest() {
    let first = said("x", 1, 10, 1);
    assert_eq!(first.digest(), said("x", 1, 10, 2).digest());
    let mut others = vec![said("y", 1, 10, 1), said("x", 2, 10, 1), said("x", 1, 11, 1)];
    others.push(Announcement { service: "t".to_owned(), ..first.clone() });
    others.push(Announcement { slots: Slots::new(9), ..first.clone() });
    others.push(Announcement { standing: Standing::Draining, ..first.clone() });
    others.push(Announcement { data_centre: "b".parse().unwrap(), ..first.clone() });
    assert!(others.iter().all(|other| other.digest() != first.digest()));
}
