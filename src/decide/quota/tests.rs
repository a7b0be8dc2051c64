use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Balances;
use super::Count;
use super::Excess;
use super::Key;
use super::Lane;
use super::Meter;
use super::Part;
use crate::id;
use crate::routing::organisation::Allowance;
use crate::routing::organisation::Unit;
use crate::unit::Rate;

const RATE: f64 = 1000.0;
fn allowance() -> Allowance {
    Allowance { rate: Rate::per_second(RATE), burst: RATE, unit: Unit::Requests }
}

fn key() -> Key {
    Key::new(&"bank".parse().unwrap())
}

/// The lane of requests that cost one.
fn lane() -> Lane {
    Lane::new(key(), 1)
}

fn vm(nth: u64) -> id::Vm {
    format!("vm{nth}").parse().unwrap()
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn host() -> Balances {
    let mut host = Balances::new(1, Excess::default());
    host.set_allowances(HashMap::from([(key(), allowance())]));
    host
}

fn count(count: u64) -> Count {
    Count { asked: count, passed: count }
}

fn meter() -> Meter {
    Meter::new(SmallRng::seed_from_u64(1), Excess::default())
}

/// The part that a host has for the organisation; the whole where it names none.
fn part(host: &mut Balances, now: Instant) -> f64 {
    host.parts(key().shard(), now).unwrap_or_default().first().map_or(1.0, |(_, part)| part.get())
}

/// A host that one VM has told of so much a tenth of a second for that time.
fn told(host: &mut Balances, each: u64, tenths: u64, start: Instant) -> Instant {
    for nth in 0..tenths {
        let now = start + millis(100 * nth);
        let counts = [(lane(), count(each * nth))];
        host.take((&vm(1), key().shard()), (1, nth + 1), &counts, now);
    }
    start + millis(100 * tenths)
}

#[test]
fn who_asks_for_less_than_its_allowance_is_not_limited() {
    let mut host = host();
    let now = told(&mut host, 50, 50, Instant::now());
    assert!(host.parts(key().shard(), now).unwrap().is_empty());
}

#[test]
fn who_asks_for_four_times_its_allowance_gets_about_a_quarter() {
    let mut host = host();
    let start = Instant::now();
    let mut passed = 0.0;
    for nth in 1..100_u64 {
        let now = start + millis(100 * nth);
        passed += 400.0 * part(&mut host, now);
        let counts = [(lane(), Count { asked: 400 * nth, passed: passed as u64 })];
        host.take((&vm(1), key().shard()), (1, nth), &counts, now);
    }
    let now = start + millis(10_000);
    assert!((0.2..0.3).contains(&part(&mut host, now)), "{}", part(&mut host, now));
    assert!((9_000.0..12_500.0).contains(&passed), "{passed}");
}

// Guards against a region that goes on as if alone while it doesn't hear the others.
#[test]
fn a_region_that_is_not_heard_is_taken_to_go_on_as_before() {
    let (mut here, mut there) = (host(), host());
    let start = Instant::now();
    for nth in 0..30 {
        let now = start + millis(100 * nth);
        let counts = [(lane(), count(80 * nth))];
        here.take((&vm(1), key().shard()), (1, nth + 1), &counts, now);
        there.take((&vm(2), key().shard()), (2, nth + 1), &counts, now);
        let totals = there.totals(key().shard(), now).unwrap();
        here.take_totals((&vm(2), &"q".parse().unwrap()), &totals, now);
    }
    let mut now = start + millis(3000);
    assert!(part(&mut here, now) < 0.9);
    for nth in 30..60 {
        now = start + millis(100 * nth);
        here.take((&vm(1), key().shard()), (1, nth + 1), &[(lane(), count(80 * nth))], now);
    }
    assert!(part(&mut here, now) < 0.9, "the other region is forgotten while it is cut off");
}

// Guards against a VM next in line to host that replaces the host's sums by its own empty ones.
#[test]
fn only_a_host_that_vms_tell_tells_other_regions() {
    let (mut host, mut next) = (host(), host());
    let start = Instant::now();
    let region = "q".parse().unwrap();
    for nth in 0..20 {
        let now = start + millis(100 * nth);
        host.take((&vm(1), key().shard()), (1, nth + 1), &[(lane(), count(200 * nth))], now);
        let totals = host.totals(key().shard(), now).unwrap();
        next.take_totals((&vm(1), &region), &totals, now);
        assert!(next.totals(key().shard(), now).is_none());
    }
}

// Guards against a VM that lets the whole of an organisation's requests through once its host is gone.
#[test]
fn a_vm_keeps_the_part_that_it_was_told_last() {
    let mut meter = meter();
    meter.set_vms(10);
    let start = Instant::now();
    meter.admit(key(), &allowance(), 1, start).unwrap();
    meter.told(key().shard(), &[(lane(), Part::new(0.25))], start);
    let later = start + millis(3000);
    let passed = (0..400).filter(|_| meter.admit(key(), &allowance(), 1, later).is_ok()).count();
    assert!((99..=101).contains(&passed), "{passed}");
}

#[test]
fn a_vm_that_never_heard_a_host_takes_a_few_even_shares() {
    let mut meter = meter();
    meter.set_vms(100);
    let start = Instant::now();
    let passed = (0..5_000_u32)
        .filter(|nth| {
            let now = start + Duration::from_millis(1) * *nth;
            meter.admit(key(), &allowance(), 1, now).is_ok()
        })
        .count();
    assert!((200..=260).contains(&passed), "{passed}");
}

// Guards against short questions that wait for the long prompts of their own organisation.
#[test]
fn short_requests_are_let_through_before_long_ones_take_the_rest() {
    let mut host = host();
    let start = Instant::now();
    let long = Lane::new(key(), 500);
    for nth in 0..30 {
        let now = start + millis(100 * nth);
        let of_long = Count { asked: 200 * nth, passed: 60 * nth };
        let counts = [(lane(), count(30 * nth)), (long, of_long)];
        host.take((&vm(1), key().shard()), (1, nth + 1), &counts, now);
    }
    let parts = host.parts(key().shard(), start + millis(3000)).unwrap();
    let part = |of: Lane| parts.iter().find(|(lane, _)| *lane == of).map(|(_, part)| part.get());
    assert_eq!(part(lane()), None, "300 a second of the short ones are less than half of 1000");
    assert!(part(long).unwrap() < 0.9, "{parts:?}");
}

#[test]
fn a_part_is_let_through_evenly() {
    let mut meter = meter();
    let now = Instant::now();
    meter.admit(key(), &allowance(), 1, now).unwrap();
    meter.told(key().shard(), &[(lane(), Part::new(0.5))], now);
    let passed = (0..1000).filter(|_| meter.admit(key(), &allowance(), 1, now).is_ok()).count();
    assert!((499..=501).contains(&passed), "{passed}");
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut meter = meter();
    let now = Instant::now();
    meter.admit(key(), &allowance(), 7, now).unwrap();
    meter.give_back(key(), 7);
    let counts = meter.counts(key().shard(), now);
    assert_eq!(counts, [(lane(), Count { asked: 7, passed: 0 })]);
}

#[test]
fn a_caller_beyond_the_allowance_is_told_to_come_back_the_later_the_smaller_its_part() {
    let mut meter = meter();
    let now = Instant::now();
    meter.admit(key(), &allowance(), 1, now).unwrap();
    let mut after = |part: f64| {
        meter.told(key().shard(), &[(lane(), Part::new(part))], now);
        (0..50).find_map(|_| meter.admit(key(), &allowance(), 1, now).err()).unwrap()
    };
    assert!(after(0.2) > after(0.8));
}

proptest! {
    // Statements are lost, come twice or are overtaken: nothing is counted twice, and what was lost comes with the next one.
    #[test]
    fn statements_may_be_lost_repeated_and_overtaken(order in prop::collection::vec(1_u64..40, 1..80)) {
        let mut host = host();
        let now = Instant::now();
        let of = |nth: u64| (nth, [(lane(), count(10 * nth))]);
        let (number, counts) = of(0);
        host.take((&vm(1), key().shard()), (1, number + 1), &counts, now);
        for &nth in &order {
            let (number, counts) = of(nth);
            host.take((&vm(1), key().shard()), (1, number + 1), &counts, now);
        }
        let total = host.totals(key().shard(), now).unwrap().counts[0].1;
        prop_assert_eq!(total, count(10 * order.iter().max().unwrap()));
    }

    // A host takes anything that can be decoded, from any VM in any order, and its parts stay parts.
    #[test]
    fn absurd_counts_do_no_harm(
        said in prop::collection::vec((0_u64..3, 0_u64..4, 0_u64..9, any::<u64>(), any::<u64>()), 0..60),
    ) {
        let mut host = host();
        let start = Instant::now();
        for (nth, (from, begun, number, asked, passed)) in said.into_iter().enumerate() {
            let now = start + millis(nth as u64 * 50);
            let counts = [(lane(), Count { asked, passed })];
            host.take((&vm(from), key().shard()), (begun, number), &counts, now);
            let part = part(&mut host, now);
            prop_assert!((0.0..=1.0).contains(&part));
        }
    }
}
