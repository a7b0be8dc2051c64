//! One whole configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Limits;
use super::Organisation;
use super::Route;
use super::Service;
use crate::id;
use crate::unit::Version;

/// Routes, services, organisations and limits under one number.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The operator's number; the highest one is in force.
    pub version: Version,
    /// The routes, in the operator's order.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// The organisations whose callers are served; none where it is not asked who calls.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<Organisation>>,
    /// What a caller may send.
    pub limits: Limits,
}

impl Document {
    /// The regions that may serve most of the host's routes that are bound; empty where none is. Routes of one host may be
    /// bound to different regions, and an answer of the directory holds for all of them.
    pub fn homes(&self, host: &str) -> BTreeSet<id::Region> {
        homes(self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host)))
    }
}

/// The regions that may serve most of these routes that are bound; empty where none is.
pub fn homes<'a>(routes: impl Iterator<Item = &'a Route>) -> BTreeSet<id::Region> {
    let mut counts: BTreeMap<&id::Region, usize> = BTreeMap::new();
    for region in routes.flat_map(|route| &route.homes) {
        *counts.entry(region).or_default() += 1;
    }
    let most = counts.values().copied().max();
    let best = counts.into_iter().filter(|(_, count)| Some(*count) == most);
    best.map(|(region, _)| region.clone()).collect()
}

#[cfg(test)]
mod tests;
