//! Criteria for selecting a region, and the decision.

use std::time::Duration;

use crate::catalogue::Home;
use crate::catalogue::Preference;
use crate::id;

/// The properties of a request that determine its region.
#[derive(Debug, Clone)]
pub struct Criteria<'a> {
    /// The home region.
    pub home: &'a Home,
    /// What to prefer when home is full.
    pub prefers: Preference,
    /// The model or service name.
    pub model: &'a id::Model,
    /// The predicted queueing delay in this region; `None` if no upstream here could run the
    /// request.
    pub wait: Option<Duration>,
    /// The expected service time.
    pub service_time: Duration,
    /// Additional service time without a cached prefix.
    pub cold_penalty: Duration,
    /// The time until the deadline.
    pub remaining: Duration,
    /// A hash of the prompt's prefix, or of the request if it has none.
    pub prefix_hash: u64,
    /// Whether the request was forwarded before.
    pub forward_state: ForwardState,
}

/// Whether a request was forwarded before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardState {
    /// Received from its caller, directly or through a proxy.
    Original,
    /// Forwarded by a VM of another region; it must not be forwarded again.
    Forwarded,
    /// Forwarded and refused by the other region; it stays.
    Rejected,
}

/// Where a request runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// In this region, subject to admission.
    Local,
    /// Forwarded to a VM of that region.
    Forward(id::Region),
    /// Bound to that region and must not pass through this one: the caller is redirected.
    Redirect(id::Region),
}
