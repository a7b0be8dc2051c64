//! Route: which upstream runs a request.

mod facts;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::catalogue::Class;
use crate::id;
use crate::unit::Slots;
use crate::upstream::Announcement;
use crate::upstream::Load;

pub use facts::Facts;
pub use facts::Outcome;

/// Chooses upstreams and learns from what becomes of the attempts.
#[derive(Debug, Default)]
pub struct Route {
    upstreams: BTreeMap<id::Upstream, Tracked>,
}

#[derive(Debug)]
struct Tracked {
    announcement: Announcement,
    running: u32,
    leased: Option<Slots>,
}

impl Route {
    /// A choice among none yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an upstream, or takes its new announcement.
    pub fn announced(&mut self, announcement: &Announcement, _now: Instant) {
        match self.upstreams.get_mut(&announcement.id) {
            Some(tracked) => tracked.announcement = announcement.clone(),
            None => {
                let announcement = announcement.clone();
                let tracked = Tracked { announcement, running: 0, leased: None };
                self.upstreams.insert(tracked.announcement.id.clone(), tracked);
            }
        }
    }

    /// Removes an upstream that left or whose lease ran out.
    pub fn removed(&mut self, upstream: &id::Upstream) {
        self.upstreams.remove(upstream);
    }

    /// How many requests this VM may have inside the upstream at once; all its slots until this is told.
    pub fn leased(&mut self, upstream: &id::Upstream, slots: Slots) {
        if let Some(tracked) = self.upstreams.get_mut(upstream) {
            tracked.leased = Some(slots);
        }
    }

    /// The upstream for a request, or none where all that fit are full: then it waits here, not in an engine.
    pub fn pick(
        &mut self,
        facts: &Facts<'_>,
        _now: Instant,
        rng: &mut impl Rng,
    ) -> Option<id::Upstream> {
        let fitting =
            self.upstreams.values().filter(|u| u.has_room() && facts.fits(&u.announcement));
        let two = fitting.choose_multiple(rng, 2);
        let best = two.into_iter().min_by_key(|tracked| tracked.running)?;
        Some(best.announcement.id.clone())
    }

    /// An attempt is sent to the upstream.
    pub fn sent(&mut self, upstream: &id::Upstream, _now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(upstream) {
            tracked.running += 1;
        }
    }

    /// An attempt has ended, after that time; each call to [`Self::sent`] is followed by one of these.
    pub fn finished(
        &mut self,
        upstream: &id::Upstream,
        _class: Class,
        _outcome: Outcome,
        _latency: Duration,
        _now: Instant,
    ) {
        if let Some(tracked) = self.upstreams.get_mut(upstream) {
            tracked.running = tracked.running.saturating_sub(1);
        }
    }

    /// A load report has come.
    pub fn reported(&mut self, _load: &Load, _now: Instant) {}
}

impl Tracked {
    fn has_room(&self) -> bool {
        u64::from(self.running) < self.leased.unwrap_or(self.announcement.slots).get()
    }
}
