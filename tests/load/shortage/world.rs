//! Engines of a region, its VMs, and callers who return once.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use fakes::steps::Ask;
use fakes::steps::Shown;
use fakes::steps::Steps;
use masticstream::decide::engine::Output;
use masticstream::decide::place::Balancer;
use masticstream::decide::place::Endpoint;
use masticstream::decide::place::InFlight;
use masticstream::decide::place::Outcome;
use masticstream::decide::place::Prefix;
use masticstream::decide::place::Query;
use masticstream::decide::place::Report;
use masticstream::decide::place::Sender;
use masticstream::decide::place::Work;
use masticstream::decide::place::wait;
use masticstream::decide::sharing::Aggregator;
use masticstream::decide::sharing::Cursor;
use masticstream::decide::sharing::SHARDS;
use masticstream::decide::sharing::UPDATE_INTERVAL;
use masticstream::decide::sharing::Update;
use masticstream::decide::shortage::Returns;
use masticstream::decide::shortage::Shortages;
use masticstream::id;
use masticstream::unit::Slots;
use masticstream::unit::Tokens;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::pace::upstream::ENGINE;

const SERVICE: &str = "s";

/// The bounds of the time after which a refused caller returns.
const MIN_RETRY_AFTER: f64 = 0.15;
const MAX_RETRY_AFTER: f64 = 2.0;

/// A caller honours a `Retry-After` up to this part of the time that it has left.
const MAX_RETURN_FRACTION: f64 = 1.0 / 3.0;

/// What a caller needs to learn of a refusal and to reach another VM.
const RETURN_TRIP: f64 = 0.01;

/// Callers and VMs see events so many seconds late at most.
const STEP: f64 = 0.005;

/// How requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Up to the usual limit of the expected time.
    Usual,
    /// With a lower limit in a shortage.
    Ours,
}

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    /// Tokens that its requests share, in so many prompts; 0 if none.
    pub shared: u64,
    pub prompts: u64,
    pub own: u64,
    /// The median length of its answers.
    pub output: f64,
    pub objective: f64,
    pub timeout: f64,
    pub rank: u8,
    pub urgent: bool,
}

pub const SHORT: Kind = Kind {
    name: "short",
    shared: 0,
    prompts: 0,
    own: 300,
    output: 80.0,
    objective: 0.8,
    timeout: 6.0,
    rank: 0,
    urgent: true,
};

/// Requests that arrive in a span of time.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub kind: Kind,
    pub per_second: f64,
    pub from: f64,
    pub until: f64,
}

/// A region and its load.
#[derive(Debug, Clone)]
pub struct Site {
    pub engines: usize,
    pub vms: usize,
    pub loads: Vec<Load>,
    pub policy: Policy,
}

/// What the callers of one load received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub asked: u32,
    /// With the first event within the objective, counted from the first attempt.
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    GiveUp(usize),
    Tell(usize),
}

#[derive(Debug)]
struct Request {
    load: usize,
    ask: Ask,
    hint: u64,
    came: f64,
    /// How often it was refused.
    refusals: u32,
    sent: Option<(usize, usize)>,
    held: Option<InFlight>,
    first: Option<f64>,
    is_whole: bool,
}

struct Vm {
    place: Balancer,
    shortages: Shortages,
    returns: Returns,
    known: [Cursor; SHARDS as usize],
}

struct World {
    site: Site,
    start: Instant,
    engines: Vec<Steps>,
    vms: Vec<Vm>,
    host: Aggregator,
    updates: u64,
    requests: Vec<Request>,
    queue: BTreeMap<(u64, u64), Event>,
    events: u64,
    ended: Vec<f64>,
    rng: SmallRng,
}

fn engine_name(engine: usize) -> id::Upstream {
    format!("e{engine:03}").parse().unwrap()
}

fn vm_name(vm: usize) -> id::Vm {
    format!("vm{vm}").parse().unwrap()
}

