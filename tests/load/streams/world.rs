//! Regions of engines with entry VMs before them, and callers who leave when their time is over.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use fakes::steps::Ask;
use fakes::steps::Settings;
use fakes::steps::Shown;
use fakes::steps::Steps;
use masticstream::decide::engine::Output;
use masticstream::decide::place::Balancer;
use masticstream::decide::place::Endpoint;
use masticstream::decide::place::Holder;
use masticstream::decide::place::InFlight;
use masticstream::decide::place::OpenUpstreams;
use masticstream::decide::place::Outcome;
use masticstream::decide::place::Prefix;
use masticstream::decide::place::Query;
use masticstream::decide::place::RegionQuery;
use masticstream::decide::place::Regions;
use masticstream::decide::place::Report;
use masticstream::decide::place::Sender;
use masticstream::decide::place::Work;
use masticstream::decide::place::wait;
use masticstream::decide::sharing::Aggregator;
use masticstream::decide::sharing::Cursor;
use masticstream::decide::sharing::REMOTES_SHARD;
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

/// The VMs of a region tell their host by turns, so many in a round.
const TURNS: usize = 16;
const TURN: Duration = UPDATE_INTERVAL.checked_div(TURNS as u32).unwrap();

/// One way between regions, in seconds.
const WAY: f64 = 0.055;
const SERVICE: &str = "s";

/// How requests are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// By the cost of the whole answer, with what the VMs of a region tell each other.
    Ours,
    /// The same, each VM by its own view.
    Alone,
    /// The engines of the own region in turn.
    RoundRobin,
}

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// The parts that its requests share, and their length; none where there are no parts.
    pub parts: u64,
    pub shared: u64,
    pub own: u64,
    /// The median length of its answers, and the spread of their logarithm.
    pub output: f64,
    pub spread: f64,
    pub objective: f64,
    pub deadline: f64,
    pub rank: u8,
}

/// A deployment and its load.
#[derive(Debug, Clone)]
pub struct Site {
    /// The engines of each region.
    pub regions: Vec<Vec<Settings>>,
    pub vms: usize,
    pub kinds: Vec<Kind>,
    /// Requests a second in each region, by kind.
    pub rates: Vec<Vec<f64>>,
    pub seconds: f64,
}

/// What callers received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub asked: u32,
    pub whole: u32,
    pub in_time: u32,
    /// Of the tenth with the longest answers.
    pub long_asked: u32,
    pub long_whole: u32,
    /// Tokens of shared parts that engines have read.
    pub read_again: u64,
}

impl Tally {
    pub fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    pub fn long_whole(&self) -> f64 {
        f64::from(self.long_whole) / f64::from(self.long_asked.max(1))
    }
}

/// A request on its way to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Arrival {
    micros: u64,
    request: usize,
    region: usize,
    forwarded: bool,
}

impl Ord for Arrival {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let key = |arrival: &Self| (arrival.micros, arrival.request, arrival.forwarded);
        key(self).cmp(&key(other))
    }
}

impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// A request as its caller sees it.
#[derive(Debug)]
struct Request {
    kind: Kind,
    ask: Ask,
    hint: u64,
    came: f64,
    /// The VM that sent it to an engine, its place there, and how far that VM is from its caller.
    sent: Option<(usize, usize, usize, f64)>,
    held: Option<InFlight>,
    first: Option<f64>,
    is_whole: bool,
    is_over: bool,
    /// The caller's region, where it was passed on.
    from: Option<(usize, usize)>,
}

struct Vm {
    place: Balancer,
    regions: Regions,
    turn: usize,
    known: [Cursor; SHARDS as usize],
}

/// A VM tells the host of all shards what it has, and takes what the others have.
fn tell(host: &mut Aggregator, nth: usize, vm: &mut Vm, number: u64, now: Instant) {
    let name: id::Vm = format!("vm{nth}").parse().unwrap();
    for shard in 0..SHARDS {
        let known = vm.known[usize::from(shard)];
        let (loads, uses) = (vm.place.loads(shard, now), vm.place.take_uses(shard));
        let remotes =
            if shard == REMOTES_SHARD { vm.regions.take_outlooks(now) } else { Vec::new() };
        let quotas = Vec::new();
        let (limits, draining) = (vm.place.rate_notices(shard, now), vm.place.draining(shard));
        let update = Update {
            held: None,
            shard,
            start: 1,
            number,
            loads,
            quotas,
            uses,
            known,
            remotes,
            limits,
            draining,
            claims: Vec::new(),
        };
        let summary = host.apply_update(&name, update, now).unwrap();
        vm.known[usize::from(shard)] = summary.known;
        vm.place.apply_summary(&summary, now);
        vm.regions.apply_remotes(&summary.remotes, now);
    }
}

