//! Splits an event stream (SSE) into complete events.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

use crate::http::memory::Reservation;

/// A longer event is treated as a protocol error.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The length of the longest end of an event, two line ends of two bytes.
const LONGEST_END: usize = 4;

/// Buffers a stream up to the end of an event, so that a caller never gets a partial event and
/// another upstream can resume after the last complete one.
#[derive(Debug)]
pub struct EventBuffer {
    buffer: BytesMut,
    memory: Reservation,
    last_id: Option<String>,
}

/// Why an event can't be buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// It exceeds the size limit.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The bodies that the process holds leave no memory for it.
    #[error("there is no memory for an event of {0} bytes at present")]
    NoMemory(usize),
}

impl EventBuffer {
    /// An empty buffer that takes up memory of that reservation.
    pub fn new(memory: Reservation) -> Self {
        Self { buffer: BytesMut::new(), memory, last_id: None }
    }

    /// Appends data and returns all events that are complete; empty if there are none.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, Error> {
        let whole = if self.buffer.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            // What was buffered before has no end of an event, except for its beginning.
            let scanned = self.buffer.len().saturating_sub(LONGEST_END - 1);
            self.buffer.extend_from_slice(&bytes);
            let end = last_event_end(&self.buffer[scanned..]).map_or(0, |end| scanned + end);
            let partial = self.buffer.len() - end;
            if partial > MAX_EVENT_BYTES {
                return Err(Error::TooLong);
            }
            if !self.memory.grow_to(partial) {
                return Err(Error::NoMemory(partial));
            }
            self.memory.shrink_to(partial);
            self.buffer.split_to(end).freeze()
        };
        if let Some(id) = find_last_id(&whole) {
            self.last_id = Some(id.to_owned());
        }
        Ok(whole)
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether a partial event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards a partial event before the stream is resumed at another upstream.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.memory.shrink_to(0);
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// The offset after the last complete event, if there is one.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + LONGEST_END);
    unix.max(crlf)
}

/// The last event id in the data.
fn find_last_id(bytes: &[u8]) -> Option<&str> {
    let lines = bytes.rsplit(|&byte| byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim())
}

/// The first event id in the data.
pub fn first_id(bytes: &[u8]) -> Option<&str> {
    let mut lines = bytes.split(|&byte| byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim())
}

#[cfg(test)]
mod tests;
