//! One whole configuration.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Limits;
use super::Route;
use super::Service;
use crate::id;
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

impl Document {
    /// The regions that may serve every route of the host; empty where no route is bound, or none of them fits all.
    pub fn homes(&self, host: &str) -> BTreeSet<id::Region> {
        let bound =
            self.routes.iter().filter(|route| route.host == host && !route.homes.is_empty());
        let homes = bound.map(|route| route.homes.clone());
        homes.reduce(|all, homes| all.intersection(&homes).cloned().collect()).unwrap_or_default()
    }
}
