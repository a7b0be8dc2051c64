//! Route: which upstream runs a request.
//!
//! Load patterns answered, and what happens without:
//! - *Stale load reports.* They lag by seconds. VMs that send to whatever was least loaded then all run after
//!   the same upstream, and its queue alone makes requests late. Here each VM counts its own requests exactly,
//!   trusts a report less the older it is, and takes the best of a few at random.
//! - *A slow or failing upstream.* Round robin goes on sending it its share. Here its latencies count against
//!   it, and an outlier is ejected for a while, but never more than half of those that could serve.
//! - *A hot prefix.* Random choice computes the same prefix on each upstream; strict affinity overloads one.
//!   Here the holders of the prefix, or two upstreams that all VMs find by its hash, go first while their load
//!   is within a bound of the mean.
//! - *A new upstream.* Least loaded and cold, it would draw all the traffic; its share grows over 30 s.
//! - *A large region.* A VM picks at random from a subset, so that it needs the load of few upstreams only.
//!
//! The grounds for each figure stand beside it; the ways weighed are in `docs/design/route.md`.

mod choice;
mod ejection;
mod ewma;
mod facts;
mod group;
mod prefix;
pub mod rendezvous;
mod tracked;

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use self::group::Group;
use self::tracked::Tracked;
use crate::catalogue::Class;
use crate::id;
use crate::unit::Slots;
use crate::upstream::Announcement;
use crate::upstream::Load;

pub use ewma::Ewma;
pub use facts::Facts;
pub use facts::Outcome;
pub use prefix::Change;
pub use prefix::Event;

/// An upstream so many times slower than the median of its like is ejected; see `Ewma` for why that is no accident.
const OUTLIER: f64 = 3.0;

/// How many answers must be in before an upstream is called slow.
const ENOUGH: u32 = 5;

/// How many upstreams of a model a VM picks from. With 117 VMs of a region and 283 upstreams each upstream is
/// followed by 13 VMs give or take 4, and the shared slots even out the rest.
pub const FOLLOWED: usize = 32;

/// For each waiting request, slots are asked for on so many upstreams.
const ASKED: usize = 2;

/// What a VM has inside an upstream, and could have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The slots that its requests take.
    pub running: Slots,
    /// The slots that it could use.
    pub wanted: Slots,
}

/// Chooses upstreams and learns from what becomes of the attempts.
#[derive(Debug, Default)]
pub struct Route {
    seed: u64,
    numbers: HashMap<id::Upstream, u32>,
    tracked: Vec<Option<Tracked>>,
    groups: HashMap<id::Model, Group>,
    index: prefix::Index,
}

impl Route {
    /// A choice among none yet, for this VM: its name decides which upstreams it follows in a large region.
    pub fn new(vm: &id::Vm) -> Self {
        Self { seed: rendezvous::weight(0, vm.as_str()), ..Self::default() }
    }

    /// Adds an upstream, or takes its new announcement.
    pub fn announced(&mut self, announcement: &Announcement, now: Instant) {
        let number = self.number(&announcement.id);
        let place = &mut self.tracked[number as usize];
        let old = place.as_ref().filter(|t| !t.leaving).map(|t| t.announcement.models.clone());
        match place {
            Some(tracked) => tracked.announced(announcement.clone(), now),
            None => *place = Some(Tracked::new(announcement.clone(), now)),
        }
        if old.as_ref() != Some(&announcement.models) {
            self.regroup(old.iter().flatten(), number);
            self.regroup(announcement.models.iter(), number);
        }
    }

    /// An upstream left, or its lease ran out: it gets nothing new, and what runs there is still counted.
    pub fn removed(&mut self, upstream: &id::Upstream) {
        let Some(&number) = self.numbers.get(upstream) else { return };
        let Some(tracked) = &mut self.tracked[number as usize] else { return };
        tracked.leaving = true;
        let models = tracked.announcement.models.clone();
        self.regroup(models.iter(), number);
        self.index.forget(number);
        self.drop_idle(number);
    }

    /// How many requests this VM may have inside the upstream at once; all its slots until this is told.
    pub fn leased(&mut self, upstream: &id::Upstream, slots: Slots) {
        if let Some(tracked) = self.get_mut(upstream) {
            tracked.leased = Some(slots);
        }
    }

    /// Whether the upstream is being drained for an order (`order::Step::Drain` and `Resume`).
    pub fn drained(&mut self, upstream: &id::Upstream, draining: bool) {
        if let Some(tracked) = self.get_mut(upstream) {
            tracked.draining = draining;
        }
    }

