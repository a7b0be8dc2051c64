//! Quarantine of requests that crash upstreams.
//!
//! A request that crashes the upstream running it is sent again by its caller, and could take down all upstreams one after
//! the other. But upstreams also crash for other reasons, and refusing every request that ran on two crashed upstreams would
//! refuse innocent ones.
//!
//! When an upstream crashes, every request that ran there becomes a suspect. A suspect runs only where no other suspect
//! runs, so that a second crash shows which of them caused it; an answer acquits it. A request is quarantined when other
//! crashes are unlikely to explain its own: with few crashes around, the second one suffices. It is quarantined for long only
//! if they can't explain it.
//!
//! A part of a prompt may crash upstreams, whatever else a request holds, so that no two requests are alike. Parts are suspects
//! like requests, and acquitted by one complete answer: a part that crashes upstreams has none.
//!
//! VMs share what they observe; requests are identified by a digest. What concerns all regions is bounded: the requests of the
//! last crashes, those with several crashes, and the quarantined ones ([`Quarantine::shared`]).

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::route::rendezvous;
use crate::id;
use crate::unit::Incarnation;

mod crash_log;
mod digest;
mod hold;
mod message;
mod popular;

pub use digest::Digest;
pub use message::AnswerRecord;
pub use message::CrashRecord;
pub use message::HoldRecord;
pub use message::InstanceRecord;
pub use message::Report;
pub use popular::Popular;

use crash_log::CrashLog;
use crash_log::Instance;
use hold::Holds;

/// How long to wait for the other VMs' reports before a crash is evaluated.
///
/// Without them an innocent request could look like the only suspect, although another VM's request ran there too.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// How much later than one VM another starts a request that may have crashed several upstreams, and one whose quarantine has
/// ended.
const RELEASE_STAGGER: Duration = Duration::from_millis(1_500);
const QUARANTINE_STAGGER: Duration = Duration::from_secs(8);

/// The probability below which coincidence is ruled out as the explanation of a request's crashes
/// (see docs/MEASUREMENTS.md, quarantine).
const MAX_COINCIDENCE: f64 = 0.002;

/// The same for all crashes but the first, whichever suspects ran there.
const MAX_COINCIDENCE_BESIDE_OTHERS: f64 = 1e-5;

/// Recent answers to a request from which it is not suspected: it would be found beside most crashes, whatever their cause.
pub const POPULAR_ANSWERS: u32 = 3;

/// The least number of crashes of a request that is quarantined although others ran beside it each time.
const MIN_CRASHES_BESIDE_OTHERS: usize = 3;

/// How long signs of life and cleared requests are remembered.
const CLEARED_RETENTION: Duration = Duration::from_secs(1_800);

/// The ages of one event in two messages differ by no more than messages take.
const MAX_TRANSIT: Duration = Duration::from_secs(1);

/// How long requests with one crash concern all regions: their callers send them again within seconds.
const SHARED_TIME: Duration = Duration::from_secs(10);

/// Upper bounds on what is remembered and shared.
const MAX_CLEARED: usize = 4_096;
const MAX_SHARED: usize = 256;

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

impl Status {
    /// The stricter one of two.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Clear, other) | (other, Self::Clear) => other,
            (Self::Quarantined { time_left: one }, Self::Quarantined { time_left: other }) => {
                Self::Quarantined { time_left: one.max(other) }
            }
            (held @ Self::Quarantined { .. }, _) | (_, held @ Self::Quarantined { .. }) => held,
            (Self::Pending { time_left: one }, Self::Pending { time_left: other }) => {
                Self::Pending { time_left: one.max(other) }
            }
            (pending @ Self::Pending { .. }, _) | (_, pending @ Self::Pending { .. }) => pending,
            (Self::Suspect { mut avoid }, Self::Suspect { avoid: other }) => {
                avoid.extend(other);
                avoid.sort();
                avoid.dedup();
                Self::Suspect { avoid }
            }
        }
    }
}

