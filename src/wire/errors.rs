//! Errors of links. They tell a caller whether its request may have arrived.

use thiserror::Error;

use crate::wire::Peer;

/// Reasons why a call has no reply.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The call was not sent, so the peer can't have handled it.
    #[error("{peer} can't be reached: {why}")]
    Unsent {
        /// The peer.
        peer: Peer,
        /// The cause.
        why: String,
    },
    /// The call was sent and no reply was received: the peer may have handled it.
    #[error("{peer} did not reply")]
    Lost {
        /// The peer.
        peer: Peer,
    },
    /// A frame can't be decoded: the peer has another version, or the stream is damaged.
    #[error("a frame can't be read: {0}")]
    Frame(String),
    /// The first frame does not hold the shared secret.
    #[error("the peer did not send the site's shared secret")]
    Unauthenticated,
}

impl Error {
    /// Whether the peer can't have received the call.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent { .. })
    }
}
