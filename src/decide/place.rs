//! Which upstream of this region runs a request, and how long its caller will wait for the first event.
//!
//! **Load pattern.** Model engines read prompts one after the other, between the steps of all that run. Long prompts
//! share most of their tokens with others, and take an engine that holds the shared part a fraction of the time. Streams
//! of many events run beside them, and each of them slows all others.
//!
//! **Without it.** Placed by free slots alone, each engine reads each shared part again and again: three quarters of
//! the prompt work is waste, the engines' memory holds a bit of everything, and a region is full at a quarter of what
//! it can serve. Placed by the shared part alone, one hot part overruns its engine while the others idle.
//!
//! **Decision.** The upstream with the least cost to all callers ([`cost`]): the time to the first event (what is still to
//! be read there before it, what it has to read of this prompt, and the wait for a slot where all are taken), the time to
//! the last one, and how much longer those that run there take. Own requests are known exactly, those of other VMs from
//! what the region's VMs share ([`sharing`](super::sharing)), and where that is not at hand from load reports. All VMs find
//! the same engine for a shared part by rendezvous hashing, so that it is read once; an engine whose load exceeds the price
//! of reading the part elsewhere loses it to another one. Which region's engine that is, `regions` tells.

mod cache;
mod cold;
pub mod cost;
mod health;
mod model;
mod regions;
mod sample;
mod scene;
mod tracked;
pub mod wait;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use self::model::Model;
use self::model::Usual;
use self::scene::Scene;
use self::tracked::Tracked;
use crate::decide::engine::Output;
use crate::decide::route::rendezvous;
use crate::decide::sharing::Key;
use crate::decide::sharing::Load;
use crate::decide::sharing::PrefixUse;
use crate::decide::sharing::Summary;
use crate::id;
use crate::unit::Slots;
use crate::unit::Tokens;

pub use cold::Cold;
pub use cold::Share;
pub use health::Outcome;
pub use model::Shared;
pub use model::Work;
pub use regions::Holder;
pub use regions::Offer;
pub use regions::Open;
pub use regions::Outlook;
pub use regions::Passage;
pub use regions::Regions;
pub use tracked::Report;

/// How an engine's pauses compare with others' is measured over so many of them: a single one is as long as the prompt that
/// is read within it.
const PACED: u32 = 8;

/// The engines of a region that may hold a shared part: where the first one is behind, all VMs take the same second one.
const FOUND: usize = 2;

/// Uses that wait to be told, at most: where nobody takes them, the oldest knowledge is the best that others get.
const MOST_USES: usize = 64;

/// What is known of an upstream besides what its answers tell.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// Its name.
    pub id: id::Upstream,
    /// Its start; another one has empty caches and a clean record.
    pub born: u64,
    /// The service that it is a copy of.
    pub service: String,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// The requests that it runs at once.
    pub slots: Slots,
    /// An engine's memory; none for a plain service.
    pub memory: Option<Tokens>,
    /// This VM's part of the connections that it accepts.
    pub connections: u32,
    /// Until when it is cold, and what it bears until then.
    pub cold: Option<Cold>,
    /// Whether it takes new requests.
    pub open: bool,
    /// Nothing was heard of it for long; it is used where no other is there.
    pub silent: bool,
}

/// A request that looks for an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a str,
    /// What it asks of an engine.
    pub work: Work,
    /// Upstreams that it has tried.
    pub tried: &'a [id::Upstream],
    /// Whether this region holds the shared part of its prompt.
    pub holds: bool,
    /// Whether no other request to the service goes before it.
    pub urgent: bool,
    /// The longest that it may be expected to wait for its first event; beyond it, it is refused.
    pub longest: Duration,
}

/// An upstream for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fit {
    /// The upstream.
    pub id: id::Upstream,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// The expected time to the first event.
    pub expected: Duration,
    /// The expected time to the last event.
    pub whole: Duration,
    /// All that speaks against it, to compare.
    pub cost: Duration,
    /// What the prompt will cost it.
    pub reads: Tokens,
    /// The requests of all VMs there, as far as they are known.
    pub running: u32,
    /// How long ago it was told what the region's other VMs have there; none where that was not told lately.
    pub told: Option<Duration>,
    /// The tokens that it reads before the first event, those of other requests included.
    before: Tokens,
}

/// What a request that was sent holds of its upstream, until it has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Held {
    /// The upstream.
    pub id: id::Upstream,
    born: u64,
    reads: Tokens,
    before: Tokens,
    /// Whether its own part of that is surely read.
    is_known: bool,
    memory: Tokens,
    output: Output,
    sent: Instant,
    /// The service times that it was to take, those of the requests before it included.
    rounds: f64,
    /// The events that came.
    events: u32,
    /// From when, and from which event, the present pauses are measured; none before the first event.
    paced: Option<(Instant, u32)>,
    /// When the last event came.
    last: Instant,
}

