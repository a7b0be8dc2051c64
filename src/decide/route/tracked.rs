//! One upstream as the route sees it.

use std::time::Duration;

use tokio::time::Instant;

use super::ejection::Ejection;
use super::ewma::Ewma;
use super::group::Stats;
use crate::decide::history::History;
use crate::unit::Slots;
use crate::upstream::Announcement;
use crate::upstream::Load;

/// How long a new upstream takes to its full share: its prefix cache is empty and its kernels are not compiled,
/// so that a full share at once would make all of it late.
pub const SLOW_START: Duration = Duration::from_secs(30);

/// How much faster a report fades than the requests that it counted end: as all VMs answer the same report at
/// once, what it showed is soon used up. Measured with 8 VMs: at 1 the VMs herd with reports 1 s old (late 0.9%
/// of requests; 0.15% at 3), and beyond 3 nothing is gained.
const FADING: f64 = 3.0;

/// The share that a new upstream starts with.
pub const FIRST_SHARE: f64 = 0.1;

/// The time over which missed requests count: so long at least must a slot be held for the next one of a prefix.
const MISSED: Duration = Duration::from_secs(1);

/// The most missed requests that count, as one request may be noted at each try.
const MOST_MISSED: f64 = 2.0;

/// The most that slowness counts in a score; beyond it an upstream is ejected anyway.
const MOST_SLOWNESS: f64 = 10.0;

/// What is known of one upstream.
#[derive(Debug)]
pub struct Tracked {
    /// What it announced last.
    pub announcement: Announcement,
    /// This VM's own requests inside it.
    pub own: History,
    /// Failures and ejections.
    pub ejection: Ejection,
    /// Its latencies against the mean of its like.
    pub slowness: Ewma,
    /// How many slots this VM may use, once the pool has told.
    pub leased: Option<Slots>,
    /// It takes no new work, but some runs still.
    pub leaving: bool,
    /// It gets no new work before an order is given to it.
    pub draining: bool,
    since: Instant,
    report: Option<Report>,
    missed: Option<(f64, Instant)>,
}

#[derive(Debug)]
struct Report {
    sequence: u64,
    measured: Instant,
    others: f64,
}

impl Tracked {
    /// A new upstream.
    pub fn new(announcement: Announcement, now: Instant) -> Self {
        Self {
            announcement,
            own: History::default(),
            ejection: Ejection::default(),
            slowness: Ewma::default(),
            leased: None,
            leaving: false,
            draining: false,
            since: now,
            report: None,
            missed: None,
        }
    }

    /// Takes what it announces now; a new start begins with cold caches and a clean record.
    pub fn announced(&mut self, announcement: Announcement, now: Instant) {
        if announcement.incarnation > self.announcement.incarnation {
            self.ejection = Ejection::default();
            self.slowness = Ewma::default();
            self.report = None;
            self.since = now;
        }
        self.leaving = false;
        self.announcement = announcement;
    }

    /// Takes a load report. What this VM had inside when it was measured is taken off, as it is counted exactly
    /// already: the rest is the other VMs'.
    pub fn reported(&mut self, load: &Load, now: Instant) {
        let newer = self.report.as_ref().is_none_or(|last| load.sequence > last.sequence);
        if load.incarnation != self.announcement.incarnation || !newer {
            return;
        }
        let measured = now.checked_sub(load.age).unwrap_or(now);
        let others = f64::from(load.total().saturating_sub(self.own.at(measured)));
        self.report = Some(Report { sequence: load.sequence, measured, others });
    }

    /// It refused for being full: the other VMs have all slots that this one doesn't use.
    pub fn full(&mut self, now: Instant) {
        let others = (self.slots() - f64::from(self.own.running())).max(0.0);
        let sequence = self.report.as_ref().map_or(0, |last| last.sequence);
        self.report = Some(Report { sequence, measured: now, others });
    }

    /// The other VMs' requests inside it now, by a report that may be old. Of the requests that ran when it was
    /// measured, a share of `exp(-age / service time)` still runs (so it is for any queue without waiting and
    /// with exponential service times), and it fades faster by [`FADING`]; the rest is the mean over its like. Without this all VMs
    /// would run after the same upstream that was free some seconds ago.
    pub fn others(&self, stats: &Stats, now: Instant) -> f64 {
        let mean = stats.others_per_slot * self.slots();
        let Some(report) = &self.report else { return mean };
        let age = now.saturating_duration_since(report.measured);
        let kept = (-FADING * age.as_secs_f64() / stats.service.as_secs_f64()).exp();
        mean + (report.others - mean) * kept
    }

    /// The other VMs' requests by the last report as it stands.
    pub fn reported_others(&self) -> Option<f64> {
        self.report.as_ref().map(|report| report.others)
    }

    /// The estimated requests inside it, for each slot.
    pub fn utilisation(&self, stats: &Stats, now: Instant) -> f64 {
        (f64::from(self.own.running()) + self.others(stats, now)) / self.slots()
    }

    /// The score of one request more: the lower, the better.
    pub fn score(&self, stats: &Stats, now: Instant) -> f64 {
        let load = f64::from(self.own.running()) + self.others(stats, now) + 1.0;
        load / (self.slots() * self.share(stats, now)) * self.relative_slowness(stats)
    }

    /// How slow it is against the median of its like; a score counts no upstream as faster than that, so that
    /// one is not overrun for a few short requests.
    pub fn relative_slowness(&self, stats: &Stats) -> f64 {
        let slowness = self.slowness.get().unwrap_or(stats.slowness);
        (slowness / stats.slowness).clamp(1.0, MOST_SLOWNESS)
    }

    /// Its share while it is new, against the longest-standing of its like: where all are new, none holds back.
    pub fn share(&self, stats: &Stats, now: Instant) -> f64 {
        (self.ramp(now) / stats.ramp).min(1.0)
    }

    /// How far its slow start has come.
    pub fn ramp(&self, now: Instant) -> f64 {
        let start = self.ejection.until().map_or(self.since, |until| until.max(self.since));
        let grown = now.saturating_duration_since(start).as_secs_f64() / SLOW_START.as_secs_f64();
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * grown).min(1.0)
    }

    /// A request would have found its prefix here, and ran elsewhere for lack of a slot of this VM's.
    pub fn miss(&mut self, now: Instant) {
        self.missed = Some(((self.missed(now) + 1.0).min(MOST_MISSED), now));
    }

    /// How many requests it was missed for within about the last [`MISSED`].
    pub fn missed(&self, now: Instant) -> f64 {
        let fade =
            |at: Instant| now.saturating_duration_since(at).as_secs_f64() / MISSED.as_secs_f64();
        self.missed.map_or(0.0, |(count, at)| count * (-fade(at)).exp())
    }

    /// Whether it may get one request more from this VM.
    pub fn has_room(&self, stats: &Stats, now: Instant) -> bool {
        let slots = self.leased.unwrap_or(self.announcement.slots).get();
        let running = u64::from(self.own.running());
        if self.leaving || self.draining || running >= slots {
            return false;
        }
        running == 0 || (running as f64) < slots as f64 * self.share(stats, now)
    }

    /// Its slots.
    pub fn slots(&self) -> f64 {
        self.announcement.slots.get().max(1) as f64
    }
}
