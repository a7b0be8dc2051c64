use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use yare::parameterized;

use super::*;
use crate::catalogue::Limits;
use crate::id;
use crate::unit::Rate;
use crate::unit::Tokens;

const SECOND: Duration = Duration::from_secs(1);
const VMS: usize = 8;

fn limits(requests: f64, concurrency: u32) -> Limits {
    Limits {
        requests: Rate::per_second(requests),
        tokens: Rate::per_second(1_000_000.0),
        concurrency,
    }
}

fn vm(number: usize) -> id::Vm {
    format!("vm-{number}").parse().expect("a name")
}

fn allowance(number: usize, limits: &Limits, now: Instant) -> Allowance {
    Allowance::new("entry".parse().expect("a name"), vm(number), limits, VMS, now)
}

/// Charges some requests, then exchanges a demand and a grant.
fn renew(allowance: &mut Allowance, coordinator: &mut Coordinator, asks: usize, now: Instant) {
    for _ in 0..asks {
        if let Ok(charge) = allowance.charge(Tokens::new(1), now) {
            allowance.settle(charge, Tokens::new(1), now);
        }
    }
    if let Some(demand) = allowance.next_demand(now) {
        allowance.apply_grant(&coordinator.handle_demand(&demand, now).expect("in order"), now);
    }
}

#[parameterized(
    poor = { 0.1, 0.3, 0.005 },
    awful = { 0.34, 2.0, 0.3 },
)]
fn shares_never_exceed_the_limit(loss: f64, delay: f64, max_disconnected: f64) {
    // Guards against shares that add up to more than the limit while messages are lost or delayed.
    // Each disconnected VM may exceed it by its equal share.
    let mut rng = SmallRng::seed_from_u64(5);
    let start = Instant::now();
    let limit = limits(100.0, 80);
    let mut coordinator = Coordinator::new(limit, VMS, SECOND, start);
    let mut vms: Vec<Allowance> = (0..VMS).map(|number| allowance(number, &limit, start)).collect();
    let mut demands: Vec<(Instant, Demand)> = Vec::new();
    let mut grants: Vec<(Instant, usize, Grant)> = Vec::new();
    let mut seconds_disconnected = 0.0;
    for step in 0..60_000_u32 {
        let now = start + Duration::from_millis(20) * step;
        let busy = (step / 500) as usize % VMS;
        for (number, allowance) in vms.iter_mut().enumerate() {
            if rng.random_bool(if number == busy { 0.9 } else { 0.02 })
                && let Ok(charge) = allowance.charge(Tokens::new(1), now)
            {
                allowance.settle(charge, Tokens::new(1), now);
            }
            if let Some(demand) = allowance.next_demand(now)
                && rng.random_bool(1.0 - loss)
            {
                demands.push((now + SECOND.mul_f64(rng.random_range(0.0..delay)), demand));
            }
        }
        for (_, demand) in demands.extract_if(.., |(at, _)| *at <= now) {
            let number = demand.vm.as_str()[3..].parse().expect("a number");
            let Some(grant) = coordinator.handle_demand(&demand, now) else { continue };
            grants.push((now + SECOND.mul_f64(rng.random_range(0.0..delay / 2.0)), number, grant));
        }
        for (_, number, grant) in grants.extract_if(.., |(at, ..)| *at <= now) {
            vms[number].apply_grant(&grant, now);
        }
        let disconnected = vms.iter().filter(|allowance| allowance.is_disconnected(now)).count();
        seconds_disconnected += disconnected as f64 * 0.02;
        let sum: f64 = vms.iter_mut().map(|allowance| allowance.share(now).requests.get()).sum();
        assert!(sum <= 100.0 + 12.5 * disconnected as f64 + 1e-6, "{sum} at step {step}");
        let sum: u32 = vms.iter_mut().map(|allowance| allowance.share(now).concurrency).sum();
        assert!(sum <= 80 + 10 * disconnected as u32, "{sum} at step {step}");
    }
    let part = seconds_disconnected / (1_200.0 * VMS as f64);
    assert!(part < max_disconnected, "{part}");
}

#[test]
fn late_grant_prolongs_nothing() {
    // Guards against a late grant that stays valid while the coordinator leases the same share to
    // another VM.
    let now = Instant::now();
    let limit = limits(100.0, 80);
    let mut coordinator = Coordinator::new(limit, VMS, SECOND, now);
    let mut allowance = allowance(0, &limit, now);
    let later = now + 10 * SECOND;
    let _ = allowance.charge(Tokens::new(1), later);
    let demand = allowance.next_demand(later).expect("due");
    let grant = coordinator.handle_demand(&demand, later).expect("in order");
    allowance.apply_grant(&grant, later + 4 * SECOND);
    let share = allowance.share(later + 4 * SECOND);
    assert!(share.requests.get() <= 1.25, "{share:?}");
}

