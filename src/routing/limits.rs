//! What a caller may send, and how long it may take.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::unit::Milliseconds;

/// Bounds on callers' requests and connections.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: u64,
    /// The head of a request must arrive within this, and so must its body.
    #[serde_as(as = "Milliseconds")]
    pub head_time: Duration,
    /// A connection without a request is closed after this.
    #[serde_as(as = "Milliseconds")]
    pub idle_time: Duration,
}

/// What holds before an operator has said anything: common defaults of HTTP servers.
impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
