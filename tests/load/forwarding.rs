//! Plain services: one region short of capacity beside two that are idle.

use std::time::Duration;

use yare::parameterized;

use self::world::Scenario;
use self::world::Tally;
use self::world::capacity;
use self::world::play;

mod world;

const SECONDS: f64 = 5.0;

/// The first region gets 1.8 times its capacity while the others idle.
fn peak(vms: usize) -> Scenario {
    Scenario {
        vms,
        load: [1.8, 0.0, 0.0],
        until: SECONDS,
        seconds: SECONDS,
        objective: Duration::from_millis(500),
        divides_room: true,
        cut_off: None,
        wrong: None,
        forbidden: None,
        seed: 7,
    }
}

/// The fraction of the requests answered in time of those that these regions can serve.
fn in_time(tally: &Tally, regions: &[usize]) -> f64 {
    let capacity: f64 = regions.iter().map(|region| capacity(*region)).sum();
    tally.in_time as f64 / (tally.asked as f64).min(capacity * SECONDS)
}

fn forwards(tally: &Tally) -> usize {
    tally.forwards.iter().sum()
}

// Guards against a region that rejects its peak while others idle, and against VMs that fill another region together, at
// any number of VMs.
#[parameterized(
    of_2 = { 2 },
    of_6 = { 6 },
    of_26 = { 26 },
    of_80 = { 80 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_peak_is_served_by_all_regions(vms: usize) {
    let tally = play(peak(vms));
    println!("{vms} VMs: {:.3} in time, {tally:?}", in_time(&tally, &[0, 1, 2]));
    assert!(in_time(&tally, &[0, 1, 2]) >= 0.95, "{tally:?}");
    assert!(tally.rejected_forwards * 20 < forwards(&tally), "{tally:?}");
}

// Guards against all VMs that probe a region of which nothing is known at once.
#[parameterized(of_26 = { 26 }, of_80 = { 80 })]
#[test_macro(tokio::test(start_paused = true))]
async fn the_first_probe_is_made_by_a_few_requests(vms: usize) {
    let tally = play(peak(vms));
    assert!((1..=vms / 2).contains(&tally.first_probes), "{tally:?}");
}

// Guards against forwards that go on after the peak.
#[tokio::test(start_paused = true)]
async fn forwards_stop_within_a_second_after_the_peak() {
    let tally = play(Scenario { until: 3.0, ..peak(26) });
    assert!(forwards(&tally) > 0 && tally.late_forwards == 0, "{tally:?}");
}

// Guards against requests that are lost to a region which no VM reaches.
#[tokio::test(start_paused = true)]
async fn a_region_that_is_cut_off_is_avoided() {
    let tally = play(Scenario { cut_off: Some(1), ..peak(26) });
    println!("cut off: {:.3} in time, {tally:?}", in_time(&tally, &[0, 2]));
    assert!(in_time(&tally, &[0, 2]) >= 0.95, "{tally:?}");
}

// Guards against forwards to a full region that reports that it is idle.
#[tokio::test(start_paused = true)]
async fn a_wrong_outlook_costs_few_requests() {
    let tally = play(Scenario { load: [1.5, 2.0, 0.0], wrong: Some(1), ..peak(26) });
    println!("wrong: {:.3} in time, {tally:?}", in_time(&tally, &[0, 2]));
    assert!(in_time(&tally, &[0, 2]) >= 0.95, "{tally:?}");
}

// Guards against requests that leave the regions which they are bound to.
#[tokio::test(start_paused = true)]
async fn homes_are_binding() {
    let tally = play(Scenario { forbidden: Some(1), ..peak(26) });
    assert!(tally.forwards[1] == 0 && tally.forwards[2] > 0, "{tally:?}");
}

// Guards against a change for routes whose objective leaves no time for the trip: their requests are not held back by what is
// known of the room elsewhere. Their cost is pinned beside the code.
#[tokio::test(start_paused = true)]
async fn a_short_objective_is_served_as_before() {
    let short = Scenario { objective: Duration::from_millis(300), ..peak(26) };
    assert_eq!(play(short), play(Scenario { divides_room: false, ..short }));
}
