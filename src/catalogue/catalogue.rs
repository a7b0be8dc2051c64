//! The deterministic state machine of the catalogue group.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Change;
use super::Command;
use super::Record;
use super::Reply;
use super::View;
use super::operations::Operations;
use crate::unit::Milliseconds;
use crate::unit::Version;

/// How long a past home is listed: the ledger keeps keys for three days, and a day more covers the time that
/// two leaders' counts may differ by.
pub(super) const PAST_HOME_TIME: Duration = Duration::from_secs(4 * 24 * 60 * 60);

/// Deleted names that are remembered, so that deltas can tell deletions; whoever is behind them gets everything.
pub(super) const TRACES_KEPT: usize = 4096;

/// All entries with their versions, and the answers to past operations.
///
/// The same commands in the same order give the same catalogue on every replica.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    view: View,
    operations: Operations,
    #[serde_as(as = "Milliseconds")]
    now: Duration,
}

impl Catalogue {
    /// Carries a committed command out.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Change(change) => self.change(change),
            Command::Advance { elapsed } => self.advance(*elapsed),
        }
    }

    /// The content, from which subscribers get their deltas.
    pub const fn view(&self) -> &View {
        &self.view
    }

    fn change(&mut self, change: &Change) -> Reply {
        if let Some(reply) = self.operations.recall(change) {
            return reply;
        }
        if let Err(invalid) = change.edit.check() {
            return Reply::Invalid(invalid);
        }
        let reply = self.decide(change);
        self.operations.keep(change, reply.clone(), self.now);
        reply
    }

    fn decide(&mut self, change: &Change) -> Reply {
        let name = change.edit.name();
        let current = self.view.record(name);
        if current.map_or(Version::ZERO, |record| record.version) != change.replaces {
            return Reply::Conflict { winner: current.cloned() };
        }
        let version = self.view.version.next();
        let record =
            self.view.records.entry(name.clone()).or_insert_with(|| Record::new(name.clone()));
        record.replace(change.edit.content().cloned(), version, self.now);
        self.view.version = version;
        self.forget_traces();
        Reply::Accepted { version }
    }

    fn advance(&mut self, elapsed: Duration) -> Reply {
        self.now = self.now.saturating_add(elapsed);
        self.operations.expire(self.now);
        let next = self.view.version.next();
        for record in self.view.records.values_mut() {
            if record.expire(self.now, PAST_HOME_TIME) {
                record.updated = next;
                self.view.version = next;
            }
        }
        Reply::Advanced
    }

    /// Forgets the oldest half of the deleted names when there are too many, so that it is seldom done.
    fn forget_traces(&mut self) {
        let traces = self.view.records.values().filter(|record| record.is_idle_trace());
        let mut versions: Vec<Version> = traces.map(|record| record.updated).collect();
        if versions.len() > TRACES_KEPT {
            versions.sort_unstable();
            self.view.forget(versions[TRACES_KEPT / 2]);
        }
    }
}

#[cfg(test)]
mod fuzz;
#[cfg(test)]
mod tests;