#[test]
fn new_home_grants_no_more_than_is_held() {
    // Guards against a new coordinator that leases out what VMs hold from the previous one.
    let now = Instant::now();
    let limit = limits(100.0, 80);
    let mut old = Coordinator::new(limit, VMS, SECOND, now);
    let (mut first, mut second) = (allowance(0, &limit, now), allowance(1, &limit, now));
    let mut later = now + 10 * SECOND;
    for _ in 0..4 {
        later += SECOND;
        renew(&mut first, &mut old, 500, later);
    }
    let held = first.share(later).requests.get();
    assert!(held > 85.0, "{held}");
    let mut new = Coordinator::new(limit, VMS, SECOND, later);
    later += SECOND;
    renew(&mut second, &mut new, 500, later);
    renew(&mut first, &mut new, 500, later);
    assert!(second.share(later).requests.get() <= 1.25);
    assert!(first.share(later).requests.get() <= held);
    for _ in 0..8 {
        later += SECOND;
        renew(&mut first, &mut new, 500, later);
        renew(&mut second, &mut new, 500, later);
    }
    let shares = [first.share(later).requests.get(), second.share(later).requests.get()];
    assert!(shares.iter().all(|share| (40.0..55.0).contains(share)), "{shares:?}");
}

#[test]
fn limit_of_one_in_progress_lets_one_vm_through() {
    // Guards against refusing every request when the limit is smaller than the number of VMs.
    let now = Instant::now() + 10 * SECOND;
    let limit = limits(100.0, 1);
    let mut coordinator = Coordinator::new(limit, VMS, SECOND, now - 10 * SECOND);
    let mut vms: Vec<Allowance> = (0..VMS).map(|number| allowance(number, &limit, now)).collect();
    let mut started = Vec::new();
    for allowance in &mut vms {
        assert_eq!(allowance.charge(Tokens::new(1), now), Err(Refusal::Unleased));
        let demand = allowance.next_demand(now).expect("due");
        allowance.apply_grant(&coordinator.handle_demand(&demand, now).expect("in order"), now);
        started.extend(allowance.charge(Tokens::new(1), now));
    }
    assert_eq!(started.len(), 1);
}

#[test]
fn estimates_follow_real_counts() {
    let now = Instant::now();
    let limit = limits(1_000_000.0, 1_000);
    let mut allowance = Allowance::new("entry".parse().expect("a name"), vm(0), &limit, 1, now);
    let mut last = 0.0;
    for step in 0..60 {
        let now = now + SECOND * step;
        let charge = allowance.charge(Tokens::new(100), now).expect("allowed");
        last = charge.charged();
        allowance.settle(charge, Tokens::new(300), now);
    }
    assert!((290.0..310.0).contains(&last), "{last}");
}

#[test]
fn home_needs_a_majority_and_moves_only_what_it_must() {
    let all: Vec<id::Vm> = (0..VMS).map(vm).collect();
    let entries: Vec<id::Entry> =
        (0..400).map(|number| format!("entry-{number}").parse().expect("a name")).collect();
    let lost = &all[3];
    let left: Vec<id::Vm> = all.iter().filter(|vm| *vm != lost).cloned().collect();
    for entry in &entries {
        let before = coordinator(entry, &all, VMS).expect("a coordinator");
        let after = coordinator(entry, &left, VMS).expect("a coordinator");
        assert!(before == after || before == lost);
        assert_eq!(coordinator(entry, &all[..4], VMS), None);
    }
    let mine = entries.iter().filter(|entry| coordinator(entry, &all, VMS) == Some(lost)).count();
    assert!((30..75).contains(&mine), "{mine} of 400");
}

#[test]
fn vm_that_stays_cut_off_serves_its_even_part() {
    // Guards against refusing all requests of a disconnected VM whose base share is less than one
    // request.
    let start = Instant::now();
    let mut allowance = allowance(0, &limits(100.0, 4), start);
    assert_eq!(allowance.charge(Tokens::new(1), start), Err(Refusal::Unleased));
    let _ = allowance.next_demand(start);
    let later = start + 2 * GRANT_TTL;
    assert!(allowance.charge(Tokens::new(1), later).is_ok());
    assert_eq!(allowance.charge(Tokens::new(1), later), Err(Refusal::Concurrency));
    assert_eq!(allowance.share(later).requests, Rate::per_second(12.5));
}
