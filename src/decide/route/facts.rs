//! What a choice of upstream rests on, and how an attempt ended.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::catalogue::Class;
use crate::id;
use crate::upstream::Announcement;
use crate::upstream::Kind;
use crate::upstream::Role;

/// What must be known of a request to choose its upstream.
#[derive(Debug, Clone)]
pub struct Facts<'a> {
    /// What it needs to run on.
    pub kind: Kind,
    /// The model that it names, or the service's name.
    pub model: &'a id::Model,
    /// The adapter that it names.
    pub adapter: Option<&'a id::Model>,
    /// The version that it names.
    pub version: Option<&'a id::Model>,
    /// Which part of it is to be run.
    pub role: Role,
    /// Its class of work; latencies are only compared within one class.
    pub class: Class,
    /// Digests of its prompt's prefixes, the shortest first; empty where there is nothing to reuse.
    pub prefix: &'a [u64],
    /// Upstreams that failed it already, which are not chosen again.
    pub avoid: &'a [id::Upstream],
    /// How much longer it may wait for a slot where its prefix is, rather than run at once where it isn't.
    pub patience: Duration,
}

impl<'a> Facts<'a> {
    /// A whole request of that class for an engine that holds the model.
    pub fn new(model: &'a id::Model, class: Class) -> Self {
        Self {
            kind: Kind::Engine,
            model,
            adapter: None,
            version: None,
            role: Role::Mixed,
            class,
            prefix: &[],
            avoid: &[],
            patience: Duration::ZERO,
        }
    }

    /// The same, for plain services.
    #[must_use]
    pub fn with_kind(self, kind: Kind) -> Self {
        Self { kind, ..self }
    }

    /// The same, with the digests of its prompt's prefixes.
    #[must_use]
    pub fn with_prefix(self, prefix: &'a [u64]) -> Self {
        Self { prefix, ..self }
    }

    /// The same, keeping off upstreams that failed it already.
    #[must_use]
    pub fn with_avoid(self, avoid: &'a [id::Upstream]) -> Self {
        Self { avoid, ..self }
    }

    /// The same, willing to wait that much longer for a slot where its prefix is. None may be picked then although
    /// there is room; the next pick must come with less patience.
    #[must_use]
    pub fn with_patience(self, patience: Duration) -> Self {
        Self { patience, ..self }
    }

    /// Whether the upstream can run the request at all.
    pub fn fits(&self, upstream: &Announcement) -> bool {
        let holds = |wanted: Option<&id::Model>, held: &BTreeSet<id::Model>| {
            wanted.is_none_or(|wanted| held.contains(wanted))
        };
        self.kind == upstream.kind
            && self.role == upstream.role
            && upstream.models.contains(self.model)
            && holds(self.adapter, &upstream.adapters)
            && holds(self.version, &upstream.versions)
            && !self.avoid.contains(&upstream.id)
    }
}

/// How an attempt ended, as far as it says something about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered whole.
    Answered,
    /// It failed, broke off or kept silent.
    Failed,
    /// It refused because it is full.
    Full,
    /// The caller went away or the attempt was no longer needed; it says nothing about the upstream.
    Cancelled,
}
