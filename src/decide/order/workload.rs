//! Workloads, engines and the steps that move one to the other.

use std::collections::BTreeSet;

use crate::id;
use crate::unit::Bytes;
use crate::unit::Slots;
use crate::upstream::Role;

/// A model, and the phase of its requests that is run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Workload {
    /// The model.
    pub model: id::Model,
    /// The role.
    pub role: Role,
}

impl Workload {
    /// Whole requests for a model.
    pub fn new(model: id::Model) -> Self {
        Self { model, role: Role::Mixed }
    }

    /// The same model in another role.
    #[must_use]
    pub fn with_role(self, role: Role) -> Self {
        Self { role, ..self }
    }
}

/// An engine, as of its last announcement and load report.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The engine.
    pub id: id::Upstream,
    /// Its slots.
    pub slots: Slots,
    /// The models that it holds.
    pub models: BTreeSet<id::Model>,
    /// Its role.
    pub role: Role,
    /// How many models it can hold at once.
    pub max_models: usize,
    /// Requests running on it, from all VMs.
    pub running: u32,
}

impl Engine {
    /// Whether it serves the workload.
    pub fn serves(&self, workload: &Workload) -> bool {
        self.role == workload.role && self.models.contains(&workload.model)
    }

    /// Its slots, divided evenly among its models.
    pub fn slots_per_model(&self) -> f64 {
        self.slots.get() as f64 / self.models.len().max(1) as f64
    }
}

/// A command to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Load a model, after unloading another one if there is no room for both.
    Load {
        /// The model to load.
        model: id::Model,
        /// The model to unload first.
        unload: Option<id::Model>,
        /// The size of the weights to load.
        size: Bytes,
    },
    /// Change role; the models stay loaded.
    ChangeRole {
        /// The new role.
        role: Role,
    },
}

/// A step in moving an engine to another workload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Stop sending it new requests; running ones finish first.
    Drain(id::Upstream),
    /// Send it requests again; the move has finished or was given up.
    Resume(id::Upstream),
    /// Send it the command; nothing runs on it.
    Command(id::Upstream, Action),
}
