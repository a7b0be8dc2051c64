use bytes::Bytes;

use super::EventBuffer;
use super::first_id;

#[test]
fn only_complete_events_are_returned() {
    let mut events = EventBuffer::default();
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
    let mut events = EventBuffer::default();
    events.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda")).unwrap();
    events.discard_partial();
    assert_eq!(
        events.push(Bytes::from_static(b"id: 2\ndata: b\n\n")).unwrap(),
        "id: 2\ndata: b\n\n"
    );
    assert_eq!(first_id(b"data: x\nid: 7\n\nid: 8\n\n"), Some("7"));
}
