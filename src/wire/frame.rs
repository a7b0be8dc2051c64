//! The frames of a link and their encoding.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::wire::Cast;
use crate::wire::Error;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;

/// The largest frame that is read; a catalogue snapshot of 8,900 owners fits several times.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// A frame, sent as CBOR in one binary WebSocket message.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame in each direction: identifies and authenticates the sender.
    Hello {
        /// The sender.
        peer: Peer,
        /// The site's shared secret; empty if none is set.
        secret: String,
    },
    /// A heartbeat, sent if no other frame was sent for a while.
    Ping,
    /// A request; its reply has the same number.
    Call {
        /// The number of the call on this link.
        number: u64,
        /// The request.
        request: Request,
    },
    /// The reply to a call.
    Reply {
        /// The number of the call.
        number: u64,
        /// The reply.
        reply: Reply,
    },
    /// A message without a reply; it may be lost.
    Cast(Cast),
}

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Result<Bytes, Error> {
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut bytes).map_err(|error| Error::Frame(error.to_string()))?;
        Ok(Bytes::from(bytes))
    }

    /// Decodes a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        ciborium::from_reader(bytes).map_err(|error| Error::Frame(error.to_string()))
    }
}
