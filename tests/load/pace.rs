//! Upstreams that share their machines with other work, judged by the latency of what callers receive.

pub mod upstream;
mod world;

use yare::parameterized;

use self::world::Kind;
use self::world::Setting;
use self::world::Tally;
use self::world::play;

/// The plays of a setting.
const SEEDS: u64 = 6;

fn paused<T>(run: impl FnOnce() -> T) -> T {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime.enable_time().start_paused(true).build().unwrap().block_on(async { run() })
}

fn plays(setting: Setting) -> Tally {
    let plays = (0..SEEDS).map(|seed| paused(|| play(setting, seed)));
    plays.reduce(Tally::merge).unwrap()
}

/// What callers receive from upstreams that state their pace, and from those that don't.
fn compare(kind: Kind, vms: usize, load: f64) -> (Tally, Tally) {
    let setting = Setting { kind, vms, load, is_stated: true, has_phases: true };
    let mut stated = plays(setting);
    let mut unstated = plays(Setting { is_stated: false, ..setting });
    println!("{kind:?}, {vms} VMs, load {load}: {} without {}", stated.show(), unstated.show());
    (stated, unstated)
}

// Guards against VMs that send to an upstream as much as before while it is 2.5 times as slow for 600 ms.
#[parameterized(
    two_vms = { 2 },
    a_region = { 26 },
    a_deployment = { 80 },
)]
fn plain_upstreams_that_slow_down_are_avoided(vms: usize) {
    let (mut stated, mut unstated) = compare(Kind::Plain, vms, 0.7);
    assert!(stated.mean() < unstated.mean(), "mean");
    assert!(stated.quantile(0.95) < unstated.quantile(0.95), "95th percentile");
    assert!(stated.in_time() >= unstated.in_time(), "share in time");
}

// The same for engines, whose prefills and streams are slowed down.
#[parameterized(
    two_vms = { 2 },
    a_region = { 26 },
    a_deployment = { 80 },
)]
fn engines_that_slow_down_are_avoided(vms: usize) {
    let (mut stated, mut unstated) = compare(Kind::Engine, vms, 0.85);
    assert!(stated.mean() < unstated.mean(), "mean");
    assert!(stated.quantile(0.95) < unstated.quantile(0.95), "95th percentile");
    assert!(stated.in_time() > unstated.in_time() - 0.002, "share in time");
}

// Guards against prompts that leave the engine with their prefix for one that has to read it while all engines are busy: the
// other requests there wait for longer than the slow phase takes.
#[parameterized(
    two_vms = { 2 },
    a_region = { 26 },
)]
fn busy_engines_serve_as_before(vms: usize) {
    let (stated, unstated) = compare(Kind::Engine, vms, 1.0);
    assert!(stated.mean() < unstated.mean() * 1.05, "mean");
    assert!(stated.in_time() > unstated.in_time() - 0.01, "share in time");
}

// Guards against decisions that change where upstreams state that they are as fast as usual.
#[parameterized(
    plain = { Kind::Plain },
    engines = { Kind::Engine },
)]
fn the_usual_pace_changes_no_decision(kind: Kind) {
    let setting = Setting { kind, vms: 26, load: 0.7, is_stated: true, has_phases: false };
    let stated = paused(|| play(setting, 1));
    let unstated = paused(|| play(Setting { is_stated: false, ..setting }, 1));
    assert_eq!(stated, unstated);
}
