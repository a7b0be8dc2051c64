//! Why a change can't be accepted at all.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Content that the system couldn't keep its promises for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invalid {
    /// An entry whose requests may not repeat needs a home region, whose ledger decides.
    #[error("requests that may not repeat need a home region")]
    HomeMissing,
}