    /// The upstream for a request, or none where all that fit are full: then it waits here, not in an engine.
    pub fn pick(
        &mut self,
        facts: &Facts<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<id::Upstream> {
        let group = self.groups.get_mut(facts.model)?;
        group.refresh(&self.tracked, now);
        let number = match self.affine(facts, now, rng) {
            Some(number) => number,
            None => {
                let wished = self.note_missed(facts, now);
                if wished && !facts.patience.is_zero() {
                    return None;
                }
                self.any(facts, now, rng)?
            }
        };
        self.tracked[number as usize].as_ref().map(|tracked| tracked.announcement.id.clone())
    }

    /// Whether any upstream could run the request, full or not. Where none could, waiting doesn't help.
    pub fn is_servable(&self, facts: &Facts<'_>) -> bool {
        let Some(group) = self.groups.get(facts.model) else { return false };
        group.members.iter().any(|&u| self.fitting(u, facts).is_some())
    }

    /// What this VM has inside each upstream that it follows, and could have if it had slots enough for the requests
    /// that wait here, by model; for `upstream::Pool::demand`.
    pub fn demand(&self, waiting: &HashMap<id::Model, usize>, now: Instant) -> Vec<Demand> {
        let mut wanted: HashMap<u32, u64> = HashMap::new();
        for (model, group) in &self.groups {
            group.followed.iter().for_each(|&u| *wanted.entry(u).or_default() += 0);
            let count = waiting.get(model).copied().unwrap_or(0);
            if count > 0 {
                self.spread(group, count, now, &mut wanted);
            }
        }
        let demand = |(number, tracked): (usize, &Option<Tracked>)| {
            let tracked = tracked.as_ref()?;
            let running = u64::from(tracked.own.running());
            let more = u32::try_from(number).ok().and_then(|number| wanted.get(&number));
            let followed = more.is_some() || running > 0 || tracked.missed(now) > 0.5;
            let missed = tracked.missed(now).round() as u64;
            let wanted = running + more.copied().unwrap_or(0) + missed;
            followed.then(|| Demand {
                upstream: tracked.announcement.id.clone(),
                running: Slots::new(running),
                wanted: Slots::new(wanted.min(tracked.announcement.slots.get())),
            })
        };
        self.tracked.iter().enumerate().filter_map(demand).collect()
    }

    /// Spreads the slots that waiting requests ask for over the least used upstreams of a group, one after the other;
    /// no request asks twice on the same one.
    fn spread(&self, group: &Group, waiting: usize, now: Instant, wanted: &mut HashMap<u32, u64>) {
        let usable = |&u: &u32| {
            let tracked = self.tracked[u as usize].as_ref()?;
            let out = tracked.draining || tracked.ejection.is_ejected(now);
            (!out).then(|| (tracked.score(&group.stats, now), u))
        };
        let mut scored: Vec<(f64, u32)> = group.followed.iter().filter_map(usable).collect();
        scored.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        let (members, count) = (scored.len(), waiting * ASKED);
        for (place, (_, number)) in scored.into_iter().enumerate().take(count) {
            let rounds = count / members + usize::from(place < count % members);
            *wanted.entry(number).or_default() += rounds.min(waiting) as u64;
        }
    }

    /// An attempt is sent to the upstream.
    pub fn sent(&mut self, upstream: &id::Upstream, now: Instant) {
        if let Some(tracked) = self.get_mut(upstream) {
            tracked.own.sent(now);
        }
    }

    /// An attempt for the model has ended, after that time; each [`Self::sent`] is followed by one of these.
    pub fn finished(
        &mut self,
        upstream: &id::Upstream,
        facts: &Facts<'_>,
        outcome: Outcome,
        latency: Duration,
        now: Instant,
    ) {
        let Some(&number) = self.numbers.get(upstream) else { return };
        let Some(tracked) = &mut self.tracked[number as usize] else { return };
        tracked.own.finished(now);
        match outcome {
            Outcome::Answered => self.answered(number, facts.model, facts.class, latency, now),
            Outcome::Failed if tracked.ejection.failed() => self.eject(number, facts.model, now),
            Outcome::Full => tracked.full(now),
            Outcome::Failed | Outcome::Cancelled => {}
        }
        self.drop_idle(number);
    }

    /// A load report has come.
    pub fn reported(&mut self, load: &Load, now: Instant) {
        if let Some(tracked) = self.get_mut(&load.upstream) {
            tracked.reported(load, now);
        }
    }

    /// An event of an engine's prefix cache has come.
    pub fn cached(&mut self, upstream: &id::Upstream, event: &Event) {
        if let Some(&number) = self.numbers.get(upstream) {
            self.index.take(number, event);
        }
    }

    /// Whether the upstream is ejected now.
    pub fn is_ejected(&self, upstream: &id::Upstream, now: Instant) -> bool {
        let number = self.numbers.get(upstream);
        let tracked = number.and_then(|&number| self.tracked[number as usize].as_ref());
        tracked.is_some_and(|tracked| tracked.ejection.is_ejected(now))
    }

    fn get_mut(&mut self, upstream: &id::Upstream) -> Option<&mut Tracked> {
        let &number = self.numbers.get(upstream)?;
        self.tracked[number as usize].as_mut()
    }

    fn number(&mut self, upstream: &id::Upstream) -> u32 {
        if let Some(&number) = self.numbers.get(upstream) {
            return number;
        }
        let free = self.tracked.iter().position(Option::is_none);
        let place = free.unwrap_or_else(|| {
            self.tracked.push(None);
            self.tracked.len() - 1
        });
        let number = u32::try_from(place).unwrap_or(u32::MAX);
        self.numbers.insert(upstream.clone(), number);
        number
    }

    fn drop_idle(&mut self, number: u32) {
        let place = &mut self.tracked[number as usize];
        if let Some(gone) = place.take_if(|t| t.leaving && t.own.running() == 0) {
            self.numbers.remove(&gone.announcement.id);
        }
    }

    /// Puts the upstream into the groups of these models, or takes it out, by what it announces now.
    fn regroup<'a>(&mut self, models: impl Iterator<Item = &'a id::Model>, number: u32) {
        for model in models {
            let holds = |t: &Tracked| !t.leaving && t.announcement.models.contains(model);
            let belongs = self.tracked[number as usize].as_ref().is_some_and(holds);
            let group = self.groups.entry(model.clone()).or_default();
            group.members.retain(|&member| member != number);
            if belongs {
                group.members.push(number);
            }
            group.homes.clear();
            let names = group.members.iter().filter_map(|&member| {
                let tracked = self.tracked[member as usize].as_ref()?;
                Some((member, tracked.announcement.id.as_str()))
            });
            group.followed = if group.members.len() > FOLLOWED {
                rendezvous::top(self.seed, names, FOLLOWED)
            } else {
                group.members.clone()
            };
            if group.members.is_empty() {
                self.groups.remove(model);
            }
        }
    }

