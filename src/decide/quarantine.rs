//! Quarantine of requests that crash upstreams.
//!
//! A request that crashes the upstream running it is sent again by its caller, and could take down a region's upstreams
//! one after the other. But upstreams also crash for other reasons, and refusing every request that ran on two crashed
//! upstreams would refuse innocent ones.
//!
//! When an upstream crashes, every request that ran there becomes a suspect. A suspect runs only where no other suspect
//! runs, so that a second crash shows which of them caused it; an answer clears it. A request is quarantined when other
//! crashes are unlikely to explain its own: with few crashes around, the second one suffices. The VMs of a region share
//! what they observe; requests are identified by a digest.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::id;
use crate::unit::Incarnation;

mod crash_log;
mod digest;
mod message;

pub use digest::Digest;
pub use message::CrashRecord;
pub use message::Report;

use crash_log::CrashLog;

/// How long a request is quarantined. It ends by itself, so that an operator who fixes the upstreams need not lift it.
/// To quarantine it again costs two upstreams.
const QUARANTINE_DURATION: Duration = Duration::from_secs(1_800);

/// How long to wait for the other VMs' reports before a crash is evaluated.
///
/// Without them an innocent request could look like the only suspect, although another VM's request ran there too.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// The status of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status {
    /// No upstream has crashed while running it.
    Clear,
    /// An upstream crashed while running it. It may start where [`Quarantine::may_start`] allows, preferably not on these.
    Suspect {
        /// Upstreams that crashed while running it.
        avoid: Vec<id::Upstream>,
    },
    /// Its second or a later crash hasn't been evaluated yet; it must not start.
    Pending {
        /// The time left.
        time_left: Duration,
    },
    /// It must be refused. It ran before, but not this time.
    Quarantined {
        /// The time left.
        time_left: Duration,
    },
}

/// One VM's view of the requests that may have crashed upstreams of its region.
#[derive(Debug, Default)]
pub struct Quarantine {
    log: CrashLog,
    quarantined: HashMap<Digest, Instant>,
    running: HashMap<id::Upstream, Vec<(Digest, Instant)>>,
    cleared: HashMap<Digest, Instant>,
    pending: BTreeSet<(Instant, Digest)>,
    upstreams: usize,
}

impl Quarantine {
    /// Creates an empty quarantine for a region with this many upstreams.
    pub fn new(upstreams: usize) -> Self {
        Self { upstreams, ..Self::default() }
    }

    /// Updates the number of upstreams in the region.
    pub fn set_upstreams(&mut self, upstreams: usize) {
        self.upstreams = upstreams;
    }

    /// The status of a request.
    pub fn status(&mut self, digest: &Digest, now: Instant) -> Status {
        self.evaluate(now);
        if let Some(&until) = self.quarantined.get(digest)
            && now < until
        {
            return Status::Quarantined { time_left: until - now };
        }
        if !self.log.is_suspect(digest) {
            return Status::Clear;
        }
        let avoid: Vec<id::Upstream> = self.log.upstreams(digest).cloned().collect();
        let pending = self.pending.iter().find(|(_, other)| other == digest);
        match pending {
            Some((due, _)) if avoid.len() > 1 => Status::Pending { time_left: *due - now },
            _ => Status::Suspect { avoid },
        }
    }

    /// Whether a request may start on this upstream; a suspect may not if this VM runs another suspect there.
    pub fn may_start(&self, digest: &Digest, upstream: &id::Upstream) -> bool {
        if !self.log.is_suspect(digest) {
            return true;
        }
        let running = self.running.get(upstream).into_iter().flatten();
        running.into_iter().all(|(other, _)| !self.log.is_suspect(other))
    }

    /// Records that a request was sent to an upstream.
    pub fn started(&mut self, digest: Digest, upstream: &id::Upstream, now: Instant) {
        self.running.entry(upstream.clone()).or_default().push((digest, now));
    }

    /// Records a complete answer, which clears a suspect; the report is for the other VMs of the region.
    pub fn answered(&mut self, digest: &Digest, upstream: &id::Upstream, now: Instant) -> Report {
        self.stopped(digest, upstream);
        if !self.log.is_suspect(digest) {
            return Report::default();
        }
        let report = Report { crashes: Vec::new(), cleared: vec![*digest] };
        self.merge(&report, now);
        report
    }

    /// Records that a request ended without evidence for or against it, such as by cancellation.
    pub fn stopped(&mut self, digest: &Digest, upstream: &id::Upstream) {
        let Some(running) = self.running.get_mut(upstream) else { return };
        if let Some(index) = running.iter().position(|(other, _)| other == digest) {
            running.swap_remove(index);
        }
        if running.is_empty() {
            self.running.remove(upstream);
        }
    }

    /// Records a crash of an upstream; the report is for the other VMs of the region.
    pub fn crashed(
        &mut self,
        upstream: &id::Upstream,
        incarnation: Incarnation,
        now: Instant,
    ) -> Report {
        let running = self.running.remove(upstream).unwrap_or_default();
        let record = |(digest, started): (Digest, Instant)| CrashRecord {
            digest,
            upstream: upstream.clone(),
            incarnation,
            ran: now.saturating_duration_since(started),
            age: Duration::ZERO,
        };
        let report =
            Report { crashes: running.into_iter().map(record).collect(), cleared: Vec::new() };
        self.merge(&report, now);
        report
    }

    /// Merges a report of another VM of the region.
    pub fn merge(&mut self, report: &Report, now: Instant) {
        self.expire(now);
        for digest in &report.cleared {
            self.log.clear(digest);
            self.cleared.insert(*digest, now);
        }
        for record in &report.crashes {
            let crashed_at = now.checked_sub(record.age).unwrap_or(now);
            if self.cleared.get(&record.digest).is_none_or(|&cleared| cleared < crashed_at) {
                self.log.add(record, now);
                self.pending.insert((now + REPORT_DELAY, record.digest));
            }
        }
    }

    fn evaluate(&mut self, now: Instant) {
        while self.pending.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, digest)) = self.pending.pop_first() else { return };
            let later_crash = self.pending.iter().any(|(_, other)| *other == digest);
            if !later_crash && self.log.is_culprit(&digest, self.upstreams) {
                self.quarantined.insert(digest, now + QUARANTINE_DURATION);
            }
        }
    }

    /// A report of everything known, for a VM that has just started.
    pub fn report(&self, now: Instant) -> Report {
        Report { crashes: self.log.crashes(now), cleared: self.cleared.keys().copied().collect() }
    }

    fn expire(&mut self, now: Instant) {
        self.log.expire(now);
        self.quarantined.retain(|_, until| now < *until);
        self.cleared.retain(|_, cleared| now < *cleared + QUARANTINE_DURATION);
    }
}

#[cfg(test)]
mod tests;