/// All upstreams of a region, as one VM knows them.
#[derive(Debug)]
pub struct Place {
    rng: SmallRng,
    /// In an order of their own, so that equal seeds of the random numbers give equal choices.
    tracked: BTreeMap<id::Upstream, Tracked>,
    models: HashMap<String, Model>,
    /// This VM's place among those that send to them.
    share: Share,
    /// Uses of shared parts that the other VMs have not been told.
    uses: Vec<PrefixUse>,
}

impl Place {
    /// Nothing known yet.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rng,
            tracked: BTreeMap::new(),
            models: HashMap::new(),
            share: Share::new(0, 1),
            uses: Vec::new(),
        }
    }

    /// Takes in which upstreams there are, and this VM's place among those that send to them.
    pub fn sync(&mut self, seen: Vec<Seen>, share: Share) {
        self.share = share;
        let names: std::collections::HashSet<id::Upstream> =
            seen.iter().map(|seen| seen.id.clone()).collect();
        self.tracked.retain(|id, tracked| names.contains(id) || tracked.running() > 0);
        for (id, tracked) in &mut self.tracked {
            if !names.contains(id) {
                tracked.seen.open = false;
            }
        }
        for seen in seen {
            match self.tracked.get_mut(&seen.id) {
                Some(tracked) => tracked.update(seen),
                None => {
                    self.tracked.insert(seen.id.clone(), Tracked::new(seen));
                }
            }
        }
    }

    /// The best upstream for a request; none where there is none that may take it now.
    pub fn choose(&mut self, demand: &Demand<'_>, now: Instant) -> Option<Fit> {
        let found = self.found(demand);
        let nothing = Model::default();
        let model = self.models.get(demand.service).unwrap_or(&nothing);
        let usual = self.usual(demand.service);
        let mut scene = Scene::new(demand, (model, usual), self.share, now);
        let mut candidates = scene.candidates(&self.tracked);
        let scene = scene.with_holders(found, &candidates);
        let most = scene.sample(&mut candidates, &mut self.rng);
        let fits = candidates[..most]
            .iter()
            .map(|(id, tracked)| scene.fit(id, tracked, self.rng.random()));
        fits.min_by_key(|fit| fit.cost)
    }

    /// What this VM has at the upstreams of a shard, for the shard's host.
    pub fn loads(&self, shard: u8, now: Instant) -> Vec<(Key, Load)> {
        let tracked = self.tracked.values().filter(|tracked| tracked.key().shard() == shard);
        let loads = tracked.map(|tracked| (tracked.key(), tracked.load(now)));
        loads.filter(|(_, load)| !load.is_empty()).collect()
    }

    /// Takes the uses of shared parts at the upstreams of a shard that the others have not been told.
    pub fn uses(&mut self, shard: u8) -> Vec<PrefixUse> {
        let (taken, left) =
            self.uses.drain(..).partition(|used: &PrefixUse| used.engine.shard() == shard);
        self.uses = left;
        taken
    }

    /// A shard's host told what the other VMs have at its upstreams; they have nothing where it names none.
    pub fn told(&mut self, summary: &Summary, now: Instant) {
        let loads: HashMap<Key, Load> = summary.loads.iter().copied().collect();
        for tracked in self.tracked.values_mut() {
            let key = tracked.key();
            if key.shard() != summary.shard {
                continue;
            }
            tracked.told_by_host(loads.get(&key).copied().unwrap_or_default(), now);
            let uses = summary.uses.iter().filter(|used| used.engine == key);
            for used in uses {
                let shared = Shared { key: used.part, tokens: Tokens::new(used.tokens) };
                tracked.used_by_other(shared, now);
            }
        }
    }

    /// How much the region's first engine for a shared part weighs against those of other regions.
    pub fn weight(&self, service: &str, shared: &Shared) -> Option<u64> {
        let weights =
            self.holders(service).map(|(id, _)| rendezvous::weight(shared.key, id.as_str()));
        weights.max()
    }

    /// What holds for all engines of the service.
    pub fn usual(&self, service: &str) -> Usual {
        let mut engines = self.tracked.values().filter(|tracked| tracked.seen.service == service);
        let slots = engines.next().map_or(1.0, Tracked::slots);
        self.models
            .get(service)
            .map_or_else(|| Model::default().usual(slots), |model| model.usual(slots))
    }

    /// How a usual request of that urgency would fare, for VMs of other regions.
    pub fn outlook(&mut self, service: &str, urgent: bool, now: Instant) -> Option<Outlook> {
        let (work, longest) = (Work::default(), Duration::MAX);
        let demand = Demand { service, work, tried: &[], holds: false, urgent, longest };
        let fit = self.choose(&demand, now)?;
        let failures = self.tracked.get(&fit.id).map(|tracked| tracked.penalty(now));
        let wait = fit.expected + failures.unwrap_or_default();
        Some(Outlook { wait, running: fit.running })
    }

    /// A request is sent there.
    pub fn sent(&mut self, fit: &Fit, work: &Work, now: Instant) -> Held {
        let tracked = self.tracked.get_mut(&fit.id);
        let born = tracked.as_ref().map_or(0, |tracked| tracked.seen.born);
        let memory = work.own + work.output.likely();
        let mut rounds = 1.0;
        if let Some(tracked) = tracked {
            let model = self.models.entry(tracked.seen.service.clone()).or_default();
            rounds = tracked.rounds(tracked.inside(model, self.share, now));
            model.sent(fit.reads, now);
            tracked.sent(work, fit.reads, memory, self.share, now);
            let shared = work.shared.filter(|_| self.uses.len() < MOST_USES);
            self.uses.extend(shared.map(|shared| PrefixUse {
                engine: tracked.key(),
                part: shared.key,
                tokens: shared.tokens.get(),
            }));
        }
        Held {
            id: fit.id.clone(),
            born,
            reads: fit.reads,
            before: fit.before,
            is_known: fit.reads == work.own,
            memory,
            output: work.output,
            sent: now,
            rounds,
            events: 0,
            paced: None,
            last: now,
        }
    }

    /// An event of its answer, or its whole answer, came.
    pub fn event(&mut self, held: &mut Held, now: Instant) {
        held.events = held.events.saturating_add(1);
        if let Some(tracked) = self.tracked.get_mut(&held.id) {
            tracked.heard(now);
        }
        match held.paced {
            None => self.began(held, now),
            Some(paced) => self.paced(held, paced, now),
        }
        held.last = now;
    }

    fn began(&mut self, held: &mut Held, now: Instant) {
        held.paced = Some((now, held.events));
        let Some((tracked, model)) = held_at(&mut self.tracked, &mut self.models, held) else {
            return;
        };
        tracked.unread(held.reads);
        // Only what had no shared part to read tells how fast the engine reads: whether it had to read one is a guess, and
        // where that is wrong, reading looks faster than it is.
        if held.is_known && held.rounds <= 1.0 && tracked.seen.memory.is_some() {
            let took = now.saturating_duration_since(held.sent);
            model.engine.began(held.before.get() as f64, took);
        }
    }

    fn paced(&mut self, held: &mut Held, (since, first): (Instant, u32), now: Instant) {
        let share = self.share;
        let Some((tracked, model)) = held_at(&mut self.tracked, &mut self.models, held) else {
            return;
        };
        let running = tracked.inside(model, share, now);
        model.engine.paced(running, now.saturating_duration_since(held.last));
        if held.events - first >= PACED {
            let pause = now.saturating_duration_since(since) / (held.events - first);
            let ratio = pause.as_secs_f64() / model.engine.speed().pause(running);
            tracked.paced(ratio);
            model.slowness.add(ratio);
            held.paced = Some((now, held.events));
        }
    }

    /// It ended.
    pub fn ended(&mut self, held: Held, outcome: Outcome, now: Instant) {
        let Some((tracked, model)) = held_at(&mut self.tracked, &mut self.models, &held) else {
            return;
        };
        if held.paced.is_none() {
            tracked.unread(held.reads);
        }
        tracked.ended(held.memory, outcome, now);
        if outcome != Outcome::Answered {
            return;
        }
        model.served(now.saturating_duration_since(held.sent), held.rounds);
        if tracked.seen.memory.is_some() {
            model.length.ended(&held.output, held.events);
        }
    }

    /// An upstream told its load.
    pub fn reported(&mut self, id: &id::Upstream, report: Report, now: Instant) {
        if let Some(tracked) = self.tracked.get_mut(id) {
            tracked.reported(report, now);
            self.models.entry(tracked.seen.service.clone()).or_default().reported(report);
        }
    }

    /// The engines that all VMs of the region find for the request's shared part, the first one first.
    fn found(&self, demand: &Demand<'_>) -> Vec<id::Upstream> {
        let Some(shared) = demand.work.shared else { return Vec::new() };
        let named = self.holders(demand.service).map(|(id, _)| (id, id.as_str()));
        rendezvous::top(shared.key, named, FOUND).into_iter().cloned().collect()
    }

    /// The upstreams of the service that may hold shared parts.
    fn holders<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a id::Upstream, &'a Tracked)> {
        self.tracked.iter().filter(move |(_, tracked)| {
            tracked.seen.service == service && tracked.seen.open && !tracked.seen.silent
        })
    }
}

/// The upstream that runs a request, and what is known of its service; none where the upstream is gone or has started
/// again, so that it knows nothing of the request.
fn held_at<'a>(
    tracked: &'a mut BTreeMap<id::Upstream, Tracked>,
    models: &'a mut HashMap<String, Model>,
    held: &Held,
) -> Option<(&'a mut Tracked, &'a mut Model)> {
    let tracked = tracked.get_mut(&held.id).filter(|tracked| tracked.seen.born == held.born)?;
    let model = models.entry(tracked.seen.service.clone()).or_default();
    Some((tracked, model))
}

/// A time from seconds; one that is no time is the longest.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
}

#[cfg(test)]
mod tests;
