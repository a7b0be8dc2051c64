//! Reading a stream of events.

use bytes::Bytes;
use bytes::BytesMut;
use serde_json::Value;

use crate::http::refusal::Problem;

/// What an event of a stream says.
#[derive(Debug)]
pub enum Event {
    /// A piece of the answer.
    Piece(String),
    /// The answer is whole.
    Done,
    /// The answer broke off, and the VM said so; with its problem document, as far as it can be read.
    Error(Option<Box<Problem>>),
}

/// Takes events out of the bytes of a body.
#[derive(Debug, Default)]
pub struct Events {
    pending: BytesMut,
}

impl Events {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &Bytes) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event; comments are left out.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let end = self.pending.windows(2).position(|two| two == b"\n\n")?;
            let event = self.pending.split_to(end + 2);
            let event = String::from_utf8_lossy(&event);
            let broken = event.lines().any(|line| line == "event: error");
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            match data {
                Some(data) if broken => return Some(Event::Error(serde_json::from_str(data).ok())),
                Some(data) => return Some(read(data)),
                None if broken => return Some(Event::Error(None)),
                None => {}
            }
        }
    }
}

fn read(data: &str) -> Event {
    if data == "[DONE]" {
        return Event::Done;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    text(&value).map_or(Event::Error(None), Event::Piece)
}

/// The text of one piece, or of a whole answer.
pub fn text(value: &Value) -> Option<String> {
    let choice = &value["choices"][0];
    let places = [&choice["delta"]["content"], &choice["message"]["content"], &choice["text"]];
    let text = places.iter().find_map(|place| place.as_str()).or(value["answer"].as_str());
    text.map(str::to_owned)
}

#[cfg(test)]
mod tests;
