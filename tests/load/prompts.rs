//! Long prompts with shared parts before engines that evict: what is read again, late and refused, by policy.
//!
//! A region of six VMs. Engines read one prompt after the other, evict the least recently used parts, and give running
//! requests memory first. One VM reads the engines' events; the others hear of them as of the load, every 160 ms.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use masticstream::decide::engine::Output;
use masticstream::decide::held;
use masticstream::decide::place::Balancer;
use masticstream::decide::place::Endpoint;
use masticstream::decide::place::InFlight;
use masticstream::decide::place::Outcome;
use masticstream::decide::place::Prefix;
use masticstream::decide::place::Query;
use masticstream::decide::place::Sender;
use masticstream::decide::place::Work;
use masticstream::decide::route::rendezvous;
use masticstream::decide::sharing::Aggregator;
use masticstream::decide::sharing::Cursor;
use masticstream::decide::sharing::Key;
use masticstream::decide::sharing::SHARDS;
use masticstream::decide::sharing::Update;
use masticstream::id;
use masticstream::unit::Slots;
use masticstream::unit::Tokens;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

const ENGINES: usize = 24;
const VMS: usize = 6;
const PARTS: u64 = 468;
const SHARED: u64 = 13_300;
const OWN: u64 = 3_720;
const SHORT: u64 = 300;
const OUTPUT: u64 = 60;
const MEMORY: u64 = 305_617;
const SLOTS: usize = 12;
const TOKENS_PER_MS: f64 = 49.6;
const STEP_MICROS: u64 = 5_180;
/// The time until the asking VM has an event.
const EVENT_DELAY: u64 = 250_000;
const SHARD_INTERVAL: u64 = 40_000;
const WARM_UP: u64 = 15_000_000;
const END: u64 = 45_000_000;
const LONG_OBJECTIVE: u64 = 1_200_000;
const SHORT_OBJECTIVE: u64 = 800_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    NoAffinity,
    Strict,
    Estimate,
    Index,
}

#[derive(Debug, Clone, Copy)]
struct Job {
    part: Option<u64>,
    arrived: u64,
}

#[derive(Debug)]
enum Event {
    Arrival,
    Exchange(u8),
    Poll,
    Read { engine: usize },
    Done { engine: usize, memory: u64, sent: Box<Sent> },
}

#[derive(Debug)]
struct Sent {
    job: Job,
    vm: usize,
    in_flight: Option<InFlight>,
}

#[derive(Debug, Default)]
struct Engine {
    queue: VecDeque<Sent>,
    reading: Option<Sent>,
    running: usize,
    used: u64,
    parts: VecDeque<u64>,
    next: u64,
    log: VecDeque<(u64, held::Event)>,
}

impl Engine {
    fn record(&mut self, now: u64, part: u64, kept: u64) {
        let event = held::Event { number: self.next, part, kept: Tokens::new(kept) };
        self.log.push_back((now, event));
        self.next += 1;
    }