fn normal(rng: &mut SmallRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

impl World {
    fn new(site: &Site, seed: u64) -> Self {
        let start = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = (0..site.vms).map(|nth| new_vm(site, nth, start, &mut rng)).collect();
        let mut world = Self {
            site: site.clone(),
            start,
            engines: (0..site.engines).map(|_| Steps::new(ENGINE)).collect(),
            vms,
            host: Aggregator::new(1),
            updates: 0,
            requests: Vec::new(),
            queue: BTreeMap::new(),
            events: 0,
            ended: Vec::new(),
            rng,
        };
        let interval = UPDATE_INTERVAL.as_secs_f64();
        (0..site.vms).for_each(|vm| {
            world.schedule(interval * vm as f64 / site.vms as f64, Event::Tell(vm));
        });
        (0..site.loads.len()).for_each(|load| world.draw(load));
        world
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.events += 1;
        self.queue.insert(((at * 1e6) as u64, self.events), event);
    }

    /// Draws the requests of a load.
    fn draw(&mut self, load: usize) {
        let Load { kind, per_second, from, until } = self.site.loads[load];
        let mut at = from;
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() / per_second;
            if at >= until {
                return;
            }
            let output = (kind.output * (normal(&mut self.rng) * 0.5).exp()).clamp(5.0, 1000.0);
            let hint = (output * (normal(&mut self.rng) * 0.3).exp()).max(1.0) as u64;
            let prompts = kind.prompts.max(1);
            let shared =
                (kind.shared > 0).then(|| (self.rng.random_range(0..prompts), kind.shared));
            let request = self.requests.len();
            let id = request as u64;
            let output = output as u32;
            self.requests.push(Request {
                load,
                ask: Ask { id, shared, own: kind.own, output, rank: kind.rank },
                hint,
                came: at,
                refusals: 0,
                sent: None,
                held: None,
                first: None,
                is_whole: false,
            });
            self.schedule(at, Event::Arrive(request));
            self.schedule(at + kind.timeout, Event::GiveUp(request));
        }
    }

    fn at(&self, seconds: f64) -> Instant {
        self.start + Duration::from_secs_f64(seconds)
    }

    fn kind(&self, request: usize) -> Kind {
        self.site.loads[self.requests[request].load].kind
    }

    /// A request reaches a VM, which sends it to an engine or refuses it.
    fn arrive(&mut self, request: usize, now: f64) {
        let nth = self.rng.random_range(0..self.vms.len());
        let (instant, kind) = (self.at(now), self.kind(request));
        let Request { ask, hint, came, .. } = &self.requests[request];
        let left = came + kind.timeout - now;
        let prefix = ask.shared.map(|(key, tokens)| Prefix { key, tokens: Tokens::new(tokens) });
        let output = Output { limit: Tokens::new(1000), hint: Some(Tokens::new(*hint)) };
        let work = Work { prefix, suffix: Tokens::new(ask.own), output };
        let objective = Duration::from_secs_f64(kind.objective);
        let ours = self.site.policy == Policy::Ours;
        let vm = &mut self.vms[nth];
        let since_first =
            vm.returns.record_timeout(kind.name, Duration::from_secs_f64(left), instant);
        let max_wait = match ours {
            true => vm.shortages.limit(SERVICE, (objective, kind.urgent), since_first, instant),
            false => wait::limit(objective, kind.urgent),
        };
        let query = Query {
            service: SERVICE,
            work,
            tried: &[],
            holds_prefix: true,
            urgent: kind.urgent,
            max_wait,
            only: None,
        };
        let fit = vm.place.choose(&query, instant).unwrap();
        vm.shortages.record_expected(SERVICE, fit.first_event, objective, instant);
        if fit.first_event > max_wait {
            let after = (fit.first_event - max_wait).as_secs_f64();
            let after = after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            let after = after * (1.0 + self.rng.random::<f64>() / 4.0);
            self.requests[request].refusals += 1;
            if self.requests[request].refusals == 1 {
                let after = after.min(left * MAX_RETURN_FRACTION);
                self.schedule(now + after + RETURN_TRIP, Event::Arrive(request));
            }
            return;
        }
        let held = vm.place.record_sent(&fit, &work, instant);
        let engine = (0..self.engines.len()).find(|nth| engine_name(*nth) == fit.id).unwrap();
        let asked = &mut self.requests[request];
        (asked.sent, asked.held) = (Some((nth, engine)), Some(held));
        self.engines[engine].take(asked.ask, now);
    }

    fn give_up(&mut self, request: usize, now: f64) {
        let instant = self.at(now);
        let asked = &mut self.requests[request];
        let (Some((vm, engine)), Some(held)) = (asked.sent, asked.held.take()) else { return };
        self.engines[engine].drop(request as u64);
        self.vms[vm].place.record_end(held, Outcome::Abandoned, instant);
    }

    /// Engines go on until then, and VMs and callers see what comes of it.
    fn advance(&mut self, until: f64) {
        for engine in 0..self.engines.len() {
            for (at, request, shown) in self.engines[engine].run(until) {
                self.show(engine, request as usize, at, shown);
            }
        }
    }

    fn show(&mut self, engine: usize, request: usize, at: f64, shown: Shown) {
        let instant = self.at(at);
        let (running, waiting) = self.engines[engine].load();
        let asked = &mut self.requests[request];
        let (Some((vm, _)), Some(held)) = (asked.sent, &mut asked.held) else { return };
        let place = &mut self.vms[vm].place;
        if asked.first.is_none() {
            asked.first = Some(at);
            place.record_report(
                &engine_name(engine),
                Report { running, waiting, slots: None, pace: None },
                instant,
            );
        }
        place.record_event(held, instant);
        if shown == Shown::End {
            asked.is_whole = true;
            self.ended.push(at);
            let held = asked.held.take().unwrap();
            place.record_end(held, Outcome::Answered, instant);
        }
    }

    /// A VM tells the host of all shards what it has, and takes what the others have.
    fn tell(&mut self, nth: usize, now: f64) {
        let instant = self.at(now);
        let vm = &mut self.vms[nth];
        self.updates += 1;
        for shard in 0..SHARDS {
            let known = vm.known[usize::from(shard)];
            let update = Update {
                shard,
                start: 1,
                number: self.updates,
                loads: vm.place.loads(shard, instant),
                uses: vm.place.take_uses(shard),
                known,
                ..Update::default()
            };
            let summary = self.host.apply_update(&vm_name(nth), update, instant).unwrap();
            vm.known[usize::from(shard)] = summary.known;
            vm.place.apply_summary(&summary, instant);
        }
        self.schedule(now + UPDATE_INTERVAL.as_secs_f64(), Event::Tell(nth));
    }

    fn run(&mut self) {
        let until = |load: &Load| load.until + load.kind.timeout;
        let end = self.site.loads.iter().map(until).fold(0.0, f64::max) + 1.0;
        let mut advanced = 0.0;
        while let Some(((micros, _), event)) = self.queue.pop_first() {
            let now = micros as f64 / 1e6;
            if now > end {
                return;
            }
            if now >= advanced + STEP {
                self.advance(now);
                advanced = now;
            }
            match event {
                Event::Arrive(request) => self.arrive(request, now),
                Event::GiveUp(request) => self.give_up(request, now),
                Event::Tell(vm) => self.tell(vm, now),
            }
        }
    }
}

