//! Orders that an engine takes.

use serde::Deserialize;
use serde::Serialize;

/// What is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Task {
    /// Load a model, adapter or version.
    Load,
    /// Unload it.
    Unload,
    /// Change the role.
    Role,
}

/// An order, as it comes in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What is ordered.
    pub kind: Task,
    /// The model, or the role.
    pub model: String,
    /// The fencing number.
    pub fence: u64,
}
