use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use yare::parameterized;

use crate::catalogue::Home;
use crate::catalogue::Preference;
use crate::decide::spill::Criteria;
use crate::decide::spill::DIGEST_TTL;
use crate::decide::spill::Decision;
use crate::decide::spill::Digest;
use crate::decide::spill::ForwardState;
use crate::decide::spill::RegionSelector;
use crate::decide::spill::Room;
use crate::id;
use crate::unit::Slots;

fn region(name: &str) -> id::Region {
    name.parse().unwrap()
}

fn digest(name: &str, free: u64, wait: u64) -> Digest {
    let room =
        Room { capacity: Slots::new(100), free: Slots::new(free), wait: Duration::from_secs(wait) };
    Digest {
        region: region(name),
        sequence: 1,
        room: [("storm".parse().unwrap(), room)].into(),
        age: Duration::ZERO,
    }
}

/// A selector in gulf, with free slots in piedmont.
fn selector(now: Instant) -> RegionSelector {
    let mut selector = RegionSelector::new(region("gulf"), 2);
    selector.update_digest(digest("piedmont", 40, 0), now);
    selector
}

fn decide(
    selector: &mut RegionSelector,
    home: &Home,
    prefers: Preference,
    wait: u64,
    remaining: u64,
) -> Decision {
    decide_on(selector, home, prefers, Some(wait), remaining, ForwardState::Original)
}

fn decide_on(
    selector: &mut RegionSelector,
    home: &Home,
    prefers: Preference,
    wait: Option<u64>,
    remaining: u64,
    forward_state: ForwardState,
) -> Decision {
    let model = "storm".parse().unwrap();
    let criteria = Criteria {
        home,
        prefers,
        model: &model,
        wait: wait.map(Duration::from_secs),
        service_time: Duration::from_secs(2),
        cold_penalty: Duration::from_secs(3),
        remaining: Duration::from_secs(remaining),
        prefix_hash: 1,
        forward_state,
    };
    selector.decide(&criteria, Instant::now(), &mut SmallRng::seed_from_u64(1))
}

#[parameterized(
    idle = { Preference::Latency, 0, 60, false },
    not_worth_the_cold_cache = { Preference::Latency, 3, 60, false },
    leaves_early = { Preference::Latency, 5, 60, true },
    waits_at_home = { Preference::Home, 50, 60, false },
    leaves_to_be_in_time = { Preference::Home, 59, 60, true },
    too_late_anywhere = { Preference::Home, 5, 4, false },
)]
fn preference(prefers: Preference, wait: u64, remaining: u64, leaves: bool) {
    let home = Home::Preferred(region("gulf"));
    let decision = decide(&mut selector(Instant::now()), &home, prefers, wait, remaining);
    let expected = if leaves { Decision::Forward(region("piedmont")) } else { Decision::Local };
    assert_eq!(decision, expected);
}

// Guards against forwarding bound requests under load.
#[parameterized(
    at_home = { "gulf", Decision::Local },
    elsewhere = { "piedmont", Decision::Redirect("piedmont".parse().unwrap()) },
)]
fn bound_work_never_leaves(home: &str, expected: Decision) {
    let home = Home::Bound(region(home));
    for (wait, remaining) in [(Some(0), 60), (Some(1_000), 60), (None, 60), (None, 0)] {
        for forward_state in
            [ForwardState::Original, ForwardState::Forwarded, ForwardState::Rejected]
        {
            let mut selector = selector(Instant::now());
            let decision = decide_on(
                &mut selector,
                &home,
                Preference::Latency,
                wait,
                remaining,
                forward_state,
            );
            assert_eq!(decision, expected);
        }
    }
}

// Guards against forwarding loops when all regions are full.
#[parameterized(
    handed_over = { ForwardState::Forwarded },
    refused = { ForwardState::Rejected },
)]
fn no_circles(forward_state: ForwardState) {
    let home = Home::Preferred(region("gulf"));
    let mut selector = selector(Instant::now());
    let decision =
        decide_on(&mut selector, &home, Preference::Latency, Some(1_000), 60, forward_state);
    assert_eq!(decision, Decision::Local);
}

#[test]
fn a_region_that_refused_gets_nothing_before_its_next_digest() {
    let (now, home) = (Instant::now(), Home::Anywhere);
    let mut selector = selector(now);
    selector.record_refusal(&region("piedmont"));
    assert_eq!(decide(&mut selector, &home, Preference::Latency, 30, 60), Decision::Local);
    selector.update_digest(Digest { sequence: 2, ..digest("piedmont", 40, 0) }, now);
    assert_ne!(decide(&mut selector, &home, Preference::Latency, 30, 60), Decision::Local);
}

// Guards against refusing a request whose home region is unreachable.
#[test]
fn home_is_elsewhere_and_then_out_of_reach() {
    let home = Home::Preferred(region("piedmont"));
    let now = Instant::now();
    let decision = decide(&mut selector(now), &home, Preference::Home, 0, 60);
    assert_eq!(decision, Decision::Forward(region("piedmont")));
    let long_ago = now - DIGEST_TTL;
    assert_eq!(decide(&mut selector(long_ago), &home, Preference::Home, 0, 60), Decision::Local);
}
