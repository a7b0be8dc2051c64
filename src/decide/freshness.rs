//! How long a VM may act by its configuration without a proof that there is no newer one.
//!
//! **Load pattern.** An organisation takes a key away that was stolen. Some VMs are cut off from control, frozen, or follow a
//! control VM that stands on the wrong side of a partition; callers reach them all the same.
//!
//! **Without it.** They go on serving whoever shows the key, for as long as they hear nothing.
//!
//! **Decision.** A [`Proof`] says: at that moment, no configuration newer than that revision had been accepted. Proofs are
//! asked for, never sent unasked, so that no clocks of two VMs are compared: whoever asks notes when it asked, and is told how much
//! later than the arrival of its question the proof was made. Every error on the way makes a proof older. A leader makes
//! one only after a majority has confirmed it. A VM that holds the proof's revision acts on it for
//! [`usable`] time; then it refuses what depends on it, and says that nothing ran.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::unit::Version;

/// The part of the promised time for which a proof is used: the rest is for clocks that run at different speeds.
const USED: f64 = 0.95;

/// For how long a proof may be used where a change must be in force everywhere after `promised`.
pub fn usable(promised: Duration) -> Duration {
    promised.mul_f64(USED)
}

/// At that moment, no configuration newer than the revision had been accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The revision.
    pub revision: Version,
    /// The moment, by the clock of the VM that asked ([`clock::now`](crate::clock::now)).
    pub at: Instant,
}

/// A proof as it is told to a VM that asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The revision.
    pub revision: Version,
    /// Milliseconds from the arrival of the question to the moment of the proof; negative where the proof is older.
    pub lead_ms: i64,
}

impl Proof {
    /// What a VM is told whose question came at that moment.
    pub fn tell(&self, asked: Instant) -> Told {
        let lead_ms = match self.at.checked_duration_since(asked) {
            Some(later) => whole_millis(later),
            // Rounded up, so that the proof is told as older than it is.
            None => -whole_millis(asked - self.at) - 1,
        };
        Told { revision: self.revision, lead_ms }
    }

    /// The proof of an answer to a question that was sent at that moment; none where it tells an absurd time.
    pub fn of(told: Told, sent: Instant) -> Option<Self> {
        let lead = Duration::from_millis(told.lead_ms.unsigned_abs());
        let at = if told.lead_ms < 0 { sent.checked_sub(lead) } else { sent.checked_add(lead) };
        Some(Self { revision: told.revision, at: at? })
    }
}

fn whole_millis(span: Duration) -> i64 {
    i64::try_from(span.as_millis()).unwrap_or(i64::MAX - 1)
}

/// The newest proof that holds for what a VM has.
#[derive(Debug, Default)]
pub struct Freshness {
    proof: Option<Proof>,
}

impl Freshness {
    /// Takes a proof in. One about a revision that the VM doesn't hold yet proves nothing about what it holds, and one from
    /// the future is another process's error.
    pub fn take(&mut self, proof: Proof, held: Version, now: Instant) {
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

    /// Whether the newest proof is younger than that.
    pub fn is_within(&self, bound: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}

#[cfg(test)]
mod tests;
