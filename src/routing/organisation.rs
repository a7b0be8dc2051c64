//! One organisation whose callers send requests: its keys, its rank, its homes and what it may ask for.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Credential;
use crate::id;
use crate::unit::Rate;
use crate::unit::Tokens;

/// One organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name, which upstreams are told.
    pub name: id::Owner,
    /// The keys that its callers may show; without any, none of its requests is served.
    pub credentials: Vec<Credential>,
    /// The rank of its requests; that of their route where there is none.
    pub rank: Option<u8>,
    /// The regions that may serve, store and cache its requests; empty means all.
    pub homes: BTreeSet<id::Region>,
    /// What it may ask for, over all VMs; none means any amount.
    pub allowance: Option<Allowance>,
}

/// How much an organisation may ask for, over all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Units a second.
    pub rate: Rate,
    /// Units that may be asked for at once besides.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// What an allowance counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Each request is one.
    Requests,
    /// A request is the tokens that it states, read and generated.
    Tokens {
        /// The tokens of a request that states none.
        plain: Tokens,
    },
}

impl Organisation {
    /// Whether the region may serve its requests.
    pub fn allows(&self, region: &id::Region) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }
}

impl Unit {
    /// What a request counts that states so many tokens, or none.
    pub fn cost(self, stated: Option<Tokens>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { plain } => stated.unwrap_or(plain).get(),
        }
    }
}
