//! Which requests are not run again because upstreams die of them.
//!
//! **Load pattern.** A single request crashes each upstream that runs it, and its caller, who got no answer, sends it
//! again. Beside it run innocent requests, and upstreams crash for other reasons as well, sometimes many at once.
//!
//! **Without it.** One such request takes the upstreams of a region down one after the other, as fast as they
//! come back. If whatever ran on two crashed upstreams is refused instead, a burst of ordinary crashes gets
//! innocent requests refused: those are resent, and meet the next crash.
//!
//! **Decision.** When an upstream dies, every request that ran there becomes a suspect. A suspect runs again only where
//! no other suspect runs, so that a second death tells which of them it was; an answer clears it. It is convicted
//! when ordinary crashes are unlikely to explain its deaths: with few crashes around, the second death does.
//! The VMs of a region share what each of them saw; a digest stands for the request and is kept in the region.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::id;
use crate::unit::Incarnation;

mod digest;
mod evidence;
mod message;

pub use digest::Digest;
pub use message::Charge;
pub use message::Report;

use evidence::Evidence;

/// How long a convicted request is refused. Derived: it costs two upstreams to convict it again, and an
/// operator who mends the upstreams need not tell anybody.
const SENTENCE: Duration = Duration::from_secs(1_800);

/// How long a death is not judged, so that the charges of all VMs have come in.
///
/// A VM that judges by its own part alone takes its suspect for the only one that ran there, and convicts an innocent
/// request that ran beside another VM's killer. Derived: twice the time of a message within a region, generously.
const SETTLING: Duration = Duration::from_millis(250);

/// How a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// An upstream died under it: it runs only where [`Quarantine::may_start`] allows, and better not on these.
    Suspect {
        /// Upstreams that died under it.
        avoid: Vec<id::Upstream>,
    },
    /// Its second or a later death has not been judged yet: it starts nowhere for so long.
    Held {
        /// The rest of the time.
        left: Duration,
    },
    /// It is refused for so long; it did run before, but not this time.
    Convicted {
        /// The rest of the time.
        left: Duration,
    },
}

/// One VM's view of the requests that upstreams of its region died under.
#[derive(Debug, Default)]
pub struct Quarantine {
    evidence: Evidence,
    convicted: HashMap<Digest, Instant>,
    running: HashMap<id::Upstream, Vec<(Digest, Instant)>>,
    cleared: HashMap<Digest, Instant>,
    unjudged: BTreeSet<(Instant, Digest)>,
    upstreams: usize,
}

impl Quarantine {
    /// Nothing is known yet of so many upstreams in the region.
    pub fn new(upstreams: usize) -> Self {
        Self { upstreams, ..Self::default() }
    }

    /// The region has so many upstreams now.
    pub fn set_upstreams(&mut self, upstreams: usize) {
        self.upstreams = upstreams;
    }

    /// How a request stands.
    pub fn standing(&mut self, digest: &Digest, now: Instant) -> Standing {
        self.judge(now);
        if let Some(&until) = self.convicted.get(digest)
            && now < until
        {
            return Standing::Convicted { left: until - now };
        }
        if !self.evidence.is_suspect(digest) {
            return Standing::Clear;
        }
        let avoid: Vec<id::Upstream> = self.evidence.upstreams(digest).cloned().collect();
        let unjudged = self.unjudged.iter().find(|(_, other)| other == digest);
        match unjudged {
            Some((due, _)) if avoid.len() > 1 => Standing::Held { left: *due - now },
            _ => Standing::Suspect { avoid },
        }
    }

    /// Whether a request may start on this upstream: a suspect only where this VM runs no other suspect.
    pub fn may_start(&self, digest: &Digest, upstream: &id::Upstream) -> bool {
        if !self.evidence.is_suspect(digest) {
            return true;
        }
        let running = self.running.get(upstream).into_iter().flatten();
        running.into_iter().all(|(other, _)| !self.evidence.is_suspect(other))
    }

    /// A request was sent to an upstream.
    pub fn started(&mut self, digest: Digest, upstream: &id::Upstream, now: Instant) {
        self.running.entry(upstream.clone()).or_default().push((digest, now));
    }

    /// A request was answered whole; a suspect is cleared by that, and the report tells the other VMs.
    pub fn answered(&mut self, digest: &Digest, upstream: &id::Upstream, now: Instant) -> Report {
        self.stopped(digest, upstream);
        if !self.evidence.is_suspect(digest) {
            return Report::default();
        }
        let report = Report { charges: Vec::new(), cleared: vec![*digest] };
        self.merge(&report, now);
        report
    }

    /// A request ended in another way that says nothing about it, such as a cancellation.
    pub fn stopped(&mut self, digest: &Digest, upstream: &id::Upstream) {
        let Some(running) = self.running.get_mut(upstream) else { return };
        if let Some(index) = running.iter().position(|(other, _)| other == digest) {
            running.swap_remove(index);
        }
        if running.is_empty() {
            self.running.remove(upstream);
        }
    }

    /// An upstream died, with all requests that ran there; the report tells the other VMs.
    pub fn died(
        &mut self,
        upstream: &id::Upstream,
        incarnation: Incarnation,
        now: Instant,
    ) -> Report {
        let running = self.running.remove(upstream).unwrap_or_default();
        let charge = |(digest, started): (Digest, Instant)| Charge {
            digest,
            upstream: upstream.clone(),
            incarnation,
            ran: now.saturating_duration_since(started),
            age: Duration::ZERO,
        };
        let report =
            Report { charges: running.into_iter().map(charge).collect(), cleared: Vec::new() };
        self.merge(&report, now);
        report
    }

    /// Takes in what another VM of the region saw.
    pub fn merge(&mut self, report: &Report, now: Instant) {
        self.expire(now);
        for digest in &report.cleared {
            self.evidence.clear(digest);
            self.cleared.insert(*digest, now);
        }
        for charge in &report.charges {
            let happened = now.checked_sub(charge.age).unwrap_or(now);
            if self.cleared.get(&charge.digest).is_none_or(|&cleared| cleared < happened) {
                self.evidence.add(charge, now);
                self.unjudged.insert((now + SETTLING, charge.digest));
            }
        }
    }

    fn judge(&mut self, now: Instant) {
        while self.unjudged.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, digest)) = self.unjudged.pop_first() else { return };
            let later_death = self.unjudged.iter().any(|(_, other)| *other == digest);
            if !later_death && self.evidence.convicts(&digest, self.upstreams) {
                self.convicted.insert(digest, now + SENTENCE);
            }
        }
    }

    /// Everything that is known, for a VM that has just started.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            charges: self.evidence.charges(now),
            cleared: self.cleared.keys().copied().collect(),
        }
    }

    fn expire(&mut self, now: Instant) {
        self.evidence.expire(now);
        self.convicted.retain(|_, until| now < *until);
        self.cleared.retain(|_, cleared| now < *cleared + SENTENCE);
    }
}

#[cfg(test)]
mod tests;