struct World {
    /// The host of each region, for all shards.
    hosts: Vec<Aggregator>,
    /// Updates of all VMs, and the turns of VMs, so far.
    updates: u64,
    turns: u64,
    start: Instant,
    policy: Policy,
    engines: Vec<Vec<Steps>>,
    vms: Vec<Vec<Vm>>,
    requests: Vec<Request>,
    rng: SmallRng,
}

fn region_name(region: usize) -> id::Region {
    format!("r{region}").parse().unwrap()
}

fn engine_name(region: usize, engine: usize) -> id::Upstream {
    format!("r{region}e{engine}").parse().unwrap()
}

impl World {
    fn new(site: &Site, policy: Policy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let seen = |region: usize| -> Vec<Endpoint> {
            let engines = site.regions[region].iter().enumerate();
            let seen = engines.map(|(nth, settings)| Endpoint {
                id: engine_name(region, nth),
                incarnation: 1,
                service: SERVICE.to_owned(),
                address: ([127, 0, 0, 1], 1).into(),
                slots: Slots::new(settings.slots as u64),
                memory: Some(Tokens::new(settings.memory)),
                connections: 10_000,
                cold: None,
                open: true,
                draining: false,
                silent: false,
            });
            seen.collect()
        };
        let vm_name = |nth: usize| format!("vm{nth}").parse::<id::Vm>().unwrap();
        let names: Vec<id::Vm> = (0..site.vms).map(vm_name).collect();
        let vms = (0..site.regions.len()).map(|region| {
            let vms = (0..site.vms).map(|nth| {
                let mut place = Balancer::new(SmallRng::from_rng(&mut rng));
                let sender = Sender::new(vm_name(nth), &names, start);
                let senders = HashMap::from([(SERVICE.to_owned(), sender)]);
                place.sync(seen(region), senders, start);
                let open: OpenUpstreams = (0..site.regions.len())
                    .filter(|other| *other != region)
                    .map(|other| {
                        let names = 0..site.regions[other].len();
                        (region_name(other), names.map(|nth| engine_name(other, nth)).collect())
                    })
                    .collect();
                let mut regions = Regions::default();
                regions.sync(HashMap::from([(SERVICE.to_owned(), open)]));
                Vm { place, regions, turn: nth, known: Default::default() }
            });
            vms.collect()
        });
        let vms = vms.collect();
        let engines = site.regions.iter();
        let engines =
            engines.map(|region| region.iter().map(|settings| Steps::new(*settings)).collect());
        let engines = engines.collect();
        let hosts = site.regions.iter().map(|_| Aggregator::new(1)).collect();
        let (updates, turns) = (0, 0);
        Self { hosts, updates, turns, start, policy, engines, vms, requests: Vec::new(), rng }
    }

