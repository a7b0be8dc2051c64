//! One decision: all that the upstreams of a service are compared by.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::Demand;
use super::Fit;
use super::cold::Share;
use super::model::Model;
use super::model::Usual;
use super::sample;
use super::sample::Candidate;
use super::seconds;
use super::tracked::Guess;
use super::tracked::Tracked;
use crate::id;

/// Upstreams that are equally good within this are drawn at random: otherwise all VMs send to the same one between two
/// load reports.
const JITTER: Duration = Duration::from_millis(4);

/// The same as a part of the cost, since loads that are some hundred milliseconds old err by about as much.
const JITTER_SHARE: f64 = 0.03;

/// A request, what is known of its service, and who looks for an upstream.
pub struct Scene<'a> {
    demand: &'a Demand<'a>,
    model: &'a Model,
    usual: Usual,
    share: Share,
    now: Instant,
    /// The requests of other VMs that each upstream gets unseen.
    unseen: f64,
    /// The engines that all VMs find for the request's shared part, the first one first.
    found: Vec<id::Upstream>,
    /// Whether all VMs know of an engine that holds the part.
    is_held: bool,
}

impl<'a> Scene<'a> {
    /// The decision for a request, without what is known of its shared part.
    pub fn new(
        demand: &'a Demand<'a>,
        (model, usual): (&'a Model, Usual),
        share: Share,
        now: Instant,
    ) -> Self {
        let (unseen, found, is_held) = (0.0, Vec::new(), false);
        Self { demand, model, usual, share, now, unseen, found, is_held }
    }

    /// The upstreams that may take the request: first those that are well; where there is none, those that fell silent or
    /// failed lately.
    pub fn candidates<'t>(
        &mut self,
        tracked: &'t BTreeMap<id::Upstream, Tracked>,
    ) -> Vec<Candidate<'t>> {
        let copies = || tracked.iter().filter(|(_, one)| one.seen.service == self.demand.service);
        self.unseen = sample::unseen(copies().count(), self.model, self.share, self.now);
        let mut candidates = Vec::new();
        for is_last_resort in [false, true] {
            candidates.extend(copies().filter(|(id, tracked)| {
                !self.demand.tried.contains(id)
                    && tracked.may_take(&self.usual.speed, is_last_resort, self.share, self.now)
            }));
            if !candidates.is_empty() {
                break;
            }
        }
        candidates
    }

    /// The same with who holds the request's shared part, as far as is known.
    #[must_use]
    pub fn with_holders(self, found: Vec<id::Upstream>, candidates: &[Candidate<'_>]) -> Self {
        let is_held = candidates
            .iter()
            .any(|(_, tracked)| tracked.is_shared(self.now) && self.is_holder(tracked));
        Self { found, is_held, ..self }
    }

    /// Brings those that are compared to the front, and counts them.
    pub fn sample(&self, candidates: &mut [Candidate<'_>], rng: &mut impl Rng) -> usize {
        let most = sample::size(candidates, self.unseen, self.now);
        sample::draw(candidates, most, rng, |(id, tracked)| {
            self.is_holder(tracked) || self.found.contains(id)
        })
    }

    /// How the request would fare at an upstream. `drawn`, a random part of one, tells apart those that are equally good.
    pub fn fit(&self, id: &id::Upstream, tracked: &Tracked, drawn: f64) -> Fit {
        let again = tracked.reads_again(&self.demand.work, self.guess(id));
        let case = tracked.case(self.model, &self.usual, self.demand, again, self.share, self.now);
        let estimate = case.estimate(&self.usual, self.demand.longest);
        let cost = seconds(estimate.cost * (1.0 + JITTER_SHARE * drawn))
            + tracked.penalty(self.now)
            + JITTER.mul_f64(drawn);
        let reads = again + self.demand.work.own;
        Fit {
            id: id.clone(),
            address: tracked.seen.address,
            expected: seconds(estimate.first),
            whole: seconds(estimate.whole),
            cost,
            reads,
            running: case.running.round() as u32,
            told: tracked.told_age(self.now),
            before: tracked.backlog(self.model, self.share, self.now) + reads,
        }
    }

    fn is_holder(&self, tracked: &Tracked) -> bool {
        self.demand.work.shared.is_some_and(|shared| tracked.holds(&shared))
    }

    fn guess(&self, id: &id::Upstream) -> Guess {
        match self.found.iter().position(|found| found == id) {
            // Where all VMs know who holds the part, nobody takes another engine to hold it.
            Some(0) if self.demand.holds && !self.is_held => Guess::Holds,
            Some(_) => Guess::MayHold,
            None => Guess::Unknown,
        }
    }
}