    /// Starts to read the next prompt; returns the tokens to read.
    fn start(&mut self, now: u64) -> Option<(u64, u64)> {
        if self.reading.is_some() || self.running >= SLOTS {
            return None;
        }
        let sent = self.queue.pop_front()?;
        let part = sent.job.part;
        self.reading = Some(sent);
        self.running += 1;
        let own = if part.is_some() { OWN } else { SHORT };
        self.used += own + OUTPUT;
        let again = part.filter(|part| !self.parts.contains(part)).map_or(0, |_| SHARED);
        if let Some(part) = part {
            match self.parts.iter().position(|held| *held == part) {
                Some(at) => {
                    self.parts.remove(at);
                }
                None => self.record(now, part, SHARED),
            }
            self.parts.push_back(part);
        }
        while self.used + self.parts.len() as u64 * SHARED > MEMORY {
            let Some(evicted) = self.parts.pop_front() else { break };
            self.record(now, evicted, 0);
        }
        Some((again, own))
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    sent: u64,
    late: u64,
    refused: u64,
    /// Shared tokens that were read, and those of all prompts that were sent.
    read: u64,
    shared: u64,
    /// Parts that VMs believe to be held, and those of them that are.
    believed: u64,
    held: u64,
}

struct World {
    policy: Policy,
    base: Instant,
    now: u64,
    serial: u64,
    agenda: BTreeMap<(u64, u64), Event>,
    rng: SmallRng,
    engines: Vec<Engine>,
    ids: Vec<id::Upstream>,
    indices: HashMap<Key, held::Index>,
    publisher: held::Publisher,
    host: Aggregator,
    vms: Vec<Balancer>,
    known: Vec<[(Cursor, Cursor); SHARDS as usize]>,
    long_rate: f64,
    tally: Tally,
}

fn vm(nth: usize) -> id::Vm {
    format!("vm{nth}").parse().unwrap()
}

impl World {
    fn new(policy: Policy, long_rate: f64, seed: u64) -> Self {
        let base = Instant::now();
        let ids: Vec<id::Upstream> =
            (0..ENGINES).map(|nth| format!("engine-{nth}").parse().unwrap()).collect();
        let endpoint = |id: &id::Upstream| Endpoint {
            id: id.clone(),
            incarnation: 1,
            service: "s".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            slots: Slots::new(SLOTS as u64),
            memory: Some(Tokens::new(MEMORY)),
            connections: 1_000,
            cold: None,
            open: true,
            draining: false,
            silent: false,
        };
        let names: Vec<id::Vm> = (0..VMS).map(vm).collect();
        let vms = (0..VMS).map(|nth| {
            let mut place = Balancer::new(SmallRng::seed_from_u64(seed * 100 + nth as u64));
            let sender = Sender::new(names[nth].clone(), &names, base);
            let senders = HashMap::from([("s".to_owned(), sender)]);
            place.sync(ids.iter().map(endpoint).collect(), senders, base);
            if policy == Policy::Index {
                place.enable_held();
            }
            place
        });
        let index = |id: &id::Upstream| {
            let mut index = held::Index::new(Tokens::new(MEMORY));
            index.apply_list(&held::Listing { epoch: 1, next: 0, held: Vec::new() });
            (Key::new(id, 1), index)
        };
        Self {
            policy,
            base,
            now: 0,
            serial: 0,
            agenda: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            indices: ids.iter().map(index).collect(),
            publisher: held::Publisher::new(1),
            host: Aggregator::new(1),
            vms: vms.collect(),
            known: vec![Default::default(); VMS],
            ids,
            long_rate,
            tally: Tally::default(),
        }
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.agenda.insert((self.now + delay, self.serial), event);
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now)
    }

    fn run(mut self) -> Tally {
        self.at(0, Event::Arrival);
        self.at(0, Event::Exchange(0));
        self.at(0, Event::Poll);
        while let Some(((now, _), event)) = self.agenda.pop_first() {
            self.now = now;
            if now >= END {
                break;
            }
            match event {
                Event::Arrival => self.arrive(),
                Event::Exchange(shard) => self.exchange(shard),
                Event::Poll => self.poll(),
                Event::Read { engine } => self.read(engine),
                Event::Done { engine, memory, sent } => self.done(engine, memory, *sent),
            }
        }
        self.tally
    }

