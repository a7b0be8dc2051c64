use super::*;

#[test]
fn events_are_read_over_the_limits_of_frames() {
    let mut events = Events::default();
    events.push(&Bytes::from_static(b": waits\n\ndata: {\"choices\":[{\"delta\":{\"con"));
    assert!(events.next_event().is_none());
    events.push(&Bytes::from_static(b"tent\":\"rain\"}}]}\n\ndata: [DONE]\n"));
    assert!(matches!(events.next_event(), Some(Event::Piece(text)) if text == "rain"));
    assert!(events.next_event().is_none());
    events.push(&Bytes::from_static(b"\nevent: error\ndata: {}\n\n"));
    assert!(matches!(events.next_event(), Some(Event::Done)));
    assert!(matches!(events.next_event(), Some(Event::Error(None))));
}
