//! Changes as sent to followers: each is encoded once and shared by all of them.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::Announcement;
use super::Delta;
use super::Observed;
use super::Presence;
use super::slice::Scope;

/// Size at which a piece is cut. It bounds the memory and the time on the line that one reply takes.
pub const MAX_PIECE_BYTES: usize = 32 << 10;

/// One changed record.
#[derive(Debug, Serialize, Deserialize)]
pub enum Change {
    /// Of an upstream.
    #[serde(rename = "u")]
    Upstream(Observed<Announcement>),
    /// Of a VM.
    #[serde(rename = "v")]
    Vm(Observed<Presence>),
}

impl Change {
    /// Encodes the change.
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::with_capacity(192);
        ciborium::into_writer(self, &mut bytes).expect("writing to memory does not fail");
        Bytes::from(bytes)
    }
}

/// A part of the changes that a follower lacks, in the order of their revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The follower's revision after it applies this piece; it resumes from there if a piece is lost.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The revision of the sender's table when it began to send the whole slice.
    #[serde(rename = "b")]
    pub base: u64,
    /// The first piece of the whole slice, which replaces the follower's copy.
    #[serde(rename = "w")]
    pub is_first: bool,
    /// More changes are ready.
    #[serde(rename = "m")]
    pub has_more: bool,
    /// The division into slices, if the follower may not know the present one.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub scope: Option<Scope>,
    /// The encoded changes, one after the other.
    #[serde(rename = "c")]
    pub changes: Bytes,
}

/// Why a piece can't be applied.
#[derive(Debug, Error)]
pub enum Error {
    /// A change can't be decoded.
    #[error("change {nth} of the piece up to revision {revision} can't be decoded: {why}")]
    Change {
        /// Its place in the piece, counted from 0.
        nth: usize,
        /// The piece's revision.
        revision: u64,
        /// The decoder's message.
        why: String,
    },
    /// A level is out of bounds.
    #[error("the scope of the piece up to revision {0} has a level out of bounds")]
    Scope(u64),
}

impl Piece {
    /// Joins encoded changes.
    #[must_use]
    pub fn with_changes(self, changes: &[Bytes]) -> Self {
        let mut joined = BytesMut::with_capacity(changes.iter().map(Bytes::len).sum());
        changes.iter().for_each(|change| joined.extend_from_slice(change));
        Self { changes: joined.freeze(), ..self }
    }

    /// Decodes the changes.
    pub fn into_delta(self) -> Result<(Delta, Option<Scope>), Error> {
        if self.scope.as_ref().is_some_and(|scope| !scope.is_valid()) {
            return Err(Error::Scope(self.revision));
        }
        let mut delta =
            Delta { revision: self.revision, is_full: self.is_first, ..Delta::default() };
        let mut left: &[u8] = &self.changes;
        while !left.is_empty() {
            let nth = delta.upstreams.len() + delta.vms.len();
            match ciborium::from_reader(&mut left) {
                Ok(Change::Upstream(observed)) => delta.upstreams.push(observed),
                Ok(Change::Vm(observed)) => delta.vms.push(observed),
                Err(error) => {
                    let (revision, why) = (self.revision, error.to_string());
                    return Err(Error::Change { nth, revision, why });
                }
            }
        }
        Ok((delta, self.scope))
    }
}

#[cfg(test)]
mod tests;