fn new_vm(site: &Site, nth: usize, start: Instant, rng: &mut SmallRng) -> Vm {
    let names: Vec<id::Vm> = (0..site.vms).map(vm_name).collect();
    let endpoints = (0..site.engines).map(|engine| Endpoint {
        id: engine_name(engine),
        incarnation: 1,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: Slots::new(ENGINE.slots as u64),
        memory: Some(Tokens::new(ENGINE.memory)),
        connections: 10_000,
        cold: None,
        open: true,
        draining: false,
        silent: false,
    });
    let mut place = Balancer::new(SmallRng::from_rng(rng));
    let sender = Sender::new(vm_name(nth), &names, start);
    place.sync(endpoints.collect(), HashMap::from([(SERVICE.to_owned(), sender)]), start);
    let (shortages, returns) = (Shortages::default(), Returns::default());
    Vm { place, shortages, returns, known: Default::default() }
}

/// Plays the load; returns what the callers of each load received, and the answers that ended a second from the second
/// second of the first load to its end.
pub fn play(site: &Site, seed: u64) -> (Vec<Tally>, f64) {
    let mut world = World::new(site, seed);
    world.run();
    let mut tallies = vec![Tally::default(); site.loads.len()];
    for asked in &world.requests {
        let kind = site.loads[asked.load].kind;
        let tally = &mut tallies[asked.load];
        let is_in_time = asked.first.is_some_and(|first| first <= asked.came + kind.objective);
        tally.asked += 1;
        tally.in_time += u32::from(asked.is_whole && is_in_time);
        tally.late += u32::from(asked.is_whole && !is_in_time);
        tally.refused += u32::from(asked.sent.is_none());
    }
    let Load { from, until, .. } = site.loads[0];
    let span = from + 1.0..until;
    let ended = world.ended.iter().filter(|at| span.contains(at)).count();
    (tallies, ended as f64 / (span.end - span.start))
}