/// One VM's view of the requests that may have crashed upstreams.
#[derive(Debug, Default)]
pub struct Quarantine {
    log: CrashLog,
    holds: Holds,
    running: HashMap<id::Upstream, Vec<(Digest, Instant)>>,
    /// The number of entries of each request in `running`.
    copies: HashMap<Digest, usize>,
    cleared: HashMap<Digest, Instant>,
    alive: HashMap<Instance, Instant>,
    pending: BTreeSet<(Instant, Digest)>,
    /// When the last crash of a request in `pending` is evaluated.
    last_evaluation: HashMap<Digest, Instant>,
    /// Until when requests with several crashes must not start.
    releases: HashMap<Digest, Instant>,
    vm: Option<id::Vm>,
    upstreams: usize,
    revision: u64,
}

impl Quarantine {
    /// Creates an empty quarantine for this many upstreams.
    pub fn new(upstreams: usize) -> Self {
        Self { upstreams, ..Self::default() }
    }

    /// Sets the VM, so that requests that may run again don't start at all VMs at once.
    #[must_use]
    pub fn with_vm(self, vm: id::Vm) -> Self {
        Self { vm: Some(vm), ..self }
    }

    /// Updates the number of upstreams.
    pub fn set_upstreams(&mut self, upstreams: usize) {
        self.upstreams = upstreams;
    }

    /// Whether no crash and no quarantined request is known.
    pub fn is_empty(&self) -> bool {
        self.log.is_empty() && self.holds.is_empty()
    }

    /// Whether no request is suspected or remembered, so that all may run.
    pub fn has_no_suspects(&self) -> bool {
        self.log.suspects() == 0 && self.holds.is_empty()
    }

