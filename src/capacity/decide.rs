//! What the decisions on a request cost an entry VM.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Measure;
use super::Point;
use super::Slope;
use super::catalogue;
use super::meter;
use crate::catalogue::Class;
use crate::decide::admission::Admission;
use crate::decide::limit::Allowance;
use crate::decide::queue::Bounds;
use crate::decide::queue::Capacity;
use crate::decide::queue::Queue;
use crate::decide::queue::Ticket;
use crate::decide::route::Criteria;
use crate::decide::route::Router;
use crate::id;
use crate::unit::Bytes;
use crate::unit::Incarnation;
use crate::unit::Slots;
use crate::unit::Tokens;
use crate::upstream::Announcement;
use crate::upstream::Kind;
use crate::upstream::Load;
use crate::upstream::Role;

const OWNERS: [usize; 3] = [1_000, 4_000, 8_900];
const UPSTREAMS: [usize; 4] = [120, 240, 480, 850];
const SLOTS: u64 = 8;

/// The costs of decisions.
pub struct Costs {
    /// Nanoseconds to push and pop, by waiting owners.
    pub queue: Measure,
    /// Nanoseconds to admit, by waiting owners.
    pub admission: Measure,
    /// Nanoseconds to charge and settle, by allowances.
    pub limit: Measure,
    /// Bytes of memory of allowances.
    pub limit_memory: Measure,
    /// Nanoseconds to pick, by upstreams.
    pub pick: Measure,
    /// Nanoseconds to pick with the means worked out anew.
    pub refresh: Measure,
    /// Bytes of memory of a route.
    pub route_memory: Measure,
}

fn ticket(number: usize, owners: &[id::Owner], now: Instant) -> Ticket {
    Ticket {
        request: id::Request::new(number as u128),
        owner: owners[number % owners.len()].clone(),
        class: Class::ALL[number / 7 % Class::COUNT],
        weight: 1,
        deadline: now + Duration::from_secs(3_600 + (number * 7_919 % 1_000) as u64),
        service: Duration::from_secs(1),
        tail: Duration::from_secs(2),
        size: Bytes::new(1_000),
        arrived: now,
    }
}

/// One request of each owner waits.
fn waiting(count: usize) -> [f64; 2] {
    let now = Instant::now();
    let name = |number| format!("organisation-{number}").parse().expect("a name");
    let owners: Vec<id::Owner> = (0..count).map(name).collect();
    let capacity = Capacity::new(Slots::new(SLOTS * 850));
    let mut queue = Queue::new(Bounds { count: 1 << 20, ..Bounds::default() });
    let mut next = 0;
    for _ in 0..count {
        next += 1;
        queue.push(ticket(next, &owners, now), now).ok();
    }
    let mut admission = Admission::new(SmallRng::seed_from_u64(1));
    let admitted = meter::nanos(|| {
        next += 1;
        admission.admit(&ticket(next, &owners, now), &queue, &capacity, now)
    });
    let queued = meter::nanos(|| {
        next += 1;
        queue.push(ticket(next, &owners, now), now).ok();
        queue.pop(now, &capacity)
    });
    [queued, admitted]
}

/// So many owners have a part of their limits here.
fn allowances(count: usize) -> [f64; 2] {
    let now = Instant::now();
    let vm: id::Vm = "region-0-vm-001".parse().expect("a name");
    let limits = catalogue::entry(0).limits;
    let build = || -> Vec<Allowance> {
        let new =
            |number| Allowance::new(catalogue::entry(number).name, vm.clone(), &limits, 200, now);
        (0..count).map(new).collect()
    };
    let memory = meter::memory(build);
    let mut all = build();
    let (mut turn, mut time) = (0, now);
    let charged = meter::nanos(|| {
        turn = (turn + 1) % count;
        time += Duration::from_millis(1);
        if let Ok(charge) = all[turn].charge(Tokens::new(100), time) {
            all[turn].settle(charge, Tokens::new(120), time);
        }
    });
    [charged, memory]
}

