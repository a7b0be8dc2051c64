//! How long a VM may act on its configuration without a proof that it is the newest one.
//!
//! A VM that is partitioned, paused, or follows a control VM in the minority would otherwise keep accepting a revoked key.
//!
//! A [`Proof`] states that at some moment no configuration newer than a revision had been accepted. A leader makes one
//! only after a majority has confirmed it. Clocks of different VMs aren't compared: a VM that requests a proof notes when
//! it did, and the answer gives the time of the proof relative to the arrival of the request. Any delay makes the proof
//! look older, never younger. A VM that holds the proof's revision acts on it for up to [`max_proof_age`]; after that it
//! refuses requests that depend on it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::unit::Version;

/// The fraction of the promised time for which a proof may be used; the rest allows for clock drift.
const MAX_AGE_FRACTION: f64 = 0.95;

/// The maximum age of a proof, if a change must be in force everywhere after `promised`.
pub fn max_proof_age(promised: Duration) -> Duration {
    promised.mul_f64(MAX_AGE_FRACTION)
}

/// States that at a moment no configuration newer than a revision had been accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The revision.
    pub revision: Version,
    /// The moment, by the clock of the VM that requested the proof ([`clock::now`](crate::clock::now)).
    pub at: Instant,
}

/// A proof as sent to the VM that requested it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofMessage {
    /// The revision.
    pub revision: Version,
    /// Milliseconds from the arrival of the request to the moment of the proof; negative if the proof is older.
    pub lead_ms: i64,
}

impl Proof {
    /// The message that answers a request which arrived at that moment.
    pub fn to_message(&self, requested: Instant) -> ProofMessage {
        let lead_ms = match self.at.checked_duration_since(requested) {
            Some(later) => to_millis(later),
            // Rounded so that the proof never looks younger than it is.
            None => -to_millis(requested - self.at) - 1,
        };
        ProofMessage { revision: self.revision, lead_ms }
    }

    /// The proof in the answer to a request sent at that moment, or `None` if its time can't be represented.
    pub fn from_message(message: ProofMessage, sent: Instant) -> Option<Self> {
        let lead = Duration::from_millis(message.lead_ms.unsigned_abs());
        let at = if message.lead_ms < 0 { sent.checked_sub(lead) } else { sent.checked_add(lead) };
        Some(Self { revision: message.revision, at: at? })
    }
}

fn to_millis(span: Duration) -> i64 {
    i64::try_from(span.as_millis()).unwrap_or(i64::MAX - 1)
}

/// The newest proof that applies to the configuration a VM holds.
#[derive(Debug, Default)]
pub struct Freshness {
    proof: Option<Proof>,
}

impl Freshness {
    /// Records a proof if it is newer than the known one. Ignores proofs of revisions that the VM doesn't hold yet, and
    /// proofs from the future, which are errors of another process.
    pub fn observe(&mut self, proof: Proof, held: Version, now: Instant) {
        let is_newer = self.proof.is_none_or(|known| proof.at > known.at);
        if proof.revision <= held && proof.at <= now && is_newer {
            self.proof = Some(proof);
        }
    }

    /// The newest proof.
    pub const fn proof(&self) -> Option<Proof> {
        self.proof
    }

    /// The age of the newest proof.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proof.map(|proof| now.saturating_duration_since(proof.at))
    }

    /// Whether the newest proof is younger than `bound`.
    pub fn is_within(&self, bound: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}

#[cfg(test)]
mod tests;