    /// The number of requests that ran on crashed upstreams, and of those that are quarantined now.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        (self.log.suspects(), self.holds.active(now).count())
    }

    /// Increases with each change of what [`shared`](Self::shared) returns, except for ages.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The status of a request.
    pub fn status(&mut self, digest: &Digest, now: Instant) -> Status {
        self.evaluate(now);
        let delay = self.stagger(digest, QUARANTINE_STAGGER);
        if let Some(time_left) = self.holds.time_left(digest, now.checked_sub(delay).unwrap_or(now))
        {
            return Status::Quarantined { time_left };
        }
        if !self.log.is_suspect(digest) {
            return Status::Clear;
        }
        if let Some(&release) = self.releases.get(digest).filter(|release| now < **release) {
            return Status::Pending { time_left: release - now };
        }
        Status::Suspect { avoid: self.log.upstreams(digest).cloned().collect() }
    }

    /// The status of a request with these parts of its prompt.
    pub fn status_with_parts(
        &mut self,
        request: &Digest,
        parts: &[Digest],
        now: Instant,
    ) -> Status {
        let status = self.status(request, now);
        parts.iter().fold(status, |status, part| status.or(self.part_status(part, parts, now)))
    }

    /// The status of a part, by itself, of a request with these parts.
    ///
    /// Parts that sound requests share with those that crash upstreams are quarantined like these if they are not answered in
    /// time. They may run without the parts that explain their crashes, and an answer acquits them.
    fn part_status(&mut self, part: &Digest, parts: &[Digest], now: Instant) -> Status {
        match self.status(part, now) {
            Status::Quarantined { .. } if self.log.is_explained(part, parts) => {
                Status::Suspect { avoid: Vec::new() }
            }
            status => status,
        }
    }

    /// Records a complete answer on parts of a prompt, which acquits them: no request with a part that crashes upstreams has
    /// one. The report is for the other VMs.
    pub fn record_part_answers(&mut self, parts: &[Digest], now: Instant) -> Report {
        let mut report = Report::default();
        for part in parts {
            if self.is_charged(part) {
                report.extend(self.lift(part, now));
            }
        }
        report
    }

    /// Whether a request is remembered for a crash.
    pub fn is_charged(&self, digest: &Digest) -> bool {
        self.log.crash_count(digest) > 0 || self.holds.is_known(digest)
    }

    /// The suspect among a request and its parts that has crashed the most upstreams.
    pub fn worst_suspect(&self, request: &Digest, parts: &[Digest]) -> Digest {
        let is_suspect = |digest: &&Digest| self.log.is_suspect(digest);
        let suspects = [request].into_iter().chain(parts).filter(is_suspect);
        suspects.max_by_key(|digest| self.log.crash_count(digest)).copied().unwrap_or(*request)
    }

    /// A part of a time that is different for each VM.
    ///
    /// Several VMs that run the same suspect at once lose an upstream each before they hear of the first crash.
    fn stagger(&self, digest: &Digest, longest: Duration) -> Duration {
        let weight = self.vm.as_ref().map_or(0, |vm| rendezvous::weight(digest.key(), vm.as_str()));
        longest.mul_f64(weight as f64 / u64::MAX as f64)
    }

    /// Whether a request may start on this upstream. A suspect may not if this VM runs another suspect there, or the same
    /// one anywhere.
    pub fn may_start(&self, digest: &Digest, upstream: &id::Upstream) -> bool {
        if !self.log.is_suspect(digest) {
            return true;
        }
        let running = self.running.get(upstream).into_iter().flatten();
        !self.copies.contains_key(digest)
            && running.into_iter().all(|(other, _)| !self.log.is_suspect(other))
    }

    /// Records that a request was sent to an upstream.
    pub fn started(&mut self, digest: Digest, upstream: &id::Upstream, now: Instant) {
        self.running.entry(upstream.clone()).or_default().push((digest, now));
        *self.copies.entry(digest).or_default() += 1;
    }

    /// Records a complete answer, which acquits a suspect; the report is for the other VMs.
    pub fn answered(&mut self, digest: &Digest, upstream: &id::Upstream, now: Instant) -> Report {
        self.stopped(digest, upstream);
        if self.log.crash_count(digest) == 0 {
            return Report::default();
        }
        let is_suspect = self.log.is_suspect(digest);
        let (crashes, rivals) = (self.log.crash_count(digest), self.log.rivals(digest));
        let is_cleared = self.log.answer(digest, now);
        if !is_suspect && !is_cleared {
            return Report::default();
        }
        if crashes > 1 {
            self.revision += 1;
        }
        self.judge_again(rivals, now);
        let mut report = Report::default();
        if is_cleared {
            self.cleared.insert(*digest, now);
            report.cleared.push(*digest);
        }
        let (digest, age) = (*digest, Duration::ZERO);
        report.answers.push(AnswerRecord { digest, age, clears: is_cleared });
        report
    }

    /// Records that a request ended without evidence for or against it, such as by cancellation.
    pub fn stopped(&mut self, digest: &Digest, upstream: &id::Upstream) {
        let Some(running) = self.running.get_mut(upstream) else { return };
        if let Some(index) = running.iter().position(|(other, _)| other == digest) {
            running.swap_remove(index);
            remove_copy(&mut self.copies, digest);
        }
        if running.is_empty() {
            self.running.remove(upstream);
        }
    }

    /// Records a crash of an upstream with all that was started there; the report is for the other VMs.
    pub fn crashed(
        &mut self,
        upstream: &id::Upstream,
        incarnation: Incarnation,
        now: Instant,
    ) -> Report {
        let running = self.running.remove(upstream).unwrap_or_default();
        // Requests that share a part of their prompts are charged with it once.
        let mut ran = BTreeMap::new();
        for (digest, started) in running {
            remove_copy(&mut self.copies, &digest);
            let longest = ran.entry(digest).or_insert(Duration::ZERO);
            *longest = now.saturating_duration_since(started).max(*longest);
        }
        self.record_crash(upstream, incarnation, (ran.into_iter().collect(), Duration::ZERO), now)
    }

    /// Records a crash of an upstream that happened some time ago, with the requests that were running there and for how
    /// long; the report is for the other VMs.
    pub fn record_crash(
        &mut self,
        upstream: &id::Upstream,
        incarnation: Incarnation,
        (ran, age): (Vec<(Digest, Duration)>, Duration),
        now: Instant,
    ) -> Report {
        let record = |(digest, ran): (Digest, Duration)| CrashRecord {
            digest,
            upstream: upstream.clone(),
            incarnation,
            ran,
            age,
        };
        let instances = match ran.is_empty() {
            true => vec![InstanceRecord { upstream: upstream.clone(), incarnation, age }],
            false => Vec::new(),
        };
        let crashes = ran.into_iter().map(record).collect();
        let report = Report { crashes, instances, ..Report::default() };
        self.merge(&report, now);
        report
    }

    /// Records that an instance was heard from at that time. If a crash was recorded before, it did not happen; the report is
    /// for the other VMs.
    pub fn heard_from(
        &mut self,
        upstream: &id::Upstream,
        incarnation: Incarnation,
        at: Instant,
        now: Instant,
    ) -> Report {
        let instance = (upstream.clone(), incarnation);
        if self.log.crashed_at(&instance).is_none_or(|crashed| crashed > at) {
            return Report::default();
        }
        let (upstream, age) = (upstream.clone(), now.saturating_duration_since(at));
        let alive = vec![InstanceRecord { upstream, incarnation, age }];
        let report = Report { alive, ..Report::default() };
        self.merge(&report, now);
        report
    }

    /// When the instance crashed, as far as is known.
    pub fn crashed_at(&self, upstream: &id::Upstream, incarnation: Incarnation) -> Option<Instant> {
        self.log.crashed_at(&(upstream.clone(), incarnation))
    }

    /// Merges a report of another VM; returns whether it says anything new.
    pub fn merge(&mut self, report: &Report, now: Instant) -> bool {
        self.expire(now);
        let mut is_new = false;
        for digest in &report.cleared {
            is_new |= self.clear(digest, now);
        }
        for record in &report.alive {
            is_new |= self.apply_alive(record, now);
        }
        for record in &report.crashes {
            is_new |= self.apply_crash(record, now);
        }
        for record in &report.instances {
            let is_alive = self.was_alive_after(record, now);
            is_new |= !is_alive && self.log.add_instance(record, now);
        }
        for record in &report.answers {
            is_new |= self.apply_answer(record, now);
        }
        for record in &report.holds {
            let since = now.checked_sub(record.age).unwrap_or(now);
            if self.cleared.get(&record.digest).is_none_or(|&cleared| cleared < since)
                && self.holds.apply(record, now)
            {
                self.revision += 1;
                is_new = true;
            }
        }
        is_new
    }

    fn apply_crash(&mut self, record: &CrashRecord, now: Instant) -> bool {
        let crashed_at = now.checked_sub(record.age).unwrap_or(now);
        let is_cleared =
            self.cleared.get(&record.digest).is_some_and(|&cleared| cleared >= crashed_at);
        let instance = InstanceRecord {
            upstream: record.upstream.clone(),
            incarnation: record.incarnation,
            age: record.age,
        };
        if is_cleared || self.was_alive_after(&instance, now) || !self.log.add(record, now) {
            return false;
        }
        let evaluated_at = now + REPORT_DELAY;
        self.judge_at(evaluated_at, record.digest);
        if self.log.crash_count(&record.digest) > 1 || self.holds.is_known(&record.digest) {
            let release = evaluated_at + self.stagger(&record.digest, RELEASE_STAGGER);
            self.releases.insert(record.digest, release);
        }
        self.revision += 1;
        true
    }

    fn apply_answer(&mut self, record: &AnswerRecord, now: Instant) -> bool {
        let answered_at = now.checked_sub(record.age).unwrap_or(now);
        let rivals = self.log.rivals(&record.digest);
        let crashes = self.log.crash_count(&record.digest);
        let is_new = match record.clears {
            true => self.clear(&record.digest, answered_at),
            false => self.log.acquit(&record.digest, answered_at),
        };
        if is_new {
            if crashes > 1 {
                self.revision += 1;
            }
            self.judge_again(rivals, now);
        }
        is_new
    }

    /// Voids all that is known against a request until that time.
    fn clear(&mut self, digest: &Digest, at: Instant) -> bool {
        let is_repeated =
            self.cleared.get(digest).is_some_and(|&cleared| cleared + MAX_TRANSIT >= at);
        // It may have been charged again before it was answered.
        let is_charged = self.log.last_crash(digest).is_some_and(|crash| crash <= at)
            || self.holds.began(digest).is_some_and(|began| began <= at);
        if is_repeated && !is_charged {
            return false;
        }
        self.log.clear(digest);
        self.holds.remove(digest, at);
        if self.cleared.len() < MAX_CLEARED {
            self.cleared.insert(*digest, at);
        }
        self.revision += 1;
        true
    }

    /// Lifts the quarantine of a request; the report is for the other VMs.
    pub fn lift(&mut self, digest: &Digest, now: Instant) -> Report {
        self.clear(digest, now);
        let answer = AnswerRecord { digest: *digest, age: Duration::ZERO, clears: true };
        Report { cleared: vec![*digest], answers: vec![answer], ..Report::default() }
    }

    fn apply_alive(&mut self, record: &InstanceRecord, now: Instant) -> bool {
        let at = now.checked_sub(record.age).unwrap_or(now);
        let instance = (record.upstream.clone(), record.incarnation);
        let is_known = self.alive.get(&instance).is_some_and(|&alive| alive + MAX_TRANSIT >= at);
        if is_known && self.log.crashed_at(&instance).is_none_or(|crashed| crashed > at) {
            return false;
        }
        if self.log.withdraw(&instance, at) {
            self.revision += 1;
        }
        if self.alive.len() < MAX_CLEARED {
            self.alive.insert(instance, at);
        }
        true
    }

    /// Whether an instance was heard from after that.
    fn was_alive_after(&self, record: &InstanceRecord, now: Instant) -> bool {
        let at = now.checked_sub(record.age).unwrap_or(now);
        let alive = self.alive.get(&(record.upstream.clone(), record.incarnation));
        alive.is_some_and(|&alive| alive >= at)
    }

    /// Evaluates requests again, since one that ran beside them was answered.
    fn judge_again(&mut self, digests: Vec<Digest>, now: Instant) {
        digests.into_iter().for_each(|digest| self.judge_at(now, digest));
    }

    fn judge_at(&mut self, at: Instant, digest: Digest) {
        self.pending.insert((at, digest));
        let last = self.last_evaluation.entry(digest).or_insert(at);
        *last = at.max(*last);
    }

    /// Evaluates the crashes whose reports have had the time to arrive.
    pub fn evaluate(&mut self, now: Instant) {
        while self.pending.first().is_some_and(|(due, _)| *due <= now) {
            let Some((due, digest)) = self.pending.pop_first() else { return };
            let is_last = self.last_evaluation.get(&digest).is_none_or(|last| *last <= due);
            if is_last {
                self.last_evaluation.remove(&digest);
                self.judge(digest, now);
            }
        }
    }

    fn judge(&mut self, digest: Digest, now: Instant) {
        let time_left = self.holds.time_left(&digest, now);
        let is_on_probation = time_left.is_none() && self.holds.is_known(&digest);
        let chance = self.log.coincidence(&digest, is_on_probation, self.upstreams);
        let is_only_suspect = chance.is_some_and(|chance| chance <= MAX_COINCIDENCE);
        let is_hardly_explained = self.is_hardly_explained(&digest);
        let duration = match (is_only_suspect, is_hardly_explained || is_on_probation) {
            (true, true) => hold::LONG,
            (true, false) => hold::SHORT,
            (false, _) if is_hardly_explained => hold::SHORT,
            (false, _) => return,
        };
        // New evidence during a short quarantine may make it a long one.
        if time_left.is_some_and(|left| left + hold::SHORT > duration) {
            return;
        }
        let crashes = self.log.crash_count(&digest);
        self.holds.insert(digest, duration, crashes as u32, now);
        self.revision += 1;
    }

    /// Whether a request crashed so many upstreams without an answer that other causes hardly explain them, although others
    /// ran beside it each time.
    fn is_hardly_explained(&self, digest: &Digest) -> bool {
        self.log.step_count(digest) >= MIN_CRASHES_BESIDE_OTHERS
            && self.log.is_suspect(digest)
            && self.log.coincidence_beside_others(digest, self.upstreams)
                <= MAX_COINCIDENCE_BESIDE_OTHERS
    }

    /// A report of everything known, for a VM that may know nothing.
    pub fn report(&self, now: Instant) -> Report {
        let mut report = self.shared(now);
        let older = self
            .log
            .unanswered()
            .filter(|suspect| suspect.crashes == 1 && now >= suspect.last_crash + SHARED_TIME);
        let older = older.take(MAX_SHARED);
        report.crashes.extend(older.flat_map(|suspect| self.log.records(suspect.digest, now)));
        report
    }

    /// What concerns the VMs of all regions: quarantined requests, those with several or recent crashes, and recent crashes.
    pub fn shared(&self, now: Instant) -> Report {
        let suspects = self.log.unanswered().filter(|suspect| {
            let is_recent = now < suspect.last_crash + SHARED_TIME;
            is_recent
                || (suspect.crashes > 1 && self.holds.time_left(suspect.digest, now).is_none())
        });
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_by_key(|suspect| Reverse((suspect.crashes, suspect.last_crash)));
        let suspects = suspects.into_iter().take(MAX_SHARED);
        let crashes = suspects.flat_map(|suspect| self.log.records(suspect.digest, now)).collect();
        let mut instances = self.log.recent_instances(now);
        instances.truncate(MAX_SHARED);
        let answers = self.cleared.iter().map(|(digest, at)| AnswerRecord {
            digest: *digest,
            age: now.saturating_duration_since(*at),
            clears: true,
        });
        let mut answers: Vec<AnswerRecord> = answers.collect();
        answers.sort_by_key(|record| (record.age, record.digest));
        answers.truncate(MAX_SHARED);
        let alive = self.alive.iter().map(|((upstream, incarnation), at)| InstanceRecord {
            upstream: upstream.clone(),
            incarnation: *incarnation,
            age: now.saturating_duration_since(*at),
        });
        let mut alive: Vec<InstanceRecord> = alive.collect();
        alive.sort_by(|a, b| (a.age, &a.upstream).cmp(&(b.age, &b.upstream)));
        alive.truncate(MAX_SHARED);
        let holds = self.holds.records(now, MAX_SHARED);
        Report { crashes, cleared: Vec::new(), instances, alive, answers, holds }
    }

    /// The requests that are quarantined now.
    pub fn quarantined(&self, now: Instant) -> Vec<HoldRecord> {
        let mut records = self.holds.records(now, usize::MAX);
        records.retain(|record| !record.time_left.is_zero());
        records
    }

    fn expire(&mut self, now: Instant) {
        self.log.expire(now);
        self.holds.expire(now);
        self.releases.retain(|_, release| now < *release);
        self.cleared.retain(|_, cleared| now < *cleared + CLEARED_RETENTION);
        self.alive.retain(|_, alive| now < *alive + CLEARED_RETENTION);
    }
}

fn remove_copy(copies: &mut HashMap<Digest, usize>, digest: &Digest) {
    if let Some(count) = copies.get_mut(digest) {
        *count -= 1;
        if *count == 0 {
            copies.remove(digest);
        }
    }
}

#[cfg(test)]
mod tests;
