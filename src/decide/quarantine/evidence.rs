//! Deaths of upstreams, and which requests ran there.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::quarantine::Charge;
use crate::decide::quarantine::Digest;
use crate::id;
use crate::unit::Incarnation;

/// How long a death counts. Derived: callers that never give up resend within a minute; ten allow for an upstream
/// set that takes minutes to come back.
const MEMORY: Duration = Duration::from_secs(600);

/// The span over which ordinary deaths are counted.
const AMBIENT: Duration = Duration::from_secs(60);

/// The chance, at most, that ordinary deaths alone explain what a request is charged with.
///
/// Measured (docs/MEASUREMENTS.md, quarantine): the share of innocent requests that a crash burst convicts.
const DOUBT: f64 = 0.002;

/// The rate at which any upstream may crash by itself, however quiet the last minute was: once an hour.
const BACKGROUND: f64 = 1.0 / 3_600.0;

/// One life of an upstream that ended.
type Life = (id::Upstream, Incarnation);

/// The end of one life.
#[derive(Debug)]
struct Death {
    at: Instant,
    ran: BTreeMap<Digest, Duration>,
}

/// All deaths that still count.
#[derive(Debug, Default)]
pub struct Evidence {
    deaths: HashMap<Life, Death>,
    by_digest: HashMap<Digest, Vec<Life>>,
}

impl Evidence {
    /// Takes a charge in.
    pub fn add(&mut self, charge: &Charge, now: Instant) {
        let at = now.checked_sub(charge.age).unwrap_or(now);
        let life = (charge.upstream.clone(), charge.incarnation);
        let death =
            self.deaths.entry(life.clone()).or_insert_with(|| Death { at, ran: BTreeMap::new() });
        if death.ran.insert(charge.digest, charge.ran).is_none() {
            self.by_digest.entry(charge.digest).or_default().push(life);
        }
    }

    /// Forgets what a request is charged with.
    pub fn clear(&mut self, digest: &Digest) {
        for life in self.by_digest.remove(digest).unwrap_or_default() {
            if let Some(death) = self.deaths.get_mut(&life) {
                death.ran.remove(digest);
            }
        }
    }

    /// Forgets deaths that no longer count.
    pub fn expire(&mut self, now: Instant) {
        let old = |death: &Death| now >= death.at + MEMORY;
        let lives: Vec<Life> = self
            .deaths
            .iter()
            .filter(|(_, death)| old(death))
            .map(|(life, _)| life.clone())
            .collect();
        for life in lives {
            let Some(death) = self.deaths.remove(&life) else { continue };
            for digest in death.ran.keys() {
                let Some(own) = self.by_digest.get_mut(digest) else { continue };
                own.retain(|other| *other != life);
                if own.is_empty() {
                    self.by_digest.remove(digest);
                }
            }
        }
    }

    /// The upstreams that died under a request.
    pub fn upstreams(&self, digest: &Digest) -> impl Iterator<Item = &id::Upstream> {
        self.by_digest.get(digest).into_iter().flatten().map(|(upstream, _)| upstream)
    }

    /// Whether a request is charged with anything.
    pub fn is_suspect(&self, digest: &Digest) -> bool {
        self.by_digest.contains_key(digest)
    }

    /// All charges, for a VM that has just started.
    pub fn charges(&self, now: Instant) -> Vec<Charge> {
        let charge = |(upstream, incarnation): &Life,
                      death: &Death,
                      digest: &Digest,
                      ran: Duration| Charge {
            digest: *digest,
            upstream: upstream.clone(),
            incarnation: *incarnation,
            ran,
            age: now.saturating_duration_since(death.at),
        };
        let deaths = self.deaths.iter();
        deaths
            .flat_map(|(life, death)| {
                death.ran.iter().map(move |(digest, &ran)| charge(life, death, digest, ran))
            })
            .collect()
    }

    /// Whether a request must be what the upstreams die of.
    ///
    /// Its first death makes it a suspect, together with all that ran beside it. Each later death under it counts
    /// if no other suspect ran there. The chance that such a death came by itself is the rate of all other deaths
    /// times how long it ran; the product over its deaths must leave no reasonable doubt.
    pub fn convicts(&self, digest: &Digest, upstreams: usize) -> bool {
        let Some(lives) = self.by_digest.get(digest) else { return false };
        let mut deaths: Vec<(&Life, &Death)> =
            lives.iter().filter_map(|life| Some((life, self.deaths.get(life)?))).collect();
        deaths.sort_by_key(|(_, death)| death.at);
        let telling =
            deaths.iter().skip(1).filter(|(_, death)| self.is_only_suspect(digest, death));
        let chances: Vec<f64> =
            telling.map(|(life, death)| self.chance(digest, life, death, upstreams)).collect();
        !chances.is_empty() && chances.iter().product::<f64>() <= DOUBT
    }

    fn is_only_suspect(&self, digest: &Digest, death: &Death) -> bool {
        let suspected_before = |other: &Digest| {
            let lives = self.by_digest.get(other).into_iter().flatten();
            lives.filter_map(|life| self.deaths.get(life)).any(|earlier| earlier.at < death.at)
        };
        death.ran.keys().all(|other| other == digest || !suspected_before(other))
    }

    /// The chance that an upstream dies by itself within the time that a request ran there.
    ///
    /// Earlier deaths under the request count among the others: if it is innocent, they were ordinary ones.
    fn chance(&self, digest: &Digest, life: &Life, death: &Death, upstreams: usize) -> f64 {
        let ran = death.ran.get(digest).copied().unwrap_or_default();
        let near = |other: &Death| other.at + AMBIENT >= death.at && other.at <= death.at + AMBIENT;
        let others = self.deaths.iter().filter(|(other, death)| *other != life && near(death));
        let own = others.clone().filter(|((upstream, _), _)| *upstream == life.0).count() as f64;
        let rate =
            (others.count() as f64 / upstreams.max(1) as f64).max(own) / AMBIENT.as_secs_f64();
        ((rate + BACKGROUND) * ran.as_secs_f64()).min(1.0)
    }
}