    fn at(&self, seconds: f64) -> Instant {
        self.start + Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Draws all requests; the same for each policy.
    fn draw(&mut self, site: &Site, seed: u64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (region, rates) in site.rates.iter().enumerate() {
            for (kind, rate) in site.kinds.iter().zip(rates) {
                let mut at = 0.0;
                loop {
                    at += -(1.0 - rng.random::<f64>()).ln() / rate.max(1e-9);
                    if at > site.seconds {
                        break;
                    }
                    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
                    let error: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
                    let output = (kind.output * (normal * kind.spread).exp()).clamp(1.0, 4000.0);
                    let request = self.requests.len();
                    let shared = (kind.parts > 0)
                        .then(|| (rng.random_range(0..kind.parts) + kind.own * 1000, kind.shared));
                    self.requests.push(Request {
                        kind: *kind,
                        ask: Ask {
                            id: request as u64,
                            shared,
                            own: kind.own,
                            output: output as u32,
                            rank: kind.rank,
                        },
                        hint: (output * (error * 0.5).exp()).max(1.0) as u64,
                        came: at,
                        sent: None,
                        held: None,
                        first: None,
                        is_whole: false,
                        is_over: false,
                        from: None,
                    });
                    let micros = (at * 1e6) as u64;
                    arrivals.push(Arrival { micros, request, region, forwarded: false });
                }
            }
        }
        arrivals
    }

    fn work(&self, request: usize) -> Work {
        let Request { ask, hint, .. } = &self.requests[request];
        let shared = ask.shared.map(|(key, tokens)| Prefix { key, tokens: Tokens::new(tokens) });
        let output = Output { limit: Tokens::new(4000), hint: Some(Tokens::new(*hint)) };
        Work { prefix: shared, suffix: Tokens::new(ask.own), output, ..Work::default() }
    }

    /// A request reaches a VM, which sends it to an engine or to another region; the arrival there, where it does.
    fn arrive(&mut self, arrival: Arrival) -> Option<Arrival> {
        let Arrival { micros, request, region, forwarded } = arrival;
        let now = micros as f64 / 1e6;
        let instant = self.at(now);
        let nth = self.rng.random_range(0..self.vms[region].len());
        let work = self.work(request);
        let kind = self.requests[request].kind;
        let vm = &mut self.vms[region][nth];
        if self.policy == Policy::RoundRobin {
            vm.turn += 1;
            let engine = vm.turn % self.engines[region].len();
            self.send(request, (region, nth, engine), None, now);
            return None;
        }
        let allows = |_: &id::Region| true;
        let urgent = kind.rank == 0;
        let longest = wait::limit(Duration::from_secs_f64(kind.objective), urgent);
        let passage = RegionQuery {
            service: SERVICE,
            work,
            urgent,
            bytes: 5000,
            max_wait: longest,
            allows: &allows,
        };
        let weight = work.prefix.and_then(|shared| vm.place.rendezvous_weight(SERVICE, &shared));
        let holder = vm.regions.holder(&passage, weight, instant);
        let holds_prefix = holder == Holder::Local;
        let demand = Query {
            service: SERVICE,
            work,
            tried: &[],
            holds_prefix,
            urgent,
            max_wait: longest,
            only: None,
        };
        let here = vm.place.choose(&demand, instant);
        let usual = vm.place.profile(SERVICE);
        let offers = match forwarded {
            true => Vec::new(),
            false => vm.regions.candidates(&passage, &holder, &usual, || Duration::ZERO, instant),
        };
        let cost = here.as_ref().map_or(Duration::MAX, |fit| fit.cost);
        if let Some(offer) = offers.first().filter(|offer| offer.cost < cost) {
            let there = (0..self.vms.len()).find(|r| region_name(*r) == offer.region).unwrap();
            self.requests[request].from = Some((region, nth));
            let micros = micros + (WAY * 1e6) as u64;
            return Some(Arrival { micros, request, region: there, forwarded: true });
        }
        let fit = here?;
        if fit.first_event > longest {
            self.requests[request].is_over = true;
            return None;
        }
        let held = vm.place.record_sent(&fit, &work, instant);
        let engine = (0..self.engines[region].len())
            .find(|nth| engine_name(region, *nth) == fit.id)
            .unwrap();
        self.send(request, (region, nth, engine), Some(held), now);
        None
    }

    fn send(
        &mut self,
        request: usize,
        (region, vm, engine): (usize, usize, usize),
        held: Option<InFlight>,
        now: f64,
    ) {
        let asked = &mut self.requests[request];
        let way = if asked.from.is_some() { WAY } else { 0.0 };
        asked.sent = Some((region, vm, engine, way));
        asked.held = held;
        self.engines[region][engine].take(asked.ask, now);
    }

    /// Engines go on until then, and VMs and callers see what comes of it.
    fn advance(&mut self, until: f64) {
        for region in 0..self.engines.len() {
            for engine in 0..self.engines[region].len() {
                for (at, request, shown) in self.engines[region][engine].run(until) {
                    self.show(region, engine, request as usize, at, shown);
                }
            }
        }
        for request in 0..self.requests.len() {
            let Request { came, kind, is_over, sent, .. } = &self.requests[request];
            let (Some((region, vm, engine, _)), false) = (*sent, *is_over) else { continue };
            if until >= came + kind.deadline {
                self.engines[region][engine].drop(request as u64);
                self.end(request, region, vm, Outcome::Abandoned, until);
            }
        }
    }

    fn show(&mut self, region: usize, engine: usize, request: usize, at: f64, shown: Shown) {
        let Some((_, vm, _, way)) = self.requests[request].sent else { return };
        if self.requests[request].is_over {
            return;
        }
        let instant = self.at(at);
        let is_first = self.requests[request].first.is_none();
        if is_first {
            self.requests[request].first = Some(at + way);
            let (running, waiting) = self.engines[region][engine].load();
            let place = &mut self.vms[region][vm].place;
            place.record_report(&engine_name(region, engine), Report { running, waiting }, instant);
            if let Some((from, asked)) = self.requests[request].from
                && let Some(outlook) = place.outlook(SERVICE, true, instant)
            {
                let name = region_name(region);
                for urgent in [false, true] {
                    let about = (SERVICE, urgent);
                    self.vms[from][asked].regions.record_outlook(&name, about, outlook, instant);
                }
            }
        }
        if let Some(held) = &mut self.requests[request].held {
            self.vms[region][vm].place.record_event(held, instant);
        }
        if shown == Shown::End {
            let asked = &mut self.requests[request];
            asked.is_whole = at + way <= asked.came + asked.kind.deadline;
            self.end(request, region, vm, Outcome::Answered, at);
        }
    }

    fn end(&mut self, request: usize, region: usize, vm: usize, outcome: Outcome, at: f64) {
        let instant = self.at(at);
        let asked = &mut self.requests[request];
        asked.is_over = true;
        if let Some(held) = asked.held.take() {
            self.vms[region][vm].place.record_end(held, outcome, instant);
        }
    }

    /// VMs whose turn it is tell their region's host what they have, and are answered.
    fn share(&mut self, until: f64) {
        while self.policy == Policy::Ours && self.turns as f64 * TURN.as_secs_f64() <= until {
            let turn = self.turns as usize % TURNS;
            let now = self.at(self.turns as f64 * TURN.as_secs_f64());
            self.turns += 1;
            for (host, vms) in self.hosts.iter_mut().zip(&mut self.vms) {
                for nth in (turn..vms.len()).step_by(TURNS) {
                    self.updates += 1;
                    tell(host, nth, &mut vms[nth], self.updates, now);
                }
            }
        }
    }

    fn tally(&self) -> Tally {
        let mut lengths: Vec<u32> = self.requests.iter().map(|asked| asked.ask.output).collect();
        lengths.sort_unstable();
        let long = lengths[lengths.len() * 9 / 10];
        let engines = self.engines.iter().flatten();
        let mut tally = Tally {
            read_again: engines.map(|engine| engine.shared_read).sum(),
            ..Tally::default()
        };
        for asked in &self.requests {
            let in_time =
                asked.first.is_some_and(|first| first <= asked.came + asked.kind.objective);
            tally.asked += 1;
            tally.whole += u32::from(asked.is_whole);
            tally.in_time += u32::from(asked.is_whole && in_time);
            if asked.ask.output >= long {
                tally.long_asked += 1;
                tally.long_whole += u32::from(asked.is_whole);
            }
        }
        tally
    }
}

/// Plays a deployment's load.
pub fn play(site: &Site, policy: Policy, seed: u64) -> Tally {
    let mut world = World::new(site, policy, seed);
    let arrivals = world.draw(site, seed);
    let mut queue: BinaryHeap<Reverse<Arrival>> = arrivals.into_iter().map(Reverse).collect();
    let mut shown = 0.0;
    while let Some(Reverse(arrival)) = queue.pop() {
        let now = arrival.micros as f64 / 1e6;
        // Callers and VMs see events some milliseconds late; it spares looking at all engines for each arrival.
        if now >= shown + 0.005 {
            world.advance(now);
            shown = now;
        }
        world.share(now);
        if let Some(passed_on) = world.arrive(arrival) {
            queue.push(Reverse(passed_on));
        }
    }
    let longest = site.kinds.iter().map(|kind| kind.deadline).fold(0.0, f64::max);
    let mut now = site.seconds;
    while now < site.seconds + longest + 1.0 {
        now += 0.05;
        world.advance(now);
    }
    world.tally()
}