    fn arrive(&mut self) {
        let rate = self.long_rate + 500.0;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate * 1e6;
        self.at(gap as u64, Event::Arrival);
        let is_long = self.rng.random::<f64>() < self.long_rate / rate;
        let part = is_long.then(|| self.rng.random_range(0..PARTS));
        let job = Job { part, arrived: self.now };
        let vm = self.rng.random_range(0..VMS);
        let is_measured = self.now >= WARM_UP;
        let engine = match self.policy {
            Policy::NoAffinity => {
                let load =
                    |nth: &usize| self.engines[*nth].queue.len() + self.engines[*nth].running;
                let least = (0..ENGINES).map(|nth| load(&nth)).min();
                let all: Vec<usize> = (0..ENGINES).filter(|nth| Some(load(nth)) == least).collect();
                Some((all[self.rng.random_range(0..all.len())], None))
            }
            Policy::Strict => {
                let key = part.unwrap_or_else(|| self.rng.random());
                let named = self.ids.iter().enumerate().map(|(nth, id)| (nth, id.as_str()));
                Some((rendezvous::top(key, named, 1)[0], None))
            }
            Policy::Estimate | Policy::Index => self.place(vm, part),
        };
        let Some((engine, in_flight)) = engine else {
            self.tally.refused += u64::from(is_measured);
            return;
        };
        if is_measured {
            self.tally.sent += 1;
            self.tally.shared += part.map_or(0, |_| SHARED);
        }
        self.engines[engine].queue.push_back(Sent { job, vm, in_flight });
        self.start(engine);
    }

    fn place(&mut self, vm: usize, part: Option<u64>) -> Option<(usize, Option<InFlight>)> {
        let now = self.instant();
        let tokens = Tokens::new(SHARED);
        let chain = part.map(|part| held::Chain::new(&[(part, tokens)])).unwrap_or_default();
        let work = Work {
            prefix: part.map(|key| Prefix { key, tokens }),
            chain,
            suffix: Tokens::new(if part.is_some() { OWN } else { SHORT }),
            output: Output { limit: Tokens::new(OUTPUT), hint: Some(Tokens::new(OUTPUT)) },
        };
        let objective = if part.is_some() { LONG_OBJECTIVE } else { SHORT_OBJECTIVE };
        let max_wait = Duration::from_micros(objective * 5 / 4);
        let query = Query {
            service: "s",
            work,
            tried: &[],
            holds_prefix: true,
            urgent: true,
            max_wait,
            only: None,
        };
        let chosen = self.vms[vm].choose(&query, now)?;
        if chosen.first_event > max_wait {
            return None;
        }
        let engine = self.ids.iter().position(|id| *id == chosen.id)?;
        let in_flight = self.vms[vm].record_sent(&chosen, &work, now);
        Some((engine, Some(in_flight)))
    }

    fn start(&mut self, engine: usize) {
        let Some((again, own)) = self.engines[engine].start(self.now) else { return };
        if self.now >= WARM_UP {
            self.tally.read += again;
        }
        let micros = (again + own) as f64 / TOKENS_PER_MS * 1_000.0;
        self.at(micros as u64 + STEP_MICROS, Event::Read { engine });
    }

    fn read(&mut self, engine: usize) {
        let now = self.instant();
        let mut sent = self.engines[engine].reading.take().unwrap();
        let job = sent.job;
        let objective = if job.part.is_some() { LONG_OBJECTIVE } else { SHORT_OBJECTIVE };
        if self.now >= WARM_UP && self.now - job.arrived > objective {
            self.tally.late += 1;
        }
        if let Some(in_flight) = &mut sent.in_flight {
            self.vms[sent.vm].record_event(in_flight, now);
        }
        let memory = OUTPUT + if job.part.is_some() { OWN } else { SHORT };
        let sent = Box::new(sent);
        self.at(OUTPUT * STEP_MICROS, Event::Done { engine, memory, sent });
        self.start(engine);
    }

    fn done(&mut self, engine: usize, memory: u64, sent: Sent) {
        let now = self.instant();
        self.engines[engine].running -= 1;
        self.engines[engine].used -= memory;
        if let Some(mut in_flight) = sent.in_flight {
            let vm = &mut self.vms[sent.vm];
            (1..OUTPUT).for_each(|_| vm.record_event(&mut in_flight, now));
            vm.record_end(in_flight, Outcome::Answered, now);
        }
        self.start(engine);
    }

