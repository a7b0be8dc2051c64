//! Evidence of whether a failed attempt ran, and what may be reported and retried on it.

use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Repeat;

/// What is known of an attempt that ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// Nothing was sent to an upstream.
    NothingSent,
    /// The upstream reported that the attempt did not run.
    SaidNotRun,
    /// The ledger was asked to record its start, and whether it did is unknown.
    ClaimUnsure,
    /// Part or all of the request was sent, and no answer came.
    BytesSent,
    /// The answer was cut off; none of it was sent to the caller.
    AnswerBegun,
    /// The answer was cut off after part of it was sent to the caller.
    PassedOn,
}

/// Whether a request ran, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It did not run.
    No,
    /// It may have run.
    Unknown,
}

impl Evidence {
    /// Whether the attempt surely did not run.
    pub fn is_surely_not_run(self) -> bool {
        match self {
            Self::NothingSent | Self::SaidNotRun => true,
            Self::ClaimUnsure | Self::BytesSent | Self::AnswerBegun | Self::PassedOn => false,
        }
    }

    /// Whether another attempt may be made. One that may have run is repeated only if the request allows it, and never
    /// after the caller has received part of an answer. Whether an uncertain claim was recorded only the ledger can
    /// tell.
    pub fn may_repeat(self, repeat: Repeat) -> bool {
        match self {
            Self::NothingSent | Self::SaidNotRun => true,
            Self::BytesSent | Self::AnswerBegun => repeat == Repeat::Allowed,
            Self::ClaimUnsure | Self::PassedOn => false,
        }
    }
}

impl Ran {
    /// What to report after these attempts: `No` only if none of them can have run. All code that reports this must use
    /// this function.
    pub fn after(attempts: &[Evidence]) -> Self {
        let none = attempts.iter().all(|evidence| evidence.is_surely_not_run());
        if none { Self::No } else { Self::Unknown }
    }
}
