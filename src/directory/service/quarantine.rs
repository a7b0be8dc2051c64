//! Collects reports on crashes, and passes on what concerns the VMs of all regions.

use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use super::Service;
use crate::decide::quarantine::Digest;
use crate::decide::quarantine::HoldRecord;
use crate::decide::quarantine::Quarantine;
use crate::decide::quarantine::Report;
use crate::roster::Announcement;
use crate::store::cache::CRASHES_FILE;
use crate::unit::Incarnation;
use crate::wire::Cast;
use crate::wire::Peer;
use crate::wire::Role;
use crate::wire::message::SharedCrashes;

/// A check-in that is heard so long after a reported crash was not sent before it.
const MAX_CHECK_IN_DELAY: Duration = Duration::from_millis(2500);
/// Delay before what is known of crashes is saved, so that several crashes are written once.
const SAVE_DELAY: Duration = Duration::from_millis(500);
/// Minimum interval between two reports to followers.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// The bytes a second of reports that a follower is sent.
const BYTES_PER_SECOND: f64 = 16.0 * 1024.0;
/// Interval at which control VMs repeat to each other what they know, since messages may be lost.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The report that followers are sent at present.
#[derive(Debug, Clone, Default)]
pub struct Published {
    revision: u64,
    report: Bytes,
}

impl Service {
    pub(in crate::directory) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock()
    }

    /// Applies a report. One of an entry VM is passed on to the other control VMs, if it says anything new.
    pub(in crate::directory) fn apply_crash_report(&self, report: Report, from: &Peer) {
        let is_new = self.quarantine().merge(&report, Instant::now());
        if !is_new {
            return;
        }
        for record in &report.crashes {
            info!(self.log, "crash.reported"; "upstream" => %record.upstream, "from" => %from,
                "suspect" => %record.digest, "ran_ms" => record.ran.as_millis() as u64);
        }
        self.crashes_changed.notify_one();
        if from.role == Role::Entry {
            self.tell_control_vms(report);
        }
    }

    /// An upstream checked in. If a crash of this instance was reported some time ago, it did not happen.
    pub(super) fn record_check_in(&self, announcement: &Announcement) {
        let mut quarantine = self.quarantine();
        if quarantine.is_empty() {
            return;
        }
        let incarnation = Incarnation::new(announcement.stamp.start_time_ms);
        let crashed_at = quarantine.crashed_at(&announcement.id, incarnation);
        let now = Instant::now();
        if crashed_at.is_none_or(|at| now < at + MAX_CHECK_IN_DELAY) {
            return;
        }
        let report = quarantine.heard_from(&announcement.id, incarnation, now, now);
        drop(quarantine);
        info!(self.log, "crash.withdrawn"; "upstream" => %announcement.id, "why" => "it checked in");
        self.crashes_changed.notify_one();
        self.tell_control_vms(report);
    }

    /// The requests that are quarantined now.
    pub fn quarantined(&self) -> Vec<HoldRecord> {
        self.quarantine().quarantined(Instant::now())
    }

    /// Lifts the quarantine of a request at all VMs.
    pub fn lift_quarantine(&self, digest: &Digest) {
        let report = self.quarantine().lift(digest, Instant::now());
        info!(self.log, "quarantine.lifted"; "request" => %digest);
        self.crashes_changed.notify_one();
        self.tell_control_vms(report);
    }

    /// Evaluates what has been reported, at regular intervals.
    pub(in crate::directory) fn refresh_quarantine(&self, now: Instant) {
        let upstreams = self.table().upstreams().count();
        let mut quarantine = self.quarantine();
        quarantine.set_upstreams(upstreams);
        quarantine.evaluate(now);
        let is_changed = quarantine.revision() != self.published.borrow().revision;
        drop(quarantine);
        if is_changed {
            self.crashes_changed.notify_one();
        }
    }

    fn tell_control_vms(&self, report: Report) {
        let Some(mesh) = self.mesh() else { return };
        let others = self.control_vms().into_iter().filter(|vm| *vm != self.vm());
        let peers = others.map(|vm| Peer::new(vm, Role::Control));
        if let Err(error) = mesh.cast_all(peers, Cast::Quarantine(report)) {
            warn!(self.log, "crash.not_reported"; "why" => %error);
        }
    }

    /// Repeats to the other control VMs what concerns all regions.
    pub(in crate::directory) fn repeat_crash_report(&self) {
        let now = Instant::now();
        let quarantine = self.quarantine();
        let report = if quarantine.is_empty() { Report::default() } else { quarantine.shared(now) };
        drop(quarantine);
        if !report.is_empty() {
            self.tell_control_vms(report);
        }
    }

    /// Publishes the report for followers when it changes. A long report delays the next one, so that it does not use up the
    /// links of a large fleet.
    pub(in crate::directory) async fn publish_crash_reports(&self) {
        loop {
            self.crashes_changed.notified().await;
            let now = Instant::now();
            let (revision, report) = {
                let mut quarantine = self.quarantine();
                quarantine.evaluate(now);
                (quarantine.revision(), quarantine.shared(now))
            };
            if revision == self.published.borrow().revision {
                continue;
            }
            let mut encoded = Vec::new();
            if let Err(error) = ciborium::into_writer(&report, &mut encoded) {
                warn!(self.log, "crash.not_published"; "why" => %error);
                continue;
            }
            let pause = Duration::from_secs_f64(encoded.len() as f64 / BYTES_PER_SECOND);
            self.published.send_replace(Published { revision, report: encoded.into() });
            time::sleep(pause.max(MIN_INTERVAL)).await;
        }
    }

    /// Saves what is known of crashes a moment after it changes. Followers don't wait for the disk.
    pub(in crate::directory) async fn save_crashes(&self) {
        let mut published = self.published.subscribe();
        // The sender can't be dropped while `self` is borrowed.
        while published.changed().await.is_ok() {
            time::sleep(SAVE_DELAY).await;
            published.mark_unchanged();
            let report = self.quarantine().shared(Instant::now());
            let (cache, log) = (self.crash_cache.clone(), self.log.clone());
            let saved = tokio::task::spawn_blocking(move || cache.save(&report, &log));
            if let Err(error) = saved.await {
                warn!(self.log, "copy.not_written"; "file" => CRASHES_FILE, "why" => %error);
            }
        }
    }

    /// Waits until there is a newer report than that.
    pub(super) async fn wait_for_crash_report(&self, known: u64) {
        let mut published = self.published.subscribe();
        // The sender can't be dropped while `self` is borrowed.
        published.wait_for(|published| published.revision != known).await.ok();
    }

    /// The report for a follower that knows that revision; none if there is no newer one.
    pub(super) fn crash_report_after(&self, known: u64) -> Option<SharedCrashes> {
        let Published { revision, report } = self.published.borrow().clone();
        (revision != known).then_some(SharedCrashes { revision, report })
    }
}