    /// The asking VM receives the engines' events.
    fn poll(&mut self) {
        self.at(EVENT_DELAY, Event::Poll);
        let until = self.now.saturating_sub(EVENT_DELAY / 2);
        for (id, engine) in self.ids.iter().zip(&mut self.engines) {
            let index = self.indices.get_mut(&Key::new(id, 1)).unwrap();
            let count = engine.log.iter().take_while(|(at, _)| *at <= until).count();
            let events: Vec<held::Event> =
                engine.log.drain(..count).map(|(_, event)| event).collect();
            let next = events.last().map_or(index.next(), |event| event.number + 1);
            index.apply_events(&held::Events { epoch: 1, next, has_lost: false, events });
        }
    }

    fn exchange(&mut self, shard: u8) {
        self.at(SHARD_INTERVAL, Event::Exchange((shard + 1) % SHARDS));
        let (now, number) = (self.instant(), self.now + 1);
        for nth in 0..VMS {
            let known = self.known[nth][usize::from(shard)];
            let changes = match nth {
                0 => {
                    let place = &self.vms[0];
                    let indices = self.indices.iter().filter(|(key, _)| key.shard() == shard);
                    let indices = indices.map(|(key, index)| (*key, index));
                    let is_shared = |part| place.held().is_shared(part);
                    self.publisher.publish(number, indices, is_shared, now)
                }
                _ => Vec::new(),
            };
            let place = &mut self.vms[nth];
            let update = Update {
                shard,
                start: 1,
                number,
                loads: place.loads(shard, now),
                uses: place.take_uses(shard),
                known: known.0,
                held: (self.policy == Policy::Index)
                    .then_some(held::Exchange { known: known.1, changes }),
                ..Update::default()
            };
            let summary = self.host.apply_update(&vm(nth), update, now).unwrap();
            let told = summary.held.as_ref().map_or(known.1, |held| held.known);
            self.known[nth][usize::from(shard)] = (summary.known, told);
            place.apply_summary(&summary, now);
        }
        self.publisher.confirm(shard, number);
        if self.policy == Policy::Index && self.now >= WARM_UP && shard == 0 {
            self.judge(now);
        }
    }

    /// Compares what a VM believes with what the engines hold.
    fn judge(&mut self, now: Instant) {
        let view = self.vms[VMS - 1].held();
        for (id, engine) in self.ids.iter().zip(&self.engines) {
            for part in 0..PARTS {
                let chain = held::Chain::new(&[(part, Tokens::new(SHARED))]);
                let known = view.longest(Key::new(id, 1), &chain, now);
                if known.is_some_and(|known| known.tokens.get() == SHARED) {
                    let is_coming = || engine.queue.iter().any(|sent| sent.job.part == Some(part));
                    self.tally.believed += 1;
                    self.tally.held += u64::from(engine.parts.contains(&part) || is_coming());
                }
            }
        }
    }
}

fn run(policy: Policy, long_rate: f64) -> Tally {
    let tally = World::new(policy, long_rate, 3).run();
    println!("{policy:?} at {long_rate} long prompts a second: {tally:?}");
    tally
}

// Guards against prompts that are read again although the index shows where they are held, and against an index that is
// wrong. Compared are policies before the same engines.
#[tokio::test(start_paused = true)]
async fn the_index_saves_reading() {
    for long_rate in [50.0, 60.0] {
        let [none, strict, estimate, index] =
            [Policy::NoAffinity, Policy::Strict, Policy::Estimate, Policy::Index]
                .map(|policy| run(policy, long_rate));
        assert!(index.read < estimate.read, "{index:?} {estimate:?}");
        assert!(index.read < none.read, "{index:?} {none:?}");
        let failed = |tally: &Tally| tally.late + tally.refused;
        assert!(failed(&index) <= failed(&estimate), "{index:?} {estimate:?}");
        assert!(failed(&index) <= failed(&strict), "{index:?} {strict:?}");
        assert!(index.held * 100 >= index.believed * 95, "{index:?}");
    }
}
