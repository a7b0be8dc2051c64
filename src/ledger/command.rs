//! What goes through a ledger group's log.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Answer;
use super::Digest;
use super::Limits;
use super::Outcome;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Milliseconds;
use crate::unit::Version;

/// A command of a ledger's log.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Claim a key for one attempt, before anything of it leaves for an upstream.
    Start(Start),
    /// The attempt has ended.
    Finish(Finish),
    /// The answer to the attempt's `Start` was lost, and it must never be granted: only after this may the caller
    /// be told that nothing ran.
    Withdraw(Withdraw),
    /// The attempt was granted and surely reached no upstream, so another may start.
    Release(Step),
    /// A VM, up to this incarnation, is gone for good: what it was running is unknown from now on.
    Abandon {
        /// The VM.
        vm: id::Vm,
        /// The last of its incarnations that is gone.
        incarnation: Incarnation,
    },
    /// What is known of a key, asked of the ledger of a past home.
    Look(Look),
    /// So much time has passed on the leader's clock since it led, or since its last `Advance`.
    Advance {
        /// The time that passed; only ever added up, so no two VMs' clocks are compared.
        #[serde_as(as = "Milliseconds")]
        elapsed: Duration,
    },
    /// Other bounds from now on.
    Limit(Limits),
}

/// A claim of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Whose key it is.
    pub owner: id::Owner,
    /// The entry that the request names.
    pub entry: id::Entry,
    /// The key, as the caller sent it.
    pub key: id::Key,
    /// The digest of entry and body: the same key with another body is no resend.
    pub body: Digest,
    /// The attempt that is to run.
    pub attempt: id::Attempt,
    /// The VM that will run it.
    pub vm: id::Vm,
    /// That VM's incarnation.
    pub incarnation: Incarnation,
    /// The version with which this region became the entry's home, as that VM sees it (`Record::home_since`).
    pub home_since: Version,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Which attempt.
    pub step: Step,
    /// How it ended.
    pub outcome: Outcome,
    /// The whole answer, for resends; one that is too large isn't kept.
    pub answer: Option<Arc<Answer>>,
}

/// The end of a claim whose answer was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdraw {
    /// Which attempt.
    pub step: Step,
    /// The digest of entry and body, to tell the caller what other attempts of the same request have come to.
    pub body: Digest,
}

/// One attempt under one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Whose key it is.
    pub owner: id::Owner,
    /// The key.
    pub key: id::Key,
    /// The attempt.
    pub attempt: id::Attempt,
}

/// A question to the ledger of a region that was the entry's home, or may have been.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Look {
    /// Whose key it is.
    pub owner: id::Owner,
    /// The entry that the request names.
    pub entry: id::Entry,
    /// The key.
    pub key: id::Key,
    /// The digest of entry and body.
    pub body: Digest,
    /// The version with which the present home took over; older starts are refused here from now on.
    pub home_since: Version,
}
