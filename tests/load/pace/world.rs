//! The VMs of a region before upstreams of one service whose speed changes.

use std::collections::HashMap;
use std::time::Duration;

use fakes::steps::Ask;
use fakes::steps::Shown;
use masticstream::decide::engine::Output;
use masticstream::decide::pace::Pace;
use masticstream::decide::place::Balancer;
use masticstream::decide::place::Endpoint;
use masticstream::decide::place::InFlight;
use masticstream::decide::place::Outcome;
use masticstream::decide::place::Prefix;
use masticstream::decide::place::Query;
use masticstream::decide::place::Report;
use masticstream::decide::place::Sender;
use masticstream::decide::place::Work;
use masticstream::decide::sharing::Aggregator;
use masticstream::decide::sharing::Cursor;
use masticstream::decide::sharing::SHARDS;
use masticstream::decide::sharing::UPDATE_INTERVAL;
use masticstream::decide::sharing::Update;
use masticstream::id;
use masticstream::unit::Slots;
use masticstream::unit::Tokens;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::upstream::ENGINE;
use super::upstream::PLAIN_SLOTS;
use super::upstream::Upstream;
use super::upstream::phases;
use crate::restrictions::world::SERVICE;
use crate::restrictions::world::endpoint;

const STEP: Duration = Duration::from_millis(5);
/// From when on answers are counted.
const COUNTED: Duration = Duration::from_secs(4);
const SPAN: Duration = Duration::from_secs(24);
/// Plain upstreams and engines of a region.
const PLAIN: usize = 7;
const ENGINES: usize = 12;
/// The mean duration of a plain request, and the requests that an engine runs a second.
const PLAIN_SECONDS: f64 = 0.06;
const ENGINE_RATE: f64 = 20.0;
/// One of so many prompts is long, with a part that others share.
const LONG: usize = 7;
const SHARED_PARTS: u64 = 60;
const MAX_ATTEMPTS: usize = 3;

/// What runs the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Plain,
    Engine,
}

impl Kind {
    /// The objective, in seconds.
    const fn objective(self) -> f64 {
        match self {
            Self::Plain => 0.3,
            Self::Engine => 0.8,
        }
    }
}

/// VMs, upstreams and their load.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    pub kind: Kind,
    pub vms: usize,
    /// The requests relative to what the upstreams can run.
    pub load: f64,
    /// Whether responses state the pace.
    pub is_stated: bool,
    /// Whether upstreams are slow at times.
    pub has_phases: bool,
}

/// The seconds until callers received an answer, or its first event; infinite for those that received none.
#[derive(Debug, Default, PartialEq)]
pub struct Tally {
    latencies: Vec<f64>,
    objective: f64,
}

impl Tally {
    pub fn merge(mut self, other: Self) -> Self {
        self.latencies.extend(other.latencies);
        self
    }

    /// The mean of the answers that were received.
    pub fn mean(&self) -> f64 {
        let received = || self.latencies.iter().filter(|latency| latency.is_finite());
        received().sum::<f64>() / received().count() as f64
    }

    pub fn quantile(&mut self, fraction: f64) -> f64 {
        self.latencies.sort_unstable_by(f64::total_cmp);
        self.latencies[(self.latencies.len() as f64 * fraction) as usize]
    }

    pub fn in_time(&self) -> f64 {
        let in_time = self.latencies.iter().filter(|latency| **latency <= self.objective);
        in_time.count() as f64 / self.latencies.len() as f64
    }

    pub fn show(&mut self) -> String {
        let (median, most) = (self.quantile(0.5), self.quantile(0.95));
        let (mean, in_time) = (self.mean() * 1000.0, self.in_time() * 100.0);
        format!(
            "mean {mean:.1} ms, median {:.0}, 95th {:.0}, in time {in_time:.2}%",
            median * 1000.0,
            most * 1000.0
        )
    }
}

struct Request {
    vm: usize,
    sent_at: Duration,
    ask: Ask,
    seconds: f64,
    tried: Vec<id::Upstream>,
    in_flight: Option<InFlight>,
    upstream: usize,
    latency: Option<f64>,
}

