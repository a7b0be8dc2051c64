//! One service: upstreams that are copies of each other.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::unit::Rate;
use crate::unit::Slots;
use crate::unit::Tokens;

/// What holds for all upstreams of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The connections that one upstream accepts from all VMs together.
    pub connections: u32,
    /// How long an upstream stays cold after its start.
    pub cold_time: Duration,
    /// The requests a second that a cold upstream bears from all VMs together; none means any number.
    pub cold_rate: Option<Rate>,
    /// What its model engines can do; none for a plain service.
    pub engine: Option<Engine>,
}

/// The engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The requests that run at once.
    pub slots: Slots,
    /// The memory that running requests and cached parts of prompts share.
    pub memory: Tokens,
}
