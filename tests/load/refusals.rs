//! Upstreams that crash if they have to refuse many requests, judged by their crashes and by what callers receive.

mod upstream;
mod world;

use yare::parameterized;

use self::world::Fault;
use self::world::Setting;
use self::world::Tally;
use self::world::play;

/// The plays of a setting, and of a large one.
const SEEDS: u64 = 4;
const SEEDS_OF_MANY: u64 = 2;
const MANY_VMS: usize = 100;

fn paused<T>(run: impl FnOnce() -> T) -> T {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime.enable_time().start_paused(true).build().unwrap().block_on(async { run() })
}

/// Crashes for refusals that are allowed at once, of that many upstreams of a service.
const fn allowed(upstreams: usize) -> usize {
    2 + upstreams / 10
}

/// The least service relative to that of upstreams which may refuse without end.
const MIN_SERVICE: f64 = 0.9;

fn check(setting: Setting) {
    let seeds = if setting.vms < MANY_VMS { SEEDS } else { SEEDS_OF_MANY };
    let allowed = allowed(setting.upstreams);
    let (mut all_served, mut all_unlimited) = (0, 0);
    for seed in 0..seeds {
        let (unlimited, tally) = paused(|| {
            let unlimited = play(Setting { limit: None, ..setting }, seed);
            (unlimited, play(setting, seed))
        });
        let Tally { crashes, most_crashes, served } = tally;
        println!("{setting:?} seed {seed}: {crashes} crashes, {served} of {}", unlimited.served);
        assert!(most_crashes <= allowed, "{most_crashes} at once, allowed {allowed}, seed {seed}");
        all_served += served;
        all_unlimited += unlimited.served;
    }
    let ratio = all_served as f64 / all_unlimited as f64;
    assert!(ratio >= MIN_SERVICE, "{ratio:.2} of the service in {seeds} plays");
}

// Guards against upstreams that crash for what they have to refuse before VMs keep to the limit that they have stated, and
// against VMs that keep to it by sending hardly anything.
#[parameterized(
    two_vms = { 2, 12, 1.2, 3.0 },
    six_vms = { 6, 12, 1.2, 3.0 },
    six_vms_many_upstreams = { 6, 30, 1.2, 3.0 },
    six_vms_one_upstream = { 6, 1, 1.2, 3.0 },
    forty_vms = { 40, 12, 1.2, 3.0 },
    forty_vms_many_upstreams = { 40, 30, 1.2, 10.0 },
    forty_vms_one_refusal = { 40, 12, 1.2, 1.0 },
    half_the_load = { 40, 12, 0.5, 3.0 },
    three_times_the_load = { 40, 12, 3.0, 20.0 },
    a_fleet = { 200, 30, 1.2, 3.0 },
)]
fn upstreams_that_can_refuse_little_do_not_crash(
    vms: usize,
    upstreams: usize,
    load: f64,
    limit: f64,
) {
    let (limit, fault) = (Some(limit), Fault::Nothing);
    check(Setting { vms, slice_bits: 0, upstreams, load, limit, fault });
}

// Guards against a bound that holds only while all VMs, hosts and upstreams are well and the load is steady.
#[parameterized(
    burst = { Fault::Burst },
    restarts = { Fault::Restarts },
    crashes = { Fault::Crashes },
    hosts_lost = { Fault::HostsLost },
)]
fn upstreams_that_can_refuse_little_do_not_crash_while_others_fail(fault: Fault) {
    for (vms, upstreams) in [(6, 12), (40, 12)] {
        check(Setting { vms, slice_bits: 0, upstreams, load: 0.9, limit: Some(3.0), fault });
    }
}

// Guards against a fleet in slices that leaves the places of upstreams unused which have fewer than there are slices.
#[test]
fn upstreams_with_fewer_slots_than_slices_are_used() {
    let (limit, fault) = (Some(3.0), Fault::Nothing);
    check(Setting { vms: 160, slice_bits: 4, upstreams: 30, load: 1.2, limit, fault });
}

// Guards against VMs that flood upstreams, or starve, where they are more than there are places: while they know of no limit,
// since all have restarted, and once they do.
#[parameterized(
    steady = { 200, 3.0, Fault::Nothing },
    restarts = { 100, 3.0, Fault::Restarts },
    restarts_of_many = { 200, 1.0, Fault::Restarts },
)]
fn more_vms_than_places_do_not_crash_upstreams(vms: usize, limit: f64, fault: Fault) {
    check(Setting { vms, slice_bits: 0, upstreams: 12, load: 1.2, limit: Some(limit), fault });
}

// Guards against VMs that rely on hosts: where all datagrams are lost, upstreams must not crash either.
#[test]
fn upstreams_that_can_refuse_little_do_not_crash_without_hosts() {
    for (vms, upstreams) in [(6, 12), (40, 12)] {
        let (limit, fault) = (Some(3.0), Fault::Silence);
        let setting = Setting { vms, slice_bits: 0, upstreams, load: 1.2, limit, fault };
        let tally = paused(|| play(setting, 0));
        let allowed = allowed(upstreams);
        assert!(tally.most_crashes <= allowed, "{vms} VMs: {tally:?}, allowed {allowed}");
        assert!(tally.served > 0, "{vms} VMs: {tally:?}");
    }
}
