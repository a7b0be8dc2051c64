//! What can happen to a site, and when.

use std::time::Duration;

use fakes::Fault;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The VMs of the site; the last one is alone in its region.
pub const VMS: [&str; 4] = ["a", "b", "c", "d"];

/// Upstreams of the site; the last one is away from home.
pub const ENGINES: usize = 3;

/// Time in which failures and requests begin.
pub const LOAD: Duration = Duration::from_millis(2500);

/// Something that happens.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// An entry daemon dies.
    CrashEntry(&'static str),
    /// An entry daemon ends in order.
    DrainEntry(&'static str),
    /// An entry daemon comes back.
    StartEntry(&'static str),
    /// A control daemon dies, perhaps with its folder.
    CrashControl(&'static str, bool),
    /// A control daemon comes back.
    StartControl(&'static str),
    /// An engine dies.
    CrashEngine(usize),
    /// An engine comes back.
    StartEngine(usize),
    /// All open connections of an engine go silent for good.
    Silence(usize),
    /// Something goes wrong with an engine's next request.
    Fail(usize, Fault),
    /// An engine leaves; it comes back by itself as a later incarnation.
    Leave(usize),
    /// The catalogue changes.
    Change,
}

/// Draws a seed's schedule. At most one entry daemon and one control daemon are down at once, and after a folder
/// is lost no other control daemon goes, so that a majority can exist.
pub fn draw(seed: u64) -> Vec<(Duration, Action)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut schedule = Vec::new();
    let (mut entries_free, mut controls_free) = (0, 0);
    let mut at = 0;
    let load = LOAD.as_millis() as u64;
    loop {
        at += random.random_range(50..400);
        if at >= load {
            break;
        }
        let back = at + random.random_range(200..1200);
        let vm = VMS[random.random_range(0..VMS.len())];
        let engine = random.random_range(0..ENGINES);
        let kind = random.random_range(0..14);
        let mut add = |at, action| schedule.push((Duration::from_millis(at), action));
        match kind {
            0..=2 if at >= entries_free => {
                let drains = kind == 2;
                let end = if drains { Action::DrainEntry(vm) } else { Action::CrashEntry(vm) };
                add(at, end);
                add(back, Action::StartEntry(vm));
                entries_free = back + 1;
            }
            3 | 4 if at >= controls_free => {
                let loses = kind == 4;
                add(at, Action::CrashControl(vm, loses));
                add(back, Action::StartControl(vm));
                controls_free = if loses { u64::MAX } else { back + 1 };
            }
            5 => {
                add(at, Action::CrashEngine(engine));
                add(back, Action::StartEngine(engine));
            }
            6 => add(at, Action::Silence(engine)),
            7 => add(at, Action::Leave(engine)),
            8 => add(at, Action::Change),
            _ => add(at, Action::Fail(engine, fault(&mut random))),
        }
    }
    schedule.sort_by_key(|(at, _)| *at);
    schedule
}

fn fault(random: &mut SmallRng) -> Fault {
    match random.random_range(0..5) {
        0 => Fault::CutAfter(random.random_range(0..6)),
        1 => Fault::SilentAfter(random.random_range(0..6)),
        2 => Fault::Late(Duration::from_millis(random.random_range(50..800))),
        3 => Fault::Crossed,
        _ => Fault::Refuse,
    }
}
