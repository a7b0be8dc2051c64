//! Restrictions that upstreams state in their responses.
//!
//! **Load pattern.** An engine runs short of something that its load does not show. It still answers, and states with
//! each answer how many requests a second it takes from all VMs together. Another upstream is about to stop; its
//! check-in reaches a control VM on the minority side of a partition, and none of the VMs that follow the others. A
//! third one refuses each request at once and asks for a pause. A fourth one crashes if it has to refuse many requests.
//!
//! **Without it.** The engine answers as fast as before, so placement sends it as much as before, and more if its
//! neighbours are busier. VMs that receive from each answer of the other upstream that it is draining send it requests
//! until it is gone. The third one looks idle and is sent more than before, and so does the fourth until it crashes.
//!
//! **Decision.** The head of each response is decoded once into a [`Feedback`]. The [`Restrictions`] of an upstream
//! hold what it stated, until it restarts, and placement obeys them before it compares costs. VMs pass it on to the
//! others of their region by [`sharing`](super::sharing), and take [turns](super::turns) under a limit.

mod backoff;
mod change;
mod limit;
mod notice;
mod pace;
mod refusal_limit;
mod reported;
mod restrictions;

use std::time::Duration;

use crate::unit::Rate;

pub use backoff::Backoff;
pub use change::Change;
pub use change::Event;
pub use limit::Limit;
pub use notice::RateNotice;
pub use refusal_limit::RefusalLimit;
pub use restrictions::Restrictions;

/// A value that a response may state.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Statement<T> {
    /// The response does not state it.
    #[default]
    Absent,
    /// The response states something that is not a valid value: its text, possibly shortened.
    Invalid(String),
    /// The value.
    Value(T),
}

impl<T> Statement<T> {
    /// The text of an invalid value.
    pub fn invalid(&self) -> Option<&str> {
        match self {
            Self::Invalid(text) => Some(text),
            Self::Absent | Self::Value(_) => None,
        }
    }
}

/// What an upstream states about itself in the head of a response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Feedback {
    /// Whether the response refuses the request. It may then lack what answers state.
    pub is_refusal: bool,
    /// The requests that it takes from all VMs together, for as long as it states this.
    pub rate_limit: Statement<Rate>,
    /// The requests a second that it can refuse for want of room; with more of them it crashes.
    pub refusal_limit: Statement<Rate>,
    /// Whether it is about to stop and wants no new requests.
    pub draining: Statement<bool>,
    /// For how long it wants no requests from this VM.
    pub backoff: Statement<Duration>,
}

/// How this VM knows of a restriction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Source {
    /// A response that this VM received.
    #[default]
    Response,
    /// The roster of the control VMs.
    Roster,
    /// Another VM of the region.
    Vm,
}

impl Source {
    /// The name for the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Roster => "roster",
            Self::Vm => "vm",
        }
    }
}

#[cfg(test)]
mod tests;
