use bytes::Bytes;

use super::Events;
use super::first_id;

#[test]
fn only_whole_events_go_on() {
    let mut events = Events::default();
    assert_eq!(
        events.take(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda")).unwrap(),
        "id: 1\ndata: a\n\n"
    );
    assert_eq!(events.last(), Some("1"));
    assert!(events.is_torn());
    assert_eq!(events.take(Bytes::from_static(b"ta: b\n")).unwrap(), "");
    assert_eq!(events.take(Bytes::from_static(b"\n")).unwrap(), "id: 2\ndata: b\n\n");
    assert_eq!(events.last(), Some("2"));
    assert!(!events.is_torn());
}

#[test]
fn a_half_event_is_dropped_before_another_upstream_goes_on() {
    let mut events = Events::default();
    events.take(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda")).unwrap();
    events.drop_half();
    assert_eq!(
        events.take(Bytes::from_static(b"id: 2\ndata: b\n\n")).unwrap(),
        "id: 2\ndata: b\n\n"
    );
    assert_eq!(first_id(b"data: x\nid: 7\n\nid: 8\n\n"), Some("7"));
}
