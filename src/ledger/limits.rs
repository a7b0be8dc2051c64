//! How much a ledger keeps, and for how long.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::unit::Bytes;
use crate::unit::Milliseconds;

/// The bounds of one ledger. They go through its log, so that all replicas forget the same things.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// How long a key is kept after its start. A resend after that may run again, so callers must know it.
    #[serde_as(as = "Milliseconds")]
    pub keep_keys: Duration,
    /// How long an answer is kept after its request ended.
    #[serde_as(as = "Milliseconds")]
    pub keep_answers: Duration,
    /// How many answers are kept.
    pub answers: usize,
    /// How many bytes all kept answers may have.
    pub answer_bytes: Bytes,
    /// The largest answer that is kept.
    pub largest_answer: Bytes,
    /// How often one kept answer is given out.
    pub fetches: u32,
}

impl Default for Limits {
    /// Grounds: a batch job that stopped on a Friday resends on Monday (keys: three days), and one that lost an
    /// answer resends within the hour or two (answers: six hours). A ledger VM has 256 MB for control, of which
    /// answers may have a quarter. A transfer file of a mandate bundle is tens of kB. A caller that never gives up
    /// must not pull the same answer for ever: sixty-four times is one a minute for an hour.
    fn default() -> Self {
        Self {
            keep_keys: Duration::from_secs(3 * 24 * 60 * 60),
            keep_answers: Duration::from_secs(6 * 60 * 60),
            answers: 20_000,
            answer_bytes: Bytes::new(64 << 20),
            largest_answer: Bytes::new(256 << 10),
            fetches: 64,
        }
    }
}
