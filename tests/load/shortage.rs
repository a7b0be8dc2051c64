//! Engines that get more requests than they can run for ten seconds, judged by the answers within the objective.

mod world;

use self::world::Load;
use self::world::Policy;
use self::world::SHORT;
use self::world::Site;
use self::world::play;

const ENGINES: usize = 6;

/// How long the load is usual before the overload, and how long that lasts.
const USUAL: f64 = 3.0;
const OVERLOAD: f64 = 10.0;

fn site(vms: usize, policy: Policy, per_second: f64) -> Site {
    let overload = Load { kind: SHORT, per_second, from: USUAL, until: USUAL + OVERLOAD };
    let usual = Load { per_second: 60.0, from: 0.0, until: USUAL, ..overload };
    Site { engines: ENGINES, vms, loads: vec![overload, usual], policy }
}

/// The requests a second that the engines end while all slots are taken.
fn capacity(seed: u64) -> f64 {
    play(&site(6, Policy::Usual, 500.0), seed).1
}

/// The answers in time of an overload as a part of the capacity, with the lower limit and without.
fn useful(vms: usize, factor: f64, seed: u64) -> (f64, f64) {
    let capacity = capacity(seed);
    let run = |policy| {
        let (tallies, ended) = play(&site(vms, policy, capacity * factor), seed);
        println!(
            "{vms} VMs, {factor} of {capacity:.0}/s, {policy:?}: {ended:.0}/s, {:?}",
            tallies[0]
        );
        f64::from(tallies[0].in_time) / OVERLOAD / capacity
    };
    (run(Policy::Ours), run(Policy::Usual))
}

// Guards against a queue that stands at the limit of the expected time: half of what is admitted is late, although the slots
// would be as busy with a shorter one.
#[tokio::test(start_paused = true)]
async fn slots_do_useful_work_in_a_slight_shortage() {
    for (vms, seed) in [(2, 1), (6, 2), (26, 3)] {
        let (ours, usual) = useful(vms, 1.15, seed);
        assert!(ours >= 0.95, "{vms} VMs: {ours}");
        assert!(ours > usual + 0.05, "{vms} VMs: {ours} usual {usual}");
    }
}

// The same with eighty VMs, each of which sees two requests a second.
#[tokio::test(start_paused = true)]
async fn many_vms_do_useful_work_in_a_slight_shortage() {
    let (ours, usual) = useful(80, 1.15, 4);
    assert!(ours >= 0.95, "{ours} usual {usual}");
}

// The same at three times the capacity, where returns and the first second fill the queue as well.
#[tokio::test(start_paused = true)]
async fn slots_do_useful_work_at_three_times_the_capacity() {
    let runs = [(2, 1), (6, 2), (26, 3), (80, 4)].map(|(vms, seed)| (vms, useful(vms, 3.0, seed)));
    assert!(runs.iter().all(|(_, (ours, _))| *ours >= 0.95), "{runs:?}");
}

// Guards against refusals in a burst that the queue absorbs: one of less than a second is served as before.
#[tokio::test(start_paused = true)]
async fn a_short_burst_is_served_as_before() {
    for (vms, seed) in [(2, 1), (26, 2)] {
        let run = |policy| {
            let mut site = site(vms, policy, 300.0);
            site.loads[0].until = USUAL + 0.9;
            site.loads.push(Load { from: USUAL + 0.9, until: 8.0, ..site.loads[1] });
            play(&site, seed).0
        };
        let (ours, usual) = (run(Policy::Ours), run(Policy::Usual));
        println!("{ours:?} usual {usual:?}");
        assert_eq!((ours[0].in_time, ours[0].refused), (usual[0].in_time, usual[0].refused));
    }
}
