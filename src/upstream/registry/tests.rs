use std::time::Duration;

use tokio::time::Instant;
use yare::parameterized;

use super::LEASE;
use super::Outcome;
use super::Registry;
use super::State;
use super::Update;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Slots;
use crate::upstream::Announcement;
use crate::upstream::Kind;
use crate::upstream::Role;

fn id() -> id::Upstream {
    "engine-1".parse().unwrap()
}

fn vm() -> id::Vm {
    "vm-1".parse().unwrap()
}

fn registry() -> Registry {
    Registry::new(vm())
}

fn announcement(incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        id: id(),
        address: "127.0.0.1:9".parse().unwrap(),
        region: "gulf".parse().unwrap(),
        data_centre: "gulf-a".parse().unwrap(),
        kind: Kind::Engine,
        slots: Slots::new(4),
        models: ["storm".parse().unwrap()].into(),
        adapters: [].into(),
        versions: [].into(),
        role: Role::Mixed,
        incarnation: Incarnation::new(incarnation),
        checks_fence: false,
        sequence,
    }
}

// An upstream leaves, but a renewal that it sent before arrives after. The caller would see requests fail on a
// process that has gone; the renewal must change nothing, whichever way round and from whichever VM they come.
#[parameterized(
    late = { 1, 7, false },
    reordered = { 1, 99, false },
    older_incarnation = { 0, 99, false },
    new_start = { 2, 1, true },
)]
fn leaving_beats_renewals(incarnation: u64, sequence: u64, lives: bool) {
    let now = Instant::now();
    for told in [false, true] {
        let mut registry = registry();
        registry.announce(announcement(1, 7), now);
        registry.leave(&id(), Incarnation::new(1), now);
        let renewal = announcement(incarnation, sequence);
        if told {
            registry.merge(
                Update::Announced { announcement: renewal, host: vm(), remaining: LEASE },
                now,
            );
        } else {
            registry.announce(renewal, now);
        }
        assert_eq!(registry.live(now).count() == 1, lives);
    }
}

// The leaving overtakes the announcement itself on its way to another VM: that VM must not take it as new.
#[test]
fn leaving_before_the_announcement() {
    let now = Instant::now();
    let mut registry = registry();
    registry.merge(Update::Left { id: id(), incarnation: Incarnation::new(1) }, now);
    assert_eq!(registry.announce(announcement(1, 1), now), Outcome::Stale);
    assert_eq!(registry.live(now).count(), 0);
}

// An upstream dies without a word while two VMs go on telling each other of its last renewal. Unless an echo
// prolongs nothing, it would stay listed for good and each caller routed to it would wait for a timeout.
#[test]
fn echoes_keep_nothing_alive() {
    let start = Instant::now();
    let (mut one, mut two) = (registry(), registry());
    one.announce(announcement(1, 1), start);
    for second in 0..10 {
        let now = start + Duration::from_secs(second);
        for update in one.changed_since(0, now) {
            two.merge(update, now);
        }
        for update in two.changed_since(0, now) {
            one.merge(update, now);
        }
        one.expire(now);
        two.expire(now);
    }
    let end = start + Duration::from_secs(10);
    assert_eq!(one.live(end).count() + two.live(end).count(), 0);
    assert_eq!(one.get(&id()).unwrap().state, State::Expired);
}

#[test]
fn an_expired_upstream_comes_back_by_a_newer_renewal_only() {
    let start = Instant::now();
    let mut registry = registry();
    registry.announce(announcement(1, 5), start);
    let later = start + LEASE;
    assert_eq!(registry.expire(later), [id()]);
    assert_eq!(registry.announce(announcement(1, 5), later), Outcome::Stale);
    assert_eq!(registry.announce(announcement(1, 6), later), Outcome::Appeared);
    assert_eq!(registry.live(later).count(), 1);
}

#[test]
fn a_plain_renewal_spreads_in_short() {
    let now = Instant::now();
    let mut registry = registry();
    registry.announce(announcement(1, 1), now);
    let mark = registry.changes();
    assert_eq!(registry.changed_since(mark, now), []);
    assert_eq!(registry.announce(announcement(1, 2), now), Outcome::Renewed);
    assert!(matches!(registry.changed_since(mark, now)[..], [Update::Renewed { sequence: 2, .. }]));
    let mut altered = announcement(1, 3);
    altered.slots = Slots::new(8);
    assert_eq!(registry.announce(altered, now), Outcome::Altered);
    assert!(matches!(registry.changed_since(mark, now)[..], [Update::Announced { .. }]));
}
