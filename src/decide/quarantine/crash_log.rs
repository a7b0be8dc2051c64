//! Crashes of upstreams, and the requests that ran there.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::quarantine::CrashRecord;
use crate::decide::quarantine::Digest;
use crate::id;
use crate::unit::Incarnation;

/// How long a crash is remembered: long enough for resends after an outage of some minutes.
const RETENTION: Duration = Duration::from_secs(600);

/// The window on either side of a crash within which other crashes are counted.
const RATE_WINDOW: Duration = Duration::from_secs(60);

/// The probability below which coincidence is ruled out as the explanation of a request's crashes
/// (see docs/MEASUREMENTS.md, quarantine).
const MAX_COINCIDENCE: f64 = 0.002;

/// The minimum crash rate assumed for any upstream: once an hour.
const BASELINE_RATE: f64 = 1.0 / 3_600.0;

/// One instance of an upstream, from its start to its crash.
type Instance = (id::Upstream, Incarnation);

/// The crash of one instance.
#[derive(Debug)]
struct Crash {
    at: Instant,
    ran: BTreeMap<Digest, Duration>,
}

/// The recent crashes.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: HashMap<Instance, Crash>,
    by_digest: HashMap<Digest, Vec<Instance>>,
}

impl CrashLog {
    /// Adds a record.
    pub fn add(&mut self, record: &CrashRecord, now: Instant) {
        let at = now.checked_sub(record.age).unwrap_or(now);
        let instance = (record.upstream.clone(), record.incarnation);
        let crash = self
            .crashes
            .entry(instance.clone())
            .or_insert_with(|| Crash { at, ran: BTreeMap::new() });
        if crash.ran.insert(record.digest, record.ran).is_none() {
            self.by_digest.entry(record.digest).or_default().push(instance);
        }
    }

    /// Removes a request from all crashes.
    pub fn clear(&mut self, digest: &Digest) {
        for instance in self.by_digest.remove(digest).unwrap_or_default() {
            if let Some(crash) = self.crashes.get_mut(&instance) {
                crash.ran.remove(digest);
            }
        }
    }

    /// Removes crashes older than the retention time.
    pub fn expire(&mut self, now: Instant) {
        let old = |crash: &Crash| now >= crash.at + RETENTION;
        let instances: Vec<Instance> = self
            .crashes
            .iter()
            .filter(|(_, crash)| old(crash))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in instances {
            let Some(crash) = self.crashes.remove(&instance) else { continue };
            for digest in crash.ran.keys() {
                let Some(own) = self.by_digest.get_mut(digest) else { continue };
                own.retain(|other| *other != instance);
                if own.is_empty() {
                    self.by_digest.remove(digest);
                }
            }
        }
    }

    /// The upstreams that crashed while running a request.
    pub fn upstreams(&self, digest: &Digest) -> impl Iterator<Item = &id::Upstream> {
        self.by_digest.get(digest).into_iter().flatten().map(|(upstream, _)| upstream)
    }

    /// Whether any upstream crashed while running a request.
    pub fn is_suspect(&self, digest: &Digest) -> bool {
        self.by_digest.contains_key(digest)
    }

    /// All records, for a VM that has just started.
    pub fn crashes(&self, now: Instant) -> Vec<CrashRecord> {
        let record = |(upstream, incarnation): &Instance,
                      crash: &Crash,
                      digest: &Digest,
                      ran: Duration| CrashRecord {
            digest: *digest,
            upstream: upstream.clone(),
            incarnation: *incarnation,
            ran,
            age: now.saturating_duration_since(crash.at),
        };
        let crashes = self.crashes.iter();
        crashes
            .flat_map(|(instance, crash)| {
                crash.ran.iter().map(move |(digest, &ran)| record(instance, crash, digest, ran))
            })
            .collect()
    }

    /// Whether a request causes the crashes.
    ///
    /// Its first crash makes it a suspect, with all requests that ran beside it. Each later crash counts if no other
    /// suspect ran there. The probability that such a crash is a coincidence is the rate of all other crashes times how
    /// long the request ran; the product over its crashes must be at most [`MAX_COINCIDENCE`].
    pub fn is_culprit(&self, digest: &Digest, upstreams: usize) -> bool {
        let Some(instances) = self.by_digest.get(digest) else { return false };
        let mut crashes: Vec<(&Instance, &Crash)> = instances
            .iter()
            .filter_map(|instance| Some((instance, self.crashes.get(instance)?)))
            .collect();
        crashes.sort_by_key(|(_, crash)| crash.at);
        let relevant =
            crashes.iter().skip(1).filter(|(_, crash)| self.is_only_suspect(digest, crash));
        let probabilities: Vec<f64> = relevant
            .map(|(instance, crash)| {
                self.coincidence_probability(digest, instance, crash, upstreams)
            })
            .collect();
        !probabilities.is_empty() && probabilities.iter().product::<f64>() <= MAX_COINCIDENCE
    }

    fn is_only_suspect(&self, digest: &Digest, crash: &Crash) -> bool {
        let suspected_before = |other: &Digest| {
            let instances = self.by_digest.get(other).into_iter().flatten();
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
        let ran = crash.ran.get(digest).copied().unwrap_or_default();
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