/// What an engine with that model announces.
pub fn announcement(number: usize, model: &str) -> Announcement {
    let model: id::Model = model.parse().expect("a name");
    Announcement {
        id: format!("engine-{number:03}").parse().expect("a name"),
        address: ([10, 0, 0, 1], 9).into(),
        region: "region-0".parse().expect("a name"),
        data_centre: "region-0-a".parse().expect("a name"),
        kind: Kind::Engine,
        slots: Slots::new(SLOTS),
        models: [model].into(),
        adapters: [].into(),
        versions: [].into(),
        role: Role::Mixed,
        incarnation: Incarnation::new(1),
        checks_fence: true,
        sequence: 1,
    }
}

fn routed(count: usize) -> [f64; 3] {
    let now = Instant::now();
    let build = || {
        let mut route = Router::new(&"region-0-vm-001".parse().expect("a name"));
        for number in 0..count {
            let announcement = announcement(number, "storm");
            route.update_announcement(&announcement, now);
            let load = Load {
                upstream: announcement.id,
                incarnation: Incarnation::new(1),
                sequence: 1,
                running: (number % 8) as u32,
                waiting: 0,
                age: Duration::ZERO,
            };
            route.update_load(&load, now);
        }
        route
    };
    let memory = meter::memory(build);
    let mut route = build();
    let model: id::Model = "storm".parse().expect("a name");
    let (facts, mut rng) = (Criteria::new(&model, Class::Short), SmallRng::seed_from_u64(1));
    let pick = meter::nanos(|| route.pick(&facts, now, &mut rng));
    let mut later = now;
    let refresh = meter::nanos(|| {
        later += Duration::from_millis(100);
        route.pick(&facts, later, &mut rng)
    });
    [pick, refresh, memory]
}

fn measure<const N: usize>(
    (what, unit): (&'static str, &'static str),
    (size, code): (&'static str, &'static str),
    (sizes, rows): (&[usize], &[[f64; N]]),
    column: usize,
) -> Measure {
    let point = |(size, row): (&usize, &[f64; N])| Point { size: *size as f64, cost: row[column] };
    let slope = Slope::through(sizes.iter().zip(rows).map(point).collect());
    Measure { what, unit, size, code, slope }
}

/// Measures all of it.
pub fn costs() -> Costs {
    let waiting: Vec<[f64; 2]> = OWNERS.into_iter().map(waiting).collect();
    let allowances: Vec<[f64; 2]> = OWNERS.into_iter().map(allowances).collect();
    let routed: Vec<[f64; 3]> = UPSTREAMS.into_iter().map(routed).collect();
    let (owners, parts) = ((&OWNERS[..], &waiting[..]), (&OWNERS[..], &allowances[..]));
    let routes = (&UPSTREAMS[..], &routed[..]);
    let queue = ("waiting owners", "decide::queue");
    let admission = ("waiting owners", "decide::admission");
    let limit = ("owners", "decide::limit::Allowance");
    let route = ("upstreams of one model", "decide::route");
    Costs {
        queue: measure(("a request pushed and popped", "ns"), queue, owners, 0),
        admission: measure(("a request admitted", "ns"), admission, owners, 1),
        limit: measure(("a request charged and settled", "ns"), limit, parts, 0),
        limit_memory: measure(("allowances, memory", "bytes"), limit, parts, 1),
        pick: measure(("a pick", "ns"), route, routes, 0),
        refresh: measure(("a pick with means worked out anew", "ns"), route, routes, 1),
        route_memory: measure(("route, memory", "bytes"), route, routes, 2),
    }
}

impl Costs {
    /// All, in the order of the page.
    pub fn all(&self) -> [&Measure; 7] {
        [
            &self.queue,
            &self.admission,
            &self.limit,
            &self.limit_memory,
            &self.pick,
            &self.refresh,
            &self.route_memory,
        ]
    }

    /// Nanoseconds of all decisions on one request.
    pub fn request(&self, owners: f64, upstreams: f64) -> f64 {
        let queue = self.queue.slope.at(owners) + self.admission.slope.at(owners);
        queue + self.limit.slope.at(owners) + self.pick.slope.at(upstreams)
    }
}
