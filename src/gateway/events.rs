//! Whole events of an event stream, and where it may be resumed.

use bytes::Bytes;
use bytes::BytesMut;

/// An event that grows beyond this is no event; nothing is kept of it.
const MOST_BYTES: usize = 1 << 20;

/// Cuts the bytes of a stream after whole events, so that an upstream that breaks off in the middle of one leaves no half
/// event at the caller, and another upstream can go on behind the last whole one.
#[derive(Debug, Default)]
pub struct Events {
    held: BytesMut,
    last: Option<String>,
}

/// The stream is no event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MOST_BYTES} bytes")]
pub struct TooLong;

impl Events {
    /// Takes bytes in and returns the whole events that are there now; empty where there is none.
    pub fn take(&mut self, bytes: Bytes) -> Result<Bytes, TooLong> {
        let whole = if self.held.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            self.held.extend_from_slice(&bytes);
            let end = last_end(&self.held);
            if self.held.len() - end > MOST_BYTES {
                return Err(TooLong);
            }
            self.held.split_to(end).freeze()
        };
        if let Some(id) = last_id(&whole) {
            self.last = Some(id.to_owned());
        }
        Ok(whole)
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether the stream stopped in the middle of an event.
    pub fn is_torn(&self) -> bool {
        !self.held.is_empty()
    }

    /// Drops the half event of an upstream that broke off.
    pub fn drop_half(&mut self) {
        self.held.clear();
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Where the last whole event ends.
fn last_end(bytes: &[u8]) -> usize {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
    unix.max(crlf)
}

/// The id of the last event that has one.
fn last_id(bytes: &[u8]) -> Option<&str> {
    let lines = bytes.rsplit(|&byte| byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim())
}

/// The id of the first event that has one.
pub fn first_id(bytes: &[u8]) -> Option<&str> {
    let mut lines = bytes.split(|&byte| byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim())
}

#[cfg(test)]
mod tests;
