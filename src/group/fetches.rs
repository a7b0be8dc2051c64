//! What became of the snapshots that a replica fetched from others.

use std::time::Duration;

use serde::Serialize;
use serde_with::serde_as;
use tokio::time::Instant;

use crate::id;
use crate::unit::Milliseconds;

/// Snapshots fetched by a replica. It changes when a fetch begins or ends, not with each piece.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Fetches {
    /// Fetches begun since the start.
    pub count: u64,
    /// The last one.
    pub last: Option<Fetched>,
}

/// How far a fetch has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Pieces are asked for.
    Begun,
    /// All pieces are here.
    Received,
    /// It is stored and in use.
    Installed,
    /// The other replica did not answer.
    Failed,
    /// The other replica does not lead any more; the next leader offers its own.
    Abandoned,
    /// It can't be decoded.
    Undecodable,
}

/// A fetch. Bytes, requests and time are those up to its stage.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Fetched {
    /// The replica that it comes from.
    pub from: id::Replica,
    /// How far it has come.
    pub stage: Stage,
    /// Bytes received, repeated pieces included.
    pub bytes: u64,
    /// Requests for pieces; each was answered by one piece or lost.
    pub requests: u64,
    /// Time since it began.
    #[serde_as(as = "Milliseconds")]
    #[serde(rename = "took_ms")]
    pub took: Duration,
}

/// Counts the pieces of the fetch under way.
#[derive(Debug, Default)]
pub(super) struct Tally {
    began: Option<Instant>,
    bytes: u64,
    requests: u64,
    fetches: Fetches,
}

impl Tally {
    pub fn begin(&mut self, from: id::Replica, now: Instant) {
        let count = self.fetches.count + 1;
        let begun =
            Fetched { from, stage: Stage::Begun, bytes: 0, requests: 0, took: Duration::ZERO };
        let fetches = Fetches { count, last: Some(begun) };
        *self = Self { began: Some(now), bytes: 0, requests: 0, fetches };
    }

    pub const fn record_requests(&mut self, count: usize) {
        self.requests += count as u64;
    }

    pub const fn record_piece(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    pub fn reach(&mut self, stage: Stage, now: Instant) {
        let (Some(last), Some(began)) = (&mut self.fetches.last, self.began) else { return };
        last.stage = stage;
        last.bytes = self.bytes;
        last.requests = self.requests;
        last.took = now.saturating_duration_since(began);
    }

    pub const fn fetches(&self) -> Fetches {
        self.fetches
    }
}

#[cfg(test)]
mod tests;
