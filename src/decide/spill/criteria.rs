//! What the choice of a region rests on, and the choice.

use std::time::Duration;

use crate::catalogue::Home;
use crate::catalogue::Preference;
use crate::id;

/// What must be known of a request to choose its region.
#[derive(Debug, Clone)]
pub struct Facts<'a> {
    /// Where it belongs.
    pub home: &'a Home,
    /// What matters more when home is full.
    pub prefers: Preference,
    /// The model or service that it needs.
    pub model: &'a id::Model,
    /// The predicted wait in this region; none where no upstream here could run it.
    pub wait: Option<Duration>,
    /// The time that it is expected to run.
    pub service: Duration,
    /// How much longer it runs where its prompt's prefix isn't cached.
    pub cold: Duration,
    /// The time left until its deadline.
    pub left: Duration,
    /// A hash of its prompt's prefix, or of the request where there is none.
    pub prefix: u64,
    /// Where it has been already.
    pub journey: Journey,
}

/// Where a request has been already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Journey {
    /// It came from its caller, or through a foreign proxy.
    Fresh,
    /// A VM of another region handed it over: it is run here or refused, and never handed on.
    HandedOver,
    /// It was handed to another region and refused there: it stays.
    Refused,
}

/// Where a request is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// In this region: it is queued or refused by admission.
    Stay,
    /// It is handed to a VM of that region.
    HandOver(id::Region),
    /// It is bound to that region and may not pass through here: its caller is told to go there.
    Redirect(id::Region),
}
