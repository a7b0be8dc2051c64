mod pauses;
mod region;
mod retries;

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time;
use yare::parameterized;

use self::region::COLD;
use self::region::RATE;
use self::region::Region;
use self::region::SECOND;
use self::region::announcement;
use crate::roster::Delta;
use crate::roster::Observed;

/// The time in which arrivals under a stated limit are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most that arrives at a cold upstream in a second.
const fn bound(rate: f64) -> f64 {
    rate * 1.5 + 3.0
}

/// Spreads the starts of VMs over a time.
fn within(spread: Duration, vms: usize, seed: u64) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..vms).map(|_| spread.mul_f64(rng.random())).collect()
}

// Guards against a flood when a region returns: VMs that have just started count themselves alone and take the turns
// of all, and take a turn again whenever the end of the cold period or the number of VMs changes in their view.
#[parameterized(
    one = { 1, 0, 5, 10 },
    two = { 2, 30, 5, 10 },
    two_in_turn = { 2, 1000, 5, 10 },
    three = { 3, 1000, 5, 10 },
    fourteen = { 14, 1000, 10, 5 },
    a_hundred = { 100, 1000, 20, 2 },
    a_fleet = { 985, 1000, 50, 1 },
)]
fn vms_that_start_with_a_cold_upstream_do_not_flood_it(
    vms: usize,
    spread_ms: u64,
    step_ms: u64,
    seeds: u64,
) {
    let (spread, step) = (Duration::from_millis(spread_ms), Duration::from_millis(step_ms));
    for seed in 1..=seeds {
        paused(async {
            let mut region = Region::new(within(spread, vms, seed), seed);
            region.play(COLD, step).await;
            let most = region.most(SECOND);
            assert!(most as f64 <= bound(RATE), "{most} requests in a second, seed {seed}");
            let later = region.count(SECOND * 3, SECOND * 4);
            assert!(later as f64 >= RATE / 2.0, "{later} in a later second, seed {seed}");
        });
    }
}

// Guards against VMs that start in a region whose other VMs have run for long: neither know the others at first.
#[parameterized(two = { 2, 5 }, fourteen = { 14, 10 }, a_hundred = { 100, 20 })]
fn vms_that_join_others_do_not_flood_a_cold_upstream(vms: usize, step_ms: u64) {
    paused(async {
        let mut starts = within(SECOND, vms, 3);
        starts.iter_mut().skip(vms / 2).for_each(|starts| *starts += SECOND * 3);
        let upstream_starts = SECOND * 7 / 2;
        let mut region = Region::new(starts, 3).with_upstream_start(upstream_starts);
        region.play(upstream_starts + COLD, Duration::from_millis(step_ms)).await;
        let most = region.most(SECOND);
        assert!(most as f64 <= bound(RATE), "{most} requests in a second");
        let first = region.count(upstream_starts, upstream_starts + SECOND);
        assert!(first >= 1, "the VMs that run need not stop");
    });
}

// Guards against a VM that uses the turns it has missed, all at once, after it has stood still.
#[parameterized(two = { 2, 5 }, fourteen = { 14, 10 })]
fn a_frozen_vm_does_not_flood_a_cold_upstream(vms: usize, step_ms: u64) {
    for thaws in (3000..4000).step_by(100).map(Duration::from_millis) {
        paused(async {
            let frozen = SECOND * 2..thaws;
            let mut region = Region::new(within(SECOND, vms, 4), 4).with_frozen(frozen);
            region.play(COLD, Duration::from_millis(step_ms)).await;
            let most = region.most(SECOND);
            assert!(most as f64 <= bound(RATE), "{most} requests in a second");
        });
    }
}

// Guards against a VM that stands still while an upstream becomes cold, and sends all that has queued up before it has
// heard of it.
#[test]
fn a_vm_that_misses_a_cold_start_does_not_flood_the_upstream() {
    paused(async {
        let upstream_starts = SECOND * 4;
        let mut region =
            Region::new(vec![Duration::ZERO; 2], 5).with_upstream_start(upstream_starts);
        region.play(SECOND * 2, Duration::from_millis(5)).await;
        for vm in &region.vms {
            let delta = Delta {
                revision: 1000,
                is_full: false,
                upstreams: vec![Observed {
                    record: announcement(1, Duration::ZERO),
                    silent: false,
                }],
                vms: Vec::new(),
            };
            vm.state.apply_roster(&"control-0".parse().unwrap(), 1, delta);
        }
        // The upstream becomes cold now, and the VM stands still until then.
        time::advance(upstream_starts + SECOND / 2).await;
        let now = region.start.elapsed();
        (0..20).for_each(|_| region.request(0, now));
        let most = region.most(SECOND);
        assert!(most as f64 <= bound(RATE), "{most} requests in a second");
    });
}

// Guards against a limit that a whole region exceeds after a restart: each VM learns of it from its own responses, and
// of the other VMs up to a second later.
#[parameterized(
    two = { 2, 3.4, 250, 5, 10 },
    two_known_late = { 2, 50.0, 900, 5, 10 },
    three_known_late = { 3, 6.6, 900, 5, 10 },
    fourteen_known_late = { 14, 3.4, 900, 10, 5 },
    fourteen_slow = { 14, 0.1, 900, 10, 5 },
    a_hundred_known_late = { 100, 3.4, 900, 20, 2 },
    a_fleet = { 985, 3.4, 250, 50, 1 },
    a_fleet_known_late = { 985, 3.4, 900, 50, 1 },
)]
fn vms_that_restart_together_keep_to_a_stated_limit(
    vms: usize,
    limit: f64,
    propagation_ms: u64,
    step_ms: u64,
    seeds: u64,
) {
    let step = Duration::from_millis(step_ms);
    let propagation = Duration::from_millis(propagation_ms);
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
    for seed in 1..=seeds {
        paused(async {
            let region = Region::new(within(SECOND / 2, vms, seed), seed);
            let mut region = region.with_stated_limit(limit, propagation);
            region.play(SECOND * 10, step).await;
            let most = region.most(WINDOW);
            assert!(most as f64 <= allowed, "{most} requests, allowed {allowed}, seed {seed}");
            let later = region.count(SECOND * 5, SECOND * 10) as f64;
            assert!(later >= (limit * 2.5).floor(), "{later} in the last 5 s, seed {seed}");
        });
    }
}

fn paused(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(test);
}
