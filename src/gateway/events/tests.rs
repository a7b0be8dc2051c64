use bytes::Bytes;

use super::Error;
use super::EventBuffer;
use super::MAX_EVENT_BYTES;
use super::first_id;
use crate::http::memory::Budget;
use crate::unit;

fn buffer() -> EventBuffer {
    EventBuffer::new(Budget::new(unit::Bytes::new(4 << 20)).reservation())
}

/// Guards against long events in small pieces that take a processor for minutes.
#[test]
fn a_long_event_may_come_in_small_pieces() {
    let mut events = buffer();
    let piece = Bytes::from_static(b"a");
    for _ in 0..MAX_EVENT_BYTES {
        assert_eq!(events.push(piece.clone()), Ok(Bytes::new()));
    }
    assert_eq!(events.push(piece), Err(Error::TooLong));
}

#[test]
fn an_end_may_come_in_pieces() {
    for end in ["\n\n", "\r\n\r\n"] {
        let mut events = buffer();
        let mut all = Vec::new();
        for byte in format!("id: 1{end}id: 2{end}").into_bytes() {
            all.extend(events.push(Bytes::from(vec![byte])).unwrap());
        }
        assert_eq!((all.len(), events.last_id()), (10 + 2 * end.len(), Some("2")));
    }
}

#[test]
fn events_take_up_memory_while_they_are_partial() {
    let budget = Budget::new(unit::Bytes::new(64 << 10));
    let mut events = EventBuffer::new(budget.reservation());
    events.push(Bytes::from(vec![b'a'; 70 << 10])).unwrap();
    assert_eq!(events.push(Bytes::from(vec![b'a'; 20 << 10])), Err(Error::NoMemory(90 << 10)));
    let mut events = EventBuffer::new(budget.reservation());
    assert_eq!(events.push(Bytes::from(vec![b'a'; 30 << 10])), Err(Error::NoMemory(30 << 10)));
}

#[test]
fn only_complete_events_are_returned() {
    let mut events = buffer();
    assert_eq!(
        events.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda")).unwrap(),
        "id: 1\ndata: a\n\n"
    );
    assert_eq!(events.last_id(), Some("1"));
    assert!(events.has_partial());
    assert_eq!(events.push(Bytes::from_static(b"ta: b\n")).unwrap(), "");
    assert_eq!(events.push(Bytes::from_static(b"\n")).unwrap(), "id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some("2"));
    assert!(!events.has_partial());
}

#[test]
fn a_partial_event_is_discarded_before_resuming() {
    let mut events = buffer();
    events.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda")).unwrap();
    events.discard_partial();
    assert_eq!(
        events.push(Bytes::from_static(b"id: 2\ndata: b\n\n")).unwrap(),
        "id: 2\ndata: b\n\n"
    );
    assert_eq!(first_id(b"data: x\nid: 7\n\nid: 8\n\n"), Some("7"));
}