struct Vm {
    balancer: Balancer,
    updates: u64,
    known: [Cursor; SHARDS as usize],
}

struct World {
    setting: Setting,
    start: Instant,
    rng: SmallRng,
    vms: Vec<Vm>,
    upstreams: Vec<Upstream>,
    hosts: Vec<Aggregator>,
    requests: Vec<Request>,
}

fn vm_name(rank: usize) -> id::Vm {
    format!("vm{rank}").parse().unwrap()
}

fn upstream_name(index: usize) -> id::Upstream {
    format!("u{index}").parse().unwrap()
}

/// Plays a setting.
pub fn play(setting: Setting, seed: u64) -> Tally {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = if setting.kind == Kind::Plain { PLAIN } else { ENGINES };
    let upstreams = (0..count).map(|_| {
        let drawn = phases(SPAN, &mut rng);
        let phases = if setting.has_phases { drawn } else { Vec::new() };
        match setting.kind {
            Kind::Plain => Upstream::plain(phases),
            Kind::Engine => Upstream::engine(phases),
        }
    });
    let upstreams = upstreams.collect();
    let start = Instant::now();
    let vms = (0..setting.vms).map(|rank| new_vm(setting, rank, count, start)).collect();
    let hosts = (0..SHARDS).map(|_| Aggregator::new(1)).collect();
    let mut world = World { setting, start, rng, vms, upstreams, hosts, requests: Vec::new() };
    let steps = (SPAN.as_millis() / STEP.as_millis()) as u32;
    for step in 0..steps {
        world.advance(step);
    }
    world.tally()
}

fn new_vm(setting: Setting, rank: usize, upstreams: usize, now: Instant) -> Vm {
    let (slots, memory) = match setting.kind {
        Kind::Plain => (PLAIN_SLOTS, None),
        Kind::Engine => (ENGINE.slots, Some(Tokens::new(ENGINE.memory))),
    };
    let endpoints = (0..upstreams).map(|index| Endpoint {
        slots: Slots::new(slots as u64),
        memory,
        ..endpoint(upstream_name(index).as_str())
    });
    let names: Vec<id::Vm> = (0..setting.vms).map(vm_name).collect();
    let sender = Sender::new(vm_name(rank), &names, now);
    let mut balancer = Balancer::new(SmallRng::seed_from_u64(rank as u64));
    balancer.sync(endpoints.collect(), HashMap::from([(SERVICE.to_owned(), sender)]), now);
    Vm { balancer, updates: 0, known: Default::default() }
}

impl World {
    fn tally(self) -> Tally {
        let counted = self
            .requests
            .iter()
            .filter(|request| (COUNTED..SPAN - Duration::from_secs(2)).contains(&request.sent_at));
        let latencies = counted.map(|request| request.latency.unwrap_or(f64::INFINITY)).collect();
        Tally { latencies, objective: self.setting.kind.objective() }
    }

