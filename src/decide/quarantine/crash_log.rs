//! Crashes of upstreams, and the requests that ran there.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::quarantine::CrashRecord;
use crate::decide::quarantine::Digest;
use crate::decide::quarantine::InstanceRecord;
use crate::id;
use crate::unit::Incarnation;

/// How long a crash is remembered: long enough for resends after an outage of some minutes.
const RETENTION: Duration = Duration::from_secs(600);

/// The window on either side of a crash within which other crashes are counted.
const RATE_WINDOW: Duration = Duration::from_secs(60);

/// The minimum crash rate assumed for any upstream: once an hour.
const BASELINE_RATE: f64 = 1.0 / 3_600.0;

/// The least time for which a request is assumed to run: callers who send many short ones have one running at most times.
const MIN_RUN: Duration = Duration::from_millis(300);

/// A request that ran on so many upstreams which crashed within this time, beside others that crashed without it, is taken for
/// popular: a rack failed, or an operator restarted a service. A request that is sent again needs longer.
const MASS_TIME: Duration = Duration::from_millis(500);
const MASS_CRASHES: usize = 3;

/// The times of two crashes, as reported by different VMs, differ by no more than this from the truth.
const MAX_SKEW: Duration = Duration::from_millis(250);

/// Answers for each crash after which a request is no suspect any more. A request that crashes every other upstream is
/// still found, and a popular one that all upstreams run is not blamed for their crashes.
const ANSWERS_PER_CRASH: usize = 3;

/// Beside so many crashes of a part that others explain, one that none explains does not count.
const MANY_EXPLAINED: usize = 4;

/// The most crashes and suspects that are remembered; the oldest are dropped first.
const MAX_CRASHES: usize = 1_024;
const MAX_SUSPECTS: usize = 16_384;

/// One instance of an upstream, from its start to its crash.
pub type Instance = (id::Upstream, Incarnation);

/// The crash of one instance.
#[derive(Debug)]
struct Crash {
    at: Instant,
    ran: BTreeMap<Digest, Duration>,
}

/// A request that was running on crashed upstreams.
#[derive(Debug)]
struct Suspect {
    instances: Vec<Instance>,
    last_crash: Instant,
    last_answer: Option<Instant>,
    /// Answers that this VM has seen.
    answers: usize,
}

/// A suspect that has not been answered since its last crash.
#[derive(Debug)]
pub struct Unanswered<'a> {
    pub digest: &'a Digest,
    pub crashes: usize,
    pub last_crash: Instant,
}

impl Suspect {
    /// Whether it was answered completely after its last crash.
    fn is_acquitted(&self) -> bool {
        self.last_answer.is_some_and(|answer| answer >= self.last_crash)
    }
}

/// The recent crashes.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: HashMap<Instance, Crash>,
    suspects: HashMap<Digest, Suspect>,
}

impl CrashLog {
    /// Adds a record; returns whether it is new.
    pub fn add(&mut self, record: &CrashRecord, now: Instant) -> bool {
        let at = now.checked_sub(record.age).unwrap_or(now);
        let instance = (record.upstream.clone(), record.incarnation);
        self.add_crash(instance.clone(), at);
        let is_full = self.suspects.len() >= MAX_SUSPECTS && !self.is_known(&record.digest);
        let Some(crash) = self.crashes.get_mut(&instance) else { return false };
        if is_full || crash.ran.contains_key(&record.digest) {
            return false;
        }
        crash.ran.insert(record.digest, record.ran);
        let suspect = self.suspects.entry(record.digest).or_insert_with(|| Suspect {
            instances: Vec::new(),
            last_crash: at,
            last_answer: None,
            answers: 0,
        });
        suspect.instances.push(instance);
        suspect.last_crash = suspect.last_crash.max(at);
        true
    }

    /// Adds a crash without the requests that were running; returns whether it is new.
    pub fn add_instance(&mut self, record: &InstanceRecord, now: Instant) -> bool {
        let at = now.checked_sub(record.age).unwrap_or(now);
        self.add_crash((record.upstream.clone(), record.incarnation), at)
    }

