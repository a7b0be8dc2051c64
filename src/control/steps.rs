//! The steps of a replica to its seat.

use crate::consensus::Role;
use crate::group::Fetched;
use crate::group::Status;

/// A step that is logged once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Its role has changed; none if it is no member.
    Role(Option<Role>),
    /// A snapshot that it fetches has come this far.
    Fetch(Fetched),
}

/// How far a replica has come.
#[derive(Debug)]
pub(super) struct Steps {
    role: Option<Role>,
    fetch: Option<Fetched>,
    fetches: u64,
}

impl Steps {
    /// A replica as it starts.
    pub fn new(status: &Status) -> Self {
        Self { role: role(status), fetch: status.fetches.last, fetches: status.fetches.count }
    }

    /// The steps since the last look.
    pub fn observe(&mut self, status: &Status) -> Vec<Step> {
        let mut steps = Vec::new();
        let fetches = status.fetches;
        if fetches.last != self.fetch || fetches.count != self.fetches {
            steps.extend(fetches.last.map(Step::Fetch));
        }
        if role(status) != self.role {
            steps.push(Step::Role(role(status)));
        }
        *self = Self::new(status);
        steps
    }
}

fn role(status: &Status) -> Option<Role> {
    status.members.role(status.id)
}

#[cfg(test)]
pub(super) mod tests;
