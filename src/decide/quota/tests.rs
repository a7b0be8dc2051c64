use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use yare::parameterized;

use super::AdmissionRate;
use super::Balances;
use super::CostClass;
use super::Count;
use super::Excess;
use super::Key;
use super::Meter;
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

/// The class of requests that cost 1.
fn class() -> CostClass {
    CostClass::new(key(), 1)
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
    Count { requested: count, admitted: count }
}

/// The meter of a VM that has known of so many VMs for long.
fn meter_among(vms: u32) -> Meter {
    let mut meter = Meter::new(SmallRng::seed_from_u64(1), Excess::default());
    meter.set_vm_count(vms, Instant::now() - Duration::from_secs(10));
    meter
}

fn meter() -> Meter {
    meter_among(1)
}

/// The admission rate of the organisation, 1 if it isn't limited.
fn rate(host: &mut Balances, now: Instant) -> f64 {
    host.admission_rates(key().shard(), now)
        .unwrap_or_default()
        .first()
        .map_or(1.0, |(_, rate)| rate.get())
}

/// Reports `each` units per tenth of a second from one VM, and returns the end time.
fn report(host: &mut Balances, each: u64, tenths: u64, start: Instant) -> Instant {
    for nth in 0..tenths {
        let now = start + millis(100 * nth);
        let counts = [(class(), count(each * nth))];
        host.apply_counts((&vm(1), key().shard()), (1, nth + 1), &counts, now);
    }
    start + millis(100 * tenths)
}

#[test]
fn who_asks_for_less_than_its_allowance_is_not_limited() {
    let mut host = host();
    let now = report(&mut host, 50, 50, Instant::now());
    assert!(host.admission_rates(key().shard(), now).unwrap().is_empty());
}

#[test]
fn who_asks_for_four_times_its_allowance_gets_about_a_quarter() {
    let mut host = host();
    let start = Instant::now();
    let mut admitted = 0.0;
    for nth in 1..100_u64 {
        let now = start + millis(100 * nth);
        admitted += 400.0 * rate(&mut host, now);
        let counts = [(class(), Count { requested: 400 * nth, admitted: admitted as u64 })];
        host.apply_counts((&vm(1), key().shard()), (1, nth), &counts, now);
    }
    let now = start + millis(10_000);
    assert!((0.2..0.3).contains(&rate(&mut host, now)), "{}", rate(&mut host, now));
    assert!((9_000.0..12_500.0).contains(&admitted), "{admitted}");
}

// Guards against a region that uses the whole allowance while it is disconnected from the others.
#[test]
fn a_region_that_is_not_heard_is_taken_to_go_on_as_before() {
    let (mut here, mut there) = (host(), host());
    let start = Instant::now();
    for nth in 0..30 {
        let now = start + millis(100 * nth);
        let counts = [(class(), count(80 * nth))];
        here.apply_counts((&vm(1), key().shard()), (1, nth + 1), &counts, now);
        there.apply_counts((&vm(2), key().shard()), (2, nth + 1), &counts, now);
        let totals = there.totals(key().shard(), now).unwrap();
        here.apply_totals((&vm(2), &"q".parse().unwrap()), &totals, now);
    }
    let mut now = start + millis(3000);
    assert!(rate(&mut here, now) < 0.9);
    for nth in 30..60 {
        now = start + millis(100 * nth);
        here.apply_counts(
            (&vm(1), key().shard()),
            (1, nth + 1),
            &[(class(), count(80 * nth))],
            now,
        );
    }
    assert!(rate(&mut here, now) < 0.9, "the other region is forgotten while it is cut off");
}

// Guards against a standby host that replaces the active host's totals by its own empty ones.
#[test]
fn only_a_host_that_vms_tell_tells_other_regions() {
    let (mut host, mut next) = (host(), host());
    let start = Instant::now();
    let region = "q".parse().unwrap();
    for nth in 0..20 {
        let now = start + millis(100 * nth);
        host.apply_counts(
            (&vm(1), key().shard()),
            (1, nth + 1),
            &[(class(), count(200 * nth))],
            now,
        );
        let totals = host.totals(key().shard(), now).unwrap();
        next.apply_totals((&vm(1), &region), &totals, now);
        assert!(next.totals(key().shard(), now).is_none());
    }
}

// Guards against a VM that admits everything once its host has failed.
#[test]
fn a_vm_keeps_the_part_that_it_was_told_last() {
    let mut meter = meter_among(10);
    let start = Instant::now();
    meter.admit(key(), &allowance(), 1, start).unwrap();
    meter.apply_rates(key().shard(), &[(class(), AdmissionRate::new(0.25))], start);
    let later = start + millis(3000);
    let admitted = (0..400).filter(|_| meter.admit(key(), &allowance(), 1, later).is_ok()).count();
    assert!((99..=101).contains(&admitted), "{admitted}");
}

#[test]
fn a_vm_that_never_heard_a_host_takes_a_few_even_shares() {
    let mut meter = meter_among(100);
    let start = Instant::now();
    let admitted = (0..5_000_u32)
        .filter(|nth| {
            let now = start + Duration::from_millis(1) * *nth;
            meter.admit(key(), &allowance(), 1, now).is_ok()
        })
        .count();
    assert!((200..=260).contains(&admitted), "{admitted}");
}

