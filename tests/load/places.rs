//! Plain upstreams that reject requests beyond a bound, judged by what they reject, how busy they are and what callers receive.

mod world;

use yare::parameterized;

use self::world::Fault;
use self::world::OBJECTIVE;
use self::world::Setting;
use self::world::Tally;
use self::world::play;

const SEEDS: u64 = 2;

/// The most rejected arrivals, and the least time for which slots are in use, in a shortage.
const MAX_REJECTED: f64 = 0.05;
const MIN_BUSY: f64 = 0.95;

/// The most milliseconds for which nine in ten refused requests are kept, and the least part of answers in time.
const MAX_REFUSAL_MS: u128 = 10;
const MIN_IN_TIME: f64 = 0.99;

fn paused(setting: Setting, seed: u64) -> Tally {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().unwrap();
    let tally = runtime.block_on(async { play(setting, seed) });
    println!("{setting:?} seed {seed}: {tally}");
    tally
}

fn check_shortage(setting: Setting) {
    for seed in 0..SEEDS {
        let tally = paused(setting, seed);
        assert!(tally.rejected_part() < MAX_REJECTED, "{tally}");
        assert!(tally.busy >= MIN_BUSY, "{tally}");
        assert!(tally.in_time_part() >= MIN_IN_TIME, "{tally}");
        assert!(tally.refusal_ms(0.9) <= MAX_REFUSAL_MS, "{tally}");
        assert!(tally.refusal_ms(1.0) <= OBJECTIVE.as_millis(), "{tally}");
    }
}

// Guards against VMs that send what upstreams reject, that leave slots unused, or that keep requests which they refuse later.
#[parameterized(
    two_vms = { 2 },
    six_vms = { 6 },
    a_region = { 26 },
    more_vms_than_places = { 80 },
)]
fn in_a_shortage_upstreams_are_busy_and_reject_little(vms: usize) {
    check_shortage(Setting { vms, load: 3.0, fault: Fault::Nothing });
}

// Guards against a bound that holds only while all VMs learn of each other's requests.
#[parameterized(
    two_vms = { 2, Fault::HostLost },
    a_region = { 26, Fault::HostLost },
    more_vms_than_places = { 80, Fault::HostLost },
    a_region_without_hosts = { 26, Fault::Silence },
)]
fn in_a_shortage_a_lost_host_does_no_harm(vms: usize, fault: Fault) {
    check_shortage(Setting { vms, load: 3.0, fault });
}

// Guards against limits at the edge of a shortage, where queues come and go.
#[parameterized(
    two_vms = { 2 },
    six_vms = { 6 },
    a_region = { 26 },
    more_vms_than_places = { 80 },
)]
fn at_capacity_upstreams_reject_little(vms: usize) {
    for seed in 0..SEEDS {
        let tally = paused(Setting { vms, load: 1.0, fault: Fault::Nothing }, seed);
        assert!(tally.rejected_part() < MAX_REJECTED, "{tally}");
        assert!(tally.in_time_part() >= MIN_IN_TIME, "{tally}");
    }
}

// Guards against requests that wait, and claims that are sent, where there is no shortage.
#[parameterized(
    two_vms = { 2 },
    six_vms = { 6 },
    a_region = { 26 },
    more_vms_than_places = { 80 },
)]
fn below_capacity_nothing_is_rejected_and_nothing_waits(vms: usize) {
    for seed in 0..SEEDS {
        let tally = paused(Setting { vms, load: 0.5, fault: Fault::Nothing }, seed);
        assert_eq!((tally.rejected, tally.waited, tally.refused.len()), (0, 0, 0), "{tally}");
        assert_eq!((tally.bounded, tally.claims), (0, 0), "{tally}");
    }
}

// Guards against a burst that finds no bound known, and against limits that remain in force after it.
#[parameterized(
    six_vms = { 6 },
    a_region = { 26 },
    more_vms_than_places = { 80 },
)]
fn a_burst_is_bounded_and_leaves_nothing_behind(vms: usize) {
    for seed in 0..SEEDS {
        let tally = paused(Setting { vms, load: 0.5, fault: Fault::Burst }, seed);
        assert!(tally.rejected_part() < MAX_REJECTED, "{tally}");
        assert!(tally.in_time_part() >= MIN_IN_TIME, "{tally}");
        assert_eq!(tally.refused_after, 0, "{tally}");
        assert_eq!(tally.claims, 0, "{tally}");
    }
}
