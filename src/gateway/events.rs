//! Splits an event stream (SSE) into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// A longer event is treated as a protocol error.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers a stream up to the end of an event, so that a caller never gets a partial event and
/// another upstream can resume after the last complete one.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buffer: BytesMut,
    last_id: Option<String>,
}

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

impl EventBuffer {
    /// Appends data and returns all events that are complete; empty if there are none.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLong> {
        let whole = if self.buffer.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            self.buffer.extend_from_slice(&bytes);
            let end = last_event_end(&self.buffer);
            if self.buffer.len() - end > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
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
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// The offset after the last complete event.
fn last_event_end(bytes: &[u8]) -> usize {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
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
