//! What changed between two versions of the catalogue.

use serde::Deserialize;
use serde::Serialize;

use super::Record;
use crate::unit::Version;

/// All that changed after `from` and up to `to`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the receiver must have at least; zero with `whole`.
    pub from: Version,
    /// The version that the receiver has afterwards.
    pub to: Version,
    /// Traces of deleted names at or before this version are forgotten.
    pub forgotten: Version,
    /// Whether this is the whole catalogue, so that names not listed are gone.
    pub whole: bool,
    /// The names that changed, each as it stands at `to`.
    pub records: Vec<Record>,
}
