//! Which upstream of this region runs a request, and how long its caller will wait for the first event.
//!
//! **Load pattern.** Model engines read a prompt at some 50 tokens a millisecond, one prompt after the other, between
//! the steps of all that run. A briefing shares thirteen thousand tokens with others of its season and has four thousand
//! of its own: 73 ms of an engine that holds the shared part, 333 ms of one that doesn't. Short lookups run beside them.
//!
//! **Without it.** Placed by free slots alone, each engine reads each shared part again and again: three quarters of
//! the prompt work is waste, the engines' memory holds a bit of everything, and a region is full at a quarter of what
//! it can serve. Placed by the shared part alone, one hot part overruns its engine while the others idle.
//!
//! **Decision.** The upstream with the least expected time to the first event: what is still to be read there before it
//! (its own requests are known exactly, those of other VMs from load reports), what it has to read of this prompt, and
//! the wait for a slot where all are taken. All VMs find the same engine for a shared part by rendezvous hashing, so that it
//! is read once; an engine whose backlog exceeds the price of reading the part elsewhere loses it to another one. Which
//! region's engine that is, `regions` tells.

mod cache;
mod cold;
mod health;
mod model;
mod regions;
mod tracked;
pub mod wait;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use self::model::Model;
use self::tracked::Guess;
use self::tracked::Tracked;
use crate::decide::route::rendezvous;
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
pub use regions::Passage;
pub use regions::Regions;
pub use tracked::Report;

/// Upstreams that are equally good within this are drawn at random: otherwise all VMs send to the same one between two
/// load reports.
const JITTER: Duration = Duration::from_millis(4);

/// The engines of a region that may hold a shared part: where the first one is behind, all VMs take the same second one.
const FOUND: usize = 2;

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
    /// The same with all that speaks against it, to compare.
    pub cost: Duration,
    /// What the prompt will cost it.
    pub reads: Tokens,
}

/// What a request that was sent holds of its upstream, until it has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Held {
    /// The upstream.
    pub id: id::Upstream,
    born: u64,
    reads: Tokens,
    memory: Tokens,
    sent: Instant,
    expected: Duration,
    /// The service times that it was to take, those of the requests before it included.
    rounds: f64,
    has_begun: bool,
}

/// All upstreams of a region, as one VM knows them.
#[derive(Debug)]
pub struct Place {
    rng: SmallRng,
    tracked: HashMap<id::Upstream, Tracked>,
    models: HashMap<String, Model>,
    /// This VM's place among those that send to them.
    share: Share,
}

impl Place {
    /// Nothing known yet.
    pub fn new(rng: SmallRng) -> Self {
        Self { rng, tracked: HashMap::new(), models: HashMap::new(), share: Share::new(0, 1) }
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
        let model = self.models.get(demand.service).copied().unwrap_or_default();
        let mut best: Option<Fit> = None;
        // First those that are well; where there is none, those that fell silent or failed lately.
        for is_last_resort in [false, true] {
            for (id, tracked) in &self.tracked {
                let fits = tracked.seen.service == demand.service
                    && !demand.tried.contains(id)
                    && tracked.may_take(is_last_resort, self.share, now);
                if !fits {
                    continue;
                }
                let guess = match found.iter().position(|found| found == id) {
                    Some(0) if demand.holds => Guess::Holds,
                    Some(_) => Guess::MayHold,
                    None => Guess::Unknown,
                };
                let again = tracked.reads_again(&demand.work, guess);
                let reads = again + demand.work.own;
                let expected = tracked.first_event(&model, demand, reads, self.share, now);
                let cost = expected
                    + tracked.penalty(now)
                    + model::read_time(again).mul_f64(tracked.again(self.share, now))
                    + JITTER.mul_f64(self.rng.random());
                if best.as_ref().is_none_or(|best| cost < best.cost) {
                    let address = tracked.seen.address;
                    best = Some(Fit { id: id.clone(), address, expected, cost, reads });
                }
            }
            if best.is_some() {
                break;
            }
        }
        best
    }

    /// How much the region's first engine for a shared part weighs against those of other regions.
    pub fn weight(&self, service: &str, shared: &Shared) -> Option<u64> {
        let weights =
            self.holders(service).map(|(id, _)| rendezvous::weight(shared.key, id.as_str()));
        weights.max()
    }

    /// The expected time to the first event of a request of that urgency with nothing to read, for VMs of other regions.
    pub fn outlook(&mut self, service: &str, urgent: bool, now: Instant) -> Option<Duration> {
        let demand = Demand { service, work: Work::default(), tried: &[], holds: false, urgent };
        self.choose(&demand, now).map(|fit| fit.cost)
    }

    /// A request is sent there.
    pub fn sent(&mut self, fit: &Fit, work: &Work, now: Instant) -> Held {
        let tracked = self.tracked.get_mut(&fit.id);
        let born = tracked.as_ref().map_or(0, |tracked| tracked.seen.born);
        let memory = work.own + work.output;
        let rounds = tracked.as_ref().map_or(1.0, |tracked| tracked.rounds(self.share, now));
        if let Some(tracked) = tracked {
            let model = self.models.entry(tracked.seen.service.clone()).or_default();
            model.sent(fit.reads);
            tracked.sent(work, fit.reads, memory, self.share, now);
        }
        Held {
            id: fit.id.clone(),
            born,
            reads: fit.reads,
            memory,
            sent: now,
            expected: fit.expected,
            rounds,
            has_begun: false,
        }
    }

    /// Its first event, or its whole answer, came.
    pub fn began(&mut self, held: &mut Held, now: Instant) {
        if held.has_begun {
            return;
        }
        held.has_begun = true;
        let Some(tracked) = self.tracked.get_mut(&held.id) else { return };
        if tracked.seen.born != held.born {
            return;
        }
        let took = now.saturating_duration_since(held.sent);
        tracked.began(held.reads, took, held.expected);
    }

    /// It ended.
    pub fn ended(&mut self, mut held: Held, outcome: Outcome, now: Instant) {
        let Some(tracked) = self.tracked.get_mut(&held.id) else { return };
        if tracked.seen.born != held.born {
            return;
        }
        if !held.has_begun {
            held.has_begun = true;
            tracked.unread(held.reads);
        }
        let took = now.saturating_duration_since(held.sent);
        tracked.ended(held.memory, outcome, now);
        if outcome == Outcome::Answered
            && let Some(model) = self.models.get_mut(&tracked.seen.service)
        {
            model.served(took, held.rounds);
        }
    }

    /// An upstream told its load.
    pub fn reported(&mut self, id: &id::Upstream, report: Report, now: Instant) {
        if let Some(tracked) = self.tracked.get_mut(id) {
            tracked.reported(report, now);
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

#[cfg(test)]
mod tests;