// Guards against VMs that restart in series without a host and admit a burst each time, or the whole allowance until
// they know the others.
#[parameterized(
    two = { 2, 1000 },
    six = { 6, 1000 },
    six_rarely = { 6, 4000 },
    a_hundred = { 100, 2500 },
)]
fn vms_that_restart_in_series_without_a_host_admit_a_few_shares(vms: u32, life_ms: u64) {
    const WINDOW_MS: u64 = 8000;
    const STEP_MS: u64 = 10;
    const JOINS_MS: u64 = 300;
    let start = Instant::now();
    let mut meters = Vec::new();
    let mut admitted = 0;
    for at in (0..WINDOW_MS).step_by(STEP_MS as usize) {
        let now = start + millis(at);
        if at % life_ms == 0 {
            let meter = |nth| Meter::new(SmallRng::seed_from_u64(nth), Excess::default());
            meters = (0..u64::from(vms)).map(meter).collect();
        }
        for meter in &mut meters {
            if at % life_ms == JOINS_MS {
                meter.set_vm_count(vms, now);
            }
            admitted += (0..STEP_MS * 2)
                .filter(|_| meter.admit(key(), &allowance(), 1, now).is_ok())
                .count();
        }
    }
    let allowance = allowance();
    let whole = allowance.burst + allowance.rate.over(millis(WINDOW_MS));
    assert!(admitted as f64 <= 4.0 * whole, "{admitted} admitted, the allowance is {whole}");
    assert!(admitted > 0);
}

// Guards against short requests that wait for long ones of the same organisation.
#[test]
fn short_requests_are_let_through_before_long_ones_take_the_rest() {
    let mut host = host();
    let start = Instant::now();
    let long = CostClass::new(key(), 500);
    for nth in 0..30 {
        let now = start + millis(100 * nth);
        let of_long = Count { requested: 200 * nth, admitted: 60 * nth };
        let counts = [(class(), count(30 * nth)), (long, of_long)];
        host.apply_counts((&vm(1), key().shard()), (1, nth + 1), &counts, now);
    }
    let rates = host.admission_rates(key().shard(), start + millis(3000)).unwrap();
    let rate =
        |of: CostClass| rates.iter().find(|(class, _)| *class == of).map(|(_, rate)| rate.get());
    assert_eq!(rate(class()), None, "300 a second of the short ones are less than half of 1000");
    assert!(rate(long).unwrap() < 0.9, "{rates:?}");
}

#[test]
fn a_part_is_let_through_evenly() {
    let mut meter = meter();
    let now = Instant::now();
    meter.admit(key(), &allowance(), 1, now).unwrap();
    meter.apply_rates(key().shard(), &[(class(), AdmissionRate::new(0.5))], now);
    let admitted = (0..1000).filter(|_| meter.admit(key(), &allowance(), 1, now).is_ok()).count();
    assert!((499..=501).contains(&admitted), "{admitted}");
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut meter = meter();
    let now = Instant::now();
    meter.admit(key(), &allowance(), 7, now).unwrap();
    meter.refund(key(), 7);
    let counts = meter.counts(key().shard(), now);
    assert_eq!(counts, [(class(), Count { requested: 7, admitted: 0 })]);
}

#[test]
fn a_caller_beyond_the_allowance_is_told_to_come_back_the_later_the_smaller_its_part() {
    let mut meter = meter();
    let now = Instant::now();
    meter.admit(key(), &allowance(), 1, now).unwrap();
    let mut after = |rate: f64| {
        meter.apply_rates(key().shard(), &[(class(), AdmissionRate::new(rate))], now);
        (0..50).find_map(|_| meter.admit(key(), &allowance(), 1, now).err()).unwrap()
    };
    assert!(after(0.2) > after(0.8));
}

proptest! {
    // Guards against counting lost, repeated or reordered reports twice or not at all.
    #[test]
    fn statements_may_be_lost_repeated_and_overtaken(order in prop::collection::vec(1_u64..40, 1..80)) {
        let mut host = host();
        let now = Instant::now();
        let of = |nth: u64| (nth, [(class(), count(10 * nth))]);
        let (number, counts) = of(0);
        host.apply_counts((&vm(1), key().shard()), (1, number + 1), &counts, now);
        for &nth in &order {
            let (number, counts) = of(nth);
            host.apply_counts((&vm(1), key().shard()), (1, number + 1), &counts, now);
        }
        let total = host.totals(key().shard(), now).unwrap().counts[0].1;
        prop_assert_eq!(total, count(10 * order.iter().max().unwrap()));
    }

    // Guards against admission rates out of range after implausible counts.
    #[test]
    fn absurd_counts_do_no_harm(
        said in prop::collection::vec((0_u64..3, 0_u64..4, 0_u64..9, any::<u64>(), any::<u64>()), 0..60),
    ) {
        let mut host = host();
        let start = Instant::now();
        for (nth, (from, begun, number, requested, admitted)) in said.into_iter().enumerate() {
            let now = start + millis(nth as u64 * 50);
            let counts = [(class(), Count { requested, admitted })];
            host.apply_counts((&vm(from), key().shard()), (begun, number), &counts, now);
            let rate = rate(&mut host, now);
            prop_assert!((0.0..=1.0).contains(&rate));
        }
    }
}
