//! One whole configuration.

use serde::Deserialize;
use serde::Serialize;

use super::Limits;
use super::Route;
use super::Service;
use crate::unit::Version;

/// Routes, services and limits under one number.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The operator's number; the highest one is in force.
    pub version: Version,
    /// The routes, in the operator's order.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// What a caller may send.
    pub limits: Limits,
}