    fn advance(&mut self, step: u32) {
        let at = STEP * step;
        for upstream in 0..self.upstreams.len() {
            for (request, shown) in self.upstreams[upstream].advance(STEP, at) {
                self.show(request, shown, at);
            }
        }
        let turns = (UPDATE_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        for rank in 0..self.setting.vms {
            for shard in 0..SHARDS {
                let turn = rank + usize::from(shard) * turns / usize::from(SHARDS);
                if step as usize % turns == turn % turns {
                    self.share(rank, shard, at);
                }
            }
        }
        let capacity = match self.setting.kind {
            Kind::Plain => (PLAIN * PLAIN_SLOTS) as f64 / PLAIN_SECONDS,
            Kind::Engine => ENGINES as f64 * ENGINE_RATE,
        };
        let mut due = self.setting.load * capacity * STEP.as_secs_f64();
        while due > 0.0 {
            if self.rng.random_bool(due.min(1.0)) {
                self.arrive(at);
            }
            due -= 1.0;
        }
    }

    fn arrive(&mut self, at: Duration) {
        let vm = self.rng.random_range(0..self.setting.vms);
        let number = self.requests.len();
        let seconds = PLAIN_SECONDS * self.rng.random_range(0.5..1.5);
        let part = self.rng.random_range(0..SHARED_PARTS);
        let output = self.rng.random_range(20..90);
        let is_long = number.is_multiple_of(LONG);
        let ask = Ask {
            id: number as u64,
            shared: is_long.then_some((part, 13_300)),
            own: if is_long { 3_720 } else { 300 },
            output,
            rank: u8::from(is_long),
        };
        let (tried, in_flight, latency) = (Vec::new(), None, None);
        self.requests.push(Request {
            vm,
            sent_at: at,
            ask,
            seconds,
            tried,
            in_flight,
            upstream: 0,
            latency,
        });
        self.send(number, at);
    }

    fn send(&mut self, number: usize, at: Duration) {
        let now = self.start + at;
        let is_engine = self.setting.kind == Kind::Engine;
        while self.requests[number].tried.len() < MAX_ATTEMPTS {
            let Request { vm, ask, seconds, tried, .. } = &self.requests[number];
            let (vm, ask, seconds) = (*vm, *ask, *seconds);
            let prefix =
                ask.shared.map(|(key, tokens)| Prefix { key, tokens: Tokens::new(tokens) });
            let output = Output { limit: Tokens::new(u64::from(ask.output)), hint: None };
            let work = match is_engine {
                true => Work { prefix, suffix: Tokens::new(ask.own), output },
                false => Work::default(),
            };
            let query = Query {
                service: SERVICE,
                work,
                tried,
                holds_prefix: true,
                urgent: ask.rank == 0,
                max_wait: Duration::MAX,
                only: None,
            };
            let balancer = &mut self.vms[vm].balancer;
            let Some(placement) = balancer.choose(&query, now) else { return };
            let in_flight = balancer.record_sent(&placement, &work, now);
            let index: usize = placement.id.as_str()[1..].parse().unwrap();
            let request = &mut self.requests[number];
            request.upstream = index;
            request.tried.push(placement.id);
            if self.upstreams[index].offer(number, ask, seconds, at) {
                request.in_flight = Some(in_flight);
                return;
            }
            self.report(number, at);
            self.vms[vm].balancer.record_end(in_flight, Outcome::Refused, now);
        }
    }

    /// The head of a response reaches its VM.
    fn report(&mut self, number: usize, at: Duration) {
        let Request { vm, upstream: index, .. } = self.requests[number];
        let upstream = &self.upstreams[index];
        let (running, waiting) = upstream.load();
        let stated = Pace::from_percent(upstream.pace(at) * 100.0);
        let pace = stated.filter(|_| self.setting.is_stated);
        let report = Report { running, waiting, slots: None, pace };
        self.vms[vm].balancer.record_report(&upstream_name(index), report, self.start + at);
    }

    fn show(&mut self, number: usize, shown: Shown, at: Duration) {
        let now = self.start + at;
        if self.requests[number].latency.is_none() {
            self.report(number, at);
        }
        let Request { vm, in_flight, latency, sent_at, .. } = &mut self.requests[number];
        latency.get_or_insert((at - *sent_at).as_secs_f64());
        let balancer = &mut self.vms[*vm].balancer;
        let Some(mut running) = in_flight.take() else { return };
        balancer.record_event(&mut running, now);
        match shown {
            Shown::Event => *in_flight = Some(running),
            Shown::End => balancer.record_end(running, Outcome::Answered, now),
        }
    }

    /// Exchanges with the host of a shard what both know of its upstreams.
    fn share(&mut self, rank: usize, shard: u8, at: Duration) {
        let now = self.start + at;
        let vm = &mut self.vms[rank];
        vm.updates += 1;
        let known = &mut vm.known[usize::from(shard)];
        let update = Update {
            shard,
            start: 1,
            number: vm.updates,
            loads: vm.balancer.loads(shard, now),
            uses: vm.balancer.take_uses(shard),
            known: *known,
            paces: vm.balancer.paces(shard, now),
            ..Update::default()
        };
        let summary = self.hosts[usize::from(shard)].apply_update(&vm_name(rank), update, now);
        let summary = summary.unwrap();
        *known = summary.known;
        vm.balancer.apply_summary(&summary, now);
    }
}