    fn fitting(&self, number: u32, facts: &Facts<'_>) -> Option<&Tracked> {
        let tracked = self.tracked[number as usize].as_ref()?;
        (!tracked.leaving && !tracked.draining && facts.fits(&tracked.announcement))
            .then_some(tracked)
    }

    /// An upstream that fits and isn't ejected, whether it has room or not.
    fn healthy(&self, number: u32, facts: &Facts<'_>, now: Instant) -> Option<&Tracked> {
        self.fitting(number, facts).filter(|tracked| !tracked.ejection.is_ejected(now))
    }

    fn answered(
        &mut self,
        number: u32,
        model: &id::Model,
        class: Class,
        latency: Duration,
        now: Instant,
    ) {
        let Some(group) = self.groups.get_mut(model) else { return };
        let Some(tracked) = &mut self.tracked[number as usize] else { return };
        tracked.slowness.add(group.answered(class, latency));
        // One that was ejected before needs no second proof: each would make another caller wait.
        let enough = if tracked.ejection.is_on_probation() { 1 } else { ENOUGH };
        let slow = tracked.slowness.samples() >= enough
            && tracked.relative_slowness(&group.stats) >= OUTLIER;
        if slow {
            self.eject(number, model, now);
        } else if !tracked.ejection.is_ejected(now) {
            tracked.ejection.answered();
        }
    }

    /// Ejects an upstream, unless half of its like would then be out: a fault that hits most of them lies
    /// elsewhere, and the rest could not bear the load.
    fn eject(&mut self, number: u32, model: &id::Model, now: Instant) {
        let Some(group) = self.groups.get(model) else { return };
        let ejected = |&&u: &&u32| {
            self.tracked[u as usize].as_ref().is_some_and(|t| t.ejection.is_ejected(now))
        };
        let out = group.members.iter().filter(ejected).count();
        let Some(tracked) = &mut self.tracked[number as usize] else { return };
        if tracked.ejection.is_ejected(now) || (out + 1) * 2 > group.members.len() {
            return;
        }
        tracked.ejection.eject(now);
        tracked.slowness = ewma::Ewma::default();
    }
}

#[cfg(test)]
mod tests;
