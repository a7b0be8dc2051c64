//! What it costs a VM to share upstreams' slots with the others, by the upstreams that it uses.

use std::time::Duration;

use tokio::time::Instant;

use super::Measure;
use super::Point;
use super::Slope;
use super::decide;
use super::meter;
use crate::entry::Dispatch;
use crate::entry::fleet::Hosted;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Slots;
use crate::upstream::Pool;
use crate::upstream::pool::Message;
use crate::upstream::pool::SOONEST;
use crate::wire::Cast;
use crate::wire::Frame;

const SIZES: [usize; 4] = [32, 120, 240, 480];
const STEPS: u32 = 250;
/// Steps between two announcements of an upstream, a second in all.
const ANNOUNCE: u32 = 50;

/// The costs of a VM that uses upstreams and has no demand; their host answers at once.
pub struct Costs {
    /// Asks a second.
    pub asks: Measure,
    /// Bytes a second of asks, sent.
    pub ask_bytes: Measure,
    /// Bytes a second of grants, received; a host sends as many for each of its upstreams and VMs.
    pub grant_bytes: Measure,
    /// Nanoseconds a second, both sides and encoding.
    pub nanos: Measure,
    /// Nanoseconds that an entry VM's dispatch takes for one message about slots.
    pub told: Measure,
    /// Nanoseconds that it takes to find out what is due.
    pub due: Measure,
}

fn row(upstreams: usize) -> [f64; 4] {
    let mut now = Instant::now();
    let (me, host): (id::Vm, id::Vm) =
        ("region-0-vm-001".parse().expect("a name"), "region-0-vm-002".parse().expect("a name"));
    let mut user = Pool::new(me.clone(), Incarnation::new(1));
    let mut owner = Pool::new(host.clone(), Incarnation::new(1));
    let both = vec![me.clone(), host.clone()];
    user.members(both.clone());
    owner.members(both);
    let names: Vec<id::Upstream> =
        (0..upstreams).map(|n| format!("engine-{n:03}").parse().expect("a name")).collect();
    for name in &names {
        owner.hosts(name, Slots::new(8), true, now);
        user.follows(name, &host, now);
    }
    let (mut asks, mut sent, mut granted, mut nanos) = (0_u64, 0_usize, 0_usize, 0_u64);
    for step in 0..2 * STEPS {
        // The first half is the start.
        let counts = step >= STEPS;
        now += SOONEST;
        if step % ANNOUNCE == 0 {
            names.iter().for_each(|name| owner.hosts(name, Slots::new(8), false, now));
        }
        let started = Instant::now();
        let due = user.poll(now);
        owner.poll(now);
        for (_, message) in due {
            let answer = owner.receive(&me, &message, now);
            let bytes = Frame::Cast(Cast::Slots(message)).encode().map_or(0, |bytes| bytes.len());
            let answered = answer.map_or(0, |answer| {
                user.receive(&host, &answer, now);
                Frame::Cast(Cast::Slots(answer)).encode().map_or(0, |bytes| bytes.len())
            });
            if counts {
                asks += 1;
                sent += bytes;
                granted += answered;
            }
        }
        nanos += if counts { started.elapsed().as_nanos() as u64 } else { 0 };
    }
    let seconds = (SOONEST * STEPS).max(Duration::from_millis(1)).as_secs_f64();
    [asks as f64, sent as f64, granted as f64, nanos as f64].map(|cost| cost / seconds)
}

/// An entry VM's dispatch with so many upstreams, all of which another VM leases out.
fn dispatched(upstreams: usize) -> [f64; 2] {
    let mut now = Instant::now();
    let host: id::Vm = "region-0-vm-002".parse().expect("a name");
    let me: id::Vm = "region-0-vm-001".parse().expect("a name");
    let region: id::Region = "region-0".parse().expect("a name");
    let mut dispatch = Dispatch::new(&me, &region, Incarnation::new(1), 1);
    for number in 0..upstreams {
        let announcement = decide::announcement(number, &format!("storm-{}", number % 9));
        dispatch.appeared(Hosted { announcement, host: host.clone() }, now);
    }
    let message = Message::AskAgain { upstream: decide::announcement(0, "storm").id };
    let told = meter::nanos(|| dispatch.slots_told(&host, &message, now));
    let due = meter::nanos(|| {
        now += SOONEST;
        dispatch.slots_due(now)
    });
    [told, due]
}

/// Measures all of it.
pub fn costs() -> Costs {
    let rows: Vec<[f64; 4]> = SIZES.into_iter().map(row).collect();
    let measure = |what, unit, column: usize| {
        let point =
            |(size, row): (usize, &[f64; 4])| Point { size: size as f64, cost: row[column] };
        let slope = Slope::through(SIZES.into_iter().zip(&rows).map(point).collect());
        Measure { what, unit, size: "upstreams used", code: "upstream::Pool", slope }
    };
    let dispatched: Vec<[f64; 2]> = SIZES.into_iter().map(dispatched).collect();
    let dispatch = |what, column: usize| {
        let point =
            |(size, row): (usize, &[f64; 2])| Point { size: size as f64, cost: row[column] };
        let slope = Slope::through(SIZES.into_iter().zip(&dispatched).map(point).collect());
        Measure { what, unit: "ns", size: "upstreams used", code: "entry::Dispatch", slope }
    };
    Costs {
        asks: measure("asks for slots", "1/s", 0),
        ask_bytes: measure("asks for slots", "bytes/s", 1),
        grant_bytes: measure("grants of slots", "bytes/s", 2),
        nanos: measure("asks and grants, both sides", "ns/s", 3),
        told: dispatch("a message about slots taken in", 0),
        due: dispatch("messages about slots that are due", 1),
    }
}

impl Costs {
    /// All, in the order of the page.
    pub fn all(&self) -> [&Measure; 6] {
        [&self.asks, &self.ask_bytes, &self.grant_bytes, &self.nanos, &self.told, &self.due]
    }
}
