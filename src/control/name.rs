//! Names of the groups of replicas.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id;

/// A group of replicas.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Name {
    /// The catalogue of the whole site.
    Catalogue,
    /// The ledger of a region.
    Ledger(id::Region),
    /// Whole configurations and evacuated data centres, of a fleet that finds itself.
    Routing,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Catalogue => f.write_str("catalogue"),
            Self::Ledger(region) => write!(f, "ledger-{region}"),
            Self::Routing => f.write_str("routing"),
        }
    }
}
