//! Requests that upstreams may have died of.

use tokio::time::Instant;

use crate::decide::quarantine::Report;
use crate::decide::quarantine::Status;
use crate::entry::Dispatch;
use crate::entry::Job;
use crate::id;
use crate::upstream::Announcement;

impl Dispatch {
    /// How a request stands that upstreams may have died of.
    pub fn standing(&mut self, job: &Job, now: Instant) -> Status {
        self.quarantine.status_with_parts(&job.suspicion, &job.parts, now)
    }

    /// Whether an upstream died while it ran the request, by this or an earlier send.
    pub fn is_charged(&self, job: &Job) -> bool {
        self.quarantine.is_charged(&job.suspicion)
    }

    /// An upstream died, with all that ran there; the report is for the other VMs of the region.
    pub fn died(&mut self, upstream: &Announcement, now: Instant) -> Report {
        self.quarantine.crashed(&upstream.id, upstream.incarnation, now)
    }

    /// A request was answered whole; the report is for the other VMs of the region.
    pub fn cleared(&mut self, job: &Job, upstream: &id::Upstream, now: Instant) -> Report {
        let mut report = self.quarantine.record_part_answers(&job.parts, now);
        report.extend(self.quarantine.answered(&job.suspicion, upstream, now));
        report
    }

    /// Takes what another VM saw of upstreams that died; returns whether it is new.
    pub fn reported(&mut self, report: &Report, now: Instant) -> bool {
        self.quarantine.merge(report, now)
    }

    /// All that is known of upstreams that died, for a VM that has just started.
    pub fn known_crashes(&self, now: Instant) -> Report {
        self.quarantine.report(now)
    }
}
