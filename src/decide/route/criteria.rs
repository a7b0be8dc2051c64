//! Routing criteria of a request and the outcome of an attempt.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::catalogue::Class;
use crate::id;
use crate::upstream::Announcement;
use crate::upstream::Kind;
use crate::upstream::Role;

/// The properties of a request that determine its upstream.
#[derive(Debug, Clone)]
pub struct Criteria<'a> {
    /// The kind of upstream required.
    pub kind: Kind,
    /// The model or service name.
    pub model: &'a id::Model,
    /// The adapter, if requested.
    pub adapter: Option<&'a id::Model>,
    /// The model version, if requested.
    pub version: Option<&'a id::Model>,
    /// The part of the request to run.
    pub role: Role,
    /// The class of work; latencies are compared only within a class.
    pub class: Class,
    /// Digests of the prompt's prefixes, shortest first; empty if nothing can be reused.
    pub prefix: &'a [u64],
    /// Upstreams that already failed the request and must not be picked again.
    pub excluded: &'a [id::Upstream],
    /// How long the request may still wait for a slot at an upstream that holds its prefix.
    pub affinity_wait: Duration,
}

impl<'a> Criteria<'a> {
    /// Criteria for a whole request of that class on an engine with the model.
    pub fn new(model: &'a id::Model, class: Class) -> Self {
        Self {
            kind: Kind::Engine,
            model,
            adapter: None,
            version: None,
            role: Role::Mixed,
            class,
            prefix: &[],
            excluded: &[],
            affinity_wait: Duration::ZERO,
        }
    }

    /// Sets the kind of upstream.
    #[must_use]
    pub fn with_kind(self, kind: Kind) -> Self {
        Self { kind, ..self }
    }

    /// Sets the digests of the prompt's prefixes.
    #[must_use]
    pub fn with_prefix(self, prefix: &'a [u64]) -> Self {
        Self { prefix, ..self }
    }

    /// Sets the upstreams to exclude.
    #[must_use]
    pub fn with_excluded(self, excluded: &'a [id::Upstream]) -> Self {
        Self { excluded, ..self }
    }

    /// Sets how long the request may wait for an upstream that holds its prefix. A pick may then
    /// return `None` although other upstreams have room; callers must reduce the wait before the
    /// next pick.
    #[must_use]
    pub fn with_affinity_wait(self, affinity_wait: Duration) -> Self {
        Self { affinity_wait, ..self }
    }

    /// Whether the upstream is able to run the request.
    pub fn matches(&self, upstream: &Announcement) -> bool {
        let holds = |wanted: Option<&id::Model>, held: &BTreeSet<id::Model>| {
            wanted.is_none_or(|wanted| held.contains(wanted))
        };
        self.kind == upstream.kind
            && self.role == upstream.role
            && upstream.models.contains(self.model)
            && holds(self.adapter, &upstream.adapters)
            && holds(self.version, &upstream.versions)
            && !self.excluded.contains(&upstream.id)
    }
}

/// The outcome of an attempt, as far as it reflects on the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered in full.
    Answered,
    /// It failed, broke off or timed out.
    Failed,
    /// It refused because it is full.
    Full,
    /// The caller left or the attempt was no longer needed; says nothing about the upstream.
    Cancelled,
}