    fn add_crash(&mut self, instance: Instance, at: Instant) -> bool {
        if self.crashes.contains_key(&instance) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
                self.remove(&oldest);
            }
        }
        self.crashes.insert(instance, Crash { at, ran: BTreeMap::new() });
        true
    }

    /// Removes a crash that did not happen, unless it is later than the sign of life.
    pub fn withdraw(&mut self, instance: &Instance, alive_at: Instant) -> bool {
        let is_earlier = self.crashes.get(instance).is_some_and(|crash| crash.at <= alive_at);
        if is_earlier {
            self.remove(instance);
        }
        is_earlier
    }

    /// When an instance crashed.
    pub fn crashed_at(&self, instance: &Instance) -> Option<Instant> {
        self.crashes.get(instance).map(|crash| crash.at)
    }

    /// Records that a request was answered; returns whether it is no suspect any more.
    pub fn answer(&mut self, digest: &Digest, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get_mut(digest) else { return false };
        suspect.answers += 1;
        suspect.last_answer = suspect.last_answer.max(Some(now));
        let is_cleared = suspect.answers >= ANSWERS_PER_CRASH * suspect.instances.len();
        if is_cleared {
            self.clear(digest);
        }
        is_cleared
    }

    /// Records an answer that another VM saw; returns whether that is new.
    pub fn acquit(&mut self, digest: &Digest, answered_at: Instant) -> bool {
        let Some(suspect) = self.suspects.get_mut(digest) else { return false };
        let was_acquitted = suspect.is_acquitted();
        suspect.last_answer = suspect.last_answer.max(Some(answered_at));
        !was_acquitted && suspect.is_acquitted()
    }

    /// Removes a request from all crashes.
    pub fn clear(&mut self, digest: &Digest) {
        let Some(suspect) = self.suspects.remove(digest) else { return };
        for instance in suspect.instances {
            if let Some(crash) = self.crashes.get_mut(&instance) {
                crash.ran.remove(digest);
            }
        }
    }

    /// Removes crashes older than the retention time.
    pub fn expire(&mut self, now: Instant) {
        let old = self.crashes.iter().filter(|(_, crash)| now >= crash.at + RETENTION);
        let instances: Vec<Instance> = old.map(|(instance, _)| instance.clone()).collect();
        for instance in instances {
            self.remove(&instance);
        }
    }

    fn remove(&mut self, instance: &Instance) {
        let Some(crash) = self.crashes.remove(instance) else { return };
        for digest in crash.ran.keys() {
            let Some(suspect) = self.suspects.get_mut(digest) else { continue };
            suspect.instances.retain(|other| other != instance);
            if suspect.instances.is_empty() {
                self.suspects.remove(digest);
            }
        }
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// The number of suspects.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// The upstreams that crashed while running a request.
    pub fn upstreams(&self, digest: &Digest) -> impl Iterator<Item = &id::Upstream> {
        let suspect = self.suspects.get(digest).into_iter();
        suspect.flat_map(|suspect| &suspect.instances).map(|(upstream, _)| upstream)
    }

    /// Whether any upstream crashed while running a request that has not been answered since.
    pub fn is_suspect(&self, digest: &Digest) -> bool {
        self.suspects.get(digest).is_some_and(|suspect| !suspect.is_acquitted())
    }

    /// The number of upstreams that crashed while running a request.
    pub fn crash_count(&self, digest: &Digest) -> usize {
        self.suspects.get(digest).map_or(0, |suspect| suspect.instances.len())
    }

    /// When an upstream last crashed while running a request.
    pub fn last_crash(&self, digest: &Digest) -> Option<Instant> {
        self.suspects.get(digest).map(|suspect| suspect.last_crash)
    }

    /// Whether other parts, which a request with these parts does not have, may be the cause of all crashes of a part: at each
    /// of them a suspect with several crashes ran.
    ///
    /// Beside many of these, one crash may be unexplained: the part that caused it has crashed nothing else, since no request
    /// that has both runs any more.
    pub fn is_explained(&self, part: &Digest, parts: &[Digest]) -> bool {
        let Some(suspect) = self.suspects.get(part) else { return false };
        let is_cause = |other: &Digest| {
            other.is_part()
                && !parts.contains(other)
                && self.crash_count(other) > 1
                && self.is_suspect(other)
        };
        let crashes = suspect.instances.iter().filter_map(|one| self.crashes.get(one));
        let explained = crashes.filter(|crash| crash.ran.keys().any(is_cause)).count();
        let unexplained = suspect.instances.len() - explained;
        unexplained == 0 || (unexplained == 1 && explained >= MANY_EXPLAINED)
    }

    fn is_known(&self, digest: &Digest) -> bool {
        self.suspects.contains_key(digest)
    }

    /// The suspects with several crashes that ran beside a request.
    pub fn rivals(&self, digest: &Digest) -> Vec<Digest> {
        let suspect = self.suspects.get(digest).into_iter();
        let instances = suspect.flat_map(|suspect| &suspect.instances);
        let beside = instances
            .filter_map(|instance| self.crashes.get(instance))
            .flat_map(|crash| crash.ran.keys());
        beside.filter(|other| *other != digest && self.crash_count(other) > 1).copied().collect()
    }

    /// The suspects that have not been answered since their last crash.
    pub fn unanswered(&self) -> impl Iterator<Item = Unanswered<'_>> {
        let suspects = self.suspects.iter().filter(|(_, suspect)| !suspect.is_acquitted());
        suspects.map(|(digest, suspect)| Unanswered {
            digest,
            crashes: suspect.instances.len(),
            last_crash: suspect.last_crash,
        })
    }

    /// The records of a request.
    pub fn records(&self, digest: &Digest, now: Instant) -> Vec<CrashRecord> {
        let suspect = self.suspects.get(digest).into_iter();
        let instances = suspect.flat_map(|suspect| &suspect.instances);
        let records = instances.filter_map(|instance| {
            let crash = self.crashes.get(instance)?;
            let (upstream, incarnation) = instance.clone();
            let ran = *crash.ran.get(digest)?;
            let age = now.saturating_duration_since(crash.at);
            Some(CrashRecord { digest: *digest, upstream, incarnation, ran, age })
        });
        records.collect()
    }

    /// The crashes that count for the rate of crashes at present, the newest first.
    pub fn recent_instances(&self, now: Instant) -> Vec<InstanceRecord> {
        let record = |(upstream, incarnation): &Instance, crash: &Crash| InstanceRecord {
            upstream: upstream.clone(),
            incarnation: *incarnation,
            age: now.saturating_duration_since(crash.at),
        };
        let mut recent: Vec<InstanceRecord> = self
            .crashes
            .iter()
            .map(|(instance, crash)| record(instance, crash))
            .filter(|record| record.age < RATE_WINDOW)
            .collect();
        recent.sort_by_key(|record| record.age);
        recent
    }

    /// The number of a request's crashes that may have had different causes.
    pub fn step_count(&self, digest: &Digest) -> usize {
        self.steps(digest).len()
    }

    /// The probability that a request's crashes are a coincidence; `None` if none of them counts.
    ///
    /// Its first crash makes it a suspect, with all requests that ran beside it; of one that is known for earlier crashes,
    /// the first one counts too. Each later crash counts if no other suspect ran there. The probability that such a crash is
    /// a coincidence is the rate of all other crashes times how long the request ran.
    pub fn coincidence(&self, digest: &Digest, is_known: bool, upstreams: usize) -> Option<f64> {
        let steps = self.steps(digest);
        let ambiguous = usize::from(!is_known);
        let relevant =
            steps.iter().skip(ambiguous).filter(|(_, crash)| self.is_only_suspect(digest, crash));
        let probabilities: Vec<f64> = relevant
            .map(|(instance, crash)| {
                self.coincidence_probability(digest, instance, crash, upstreams)
            })
            .collect();
        (!probabilities.is_empty()).then(|| probabilities.iter().product())
    }

    /// The same, where all crashes but the first count, whichever suspects ran there.
    pub fn coincidence_beside_others(&self, digest: &Digest, upstreams: usize) -> f64 {
        let steps = self.steps(digest);
        let probabilities = steps.iter().skip(1).map(|(instance, crash)| {
            self.coincidence_probability(digest, instance, crash, upstreams)
        });
        probabilities.product()
    }

    /// The crashes of a request that may have had different causes: the first one, and each that is a step of the request
    /// from one upstream to the next.
    ///
    /// A run that began before the last step's crash is a copy, and crashes of many upstreams at one moment have one cause.
    fn steps(&self, digest: &Digest) -> Vec<(&Instance, &Crash)> {
        let mut steps: Vec<(&Instance, &Crash)> = Vec::new();
        for (instance, crash) in self.crashes_of(digest) {
            let ran = crash.ran.get(digest).copied().unwrap_or_default();
            let is_first = steps.len() == 1;
            let is_step = steps.last().is_none_or(|(_, last)| {
                let is_copy = crash.at + MAX_SKEW < last.at + ran;
                // Later steps count even so: what goes on to crash upstreams in bursts is no victim.
                let is_victim = is_first && self.is_mass_crash(digest, last.at, crash.at);
                !is_copy && !is_victim
            });
            if is_step {
                steps.push((instance, crash));
            }
        }
        steps
    }

    /// Whether two crashes of a request are part of a mass crash, which also took upstreams that did not run it.
    fn is_mass_crash(&self, digest: &Digest, first: Instant, second: Instant) -> bool {
        if second >= first + MASS_TIME {
            return false;
        }
        let is_near =
            |crash: &&Crash| crash.at + MASS_TIME > second && crash.at < first + MASS_TIME;
        let near = self.crashes.values().filter(is_near);
        let (own, others): (Vec<_>, Vec<_>) =
            near.partition(|crash| crash.ran.contains_key(digest));
        own.len() >= MASS_CRASHES && !others.is_empty()
    }

    /// The crashes of upstreams that were running a request, the first one first.
    fn crashes_of(&self, digest: &Digest) -> Vec<(&Instance, &Crash)> {
        let suspect = self.suspects.get(digest).into_iter();
        let instances = suspect.flat_map(|suspect| &suspect.instances);
        let mut crashes: Vec<(&Instance, &Crash)> = instances
            .filter_map(|instance| Some((instance, self.crashes.get(instance)?)))
            .collect();
        crashes.sort_by_key(|(_, crash)| crash.at);
        crashes
    }

    /// Whether all others that ran there were answered since, or crashed nothing before.
    fn is_only_suspect(&self, digest: &Digest, crash: &Crash) -> bool {
        let suspected_before = |other: &Digest| {
            let suspect = self.suspects.get(other).filter(|suspect| !suspect.is_acquitted());
            let instances = suspect.into_iter().flat_map(|suspect| &suspect.instances);
            instances
                .filter_map(|instance| self.crashes.get(instance))
                .any(|earlier| earlier.at < crash.at)
        };
        crash.ran.keys().all(|other| other == digest || !suspected_before(other))
    }

    /// The probability that an upstream crashes for another reason during the time that a request ran there.
    ///
    /// The request's earlier crashes count among the others: if it is innocent, they had another cause.
    fn coincidence_probability(
        &self,
        digest: &Digest,
        instance: &Instance,
        crash: &Crash,
        upstreams: usize,
    ) -> f64 {
        let ran = crash.ran.get(digest).copied().unwrap_or_default().max(MIN_RUN);
        let near = |other: &Crash| {
            other.at + RATE_WINDOW >= crash.at && other.at <= crash.at + RATE_WINDOW
        };
        let others = self.crashes.iter().filter(|(other, crash)| *other != instance && near(crash));
        let own =
            others.clone().filter(|((upstream, _), _)| *upstream == instance.0).count() as f64;
        let rate =
            (others.count() as f64 / upstreams.max(1) as f64).max(own) / RATE_WINDOW.as_secs_f64();
        ((rate + BASELINE_RATE) * ran.as_secs_f64()).min(1.0)
    }
}
