use std::time::Duration;

use tokio::time::Instant;

use super::Meter;
use super::Moment;

// Guards against a time that is missing and reads as one at the start.
#[test]
fn a_missing_time_is_told_from_one_at_the_start() {
    let (moment, began) = (Moment::default(), Instant::now());
    assert_eq!(moment.elapsed(Duration::from_secs(2)), None);
    moment.set(Some(began), began);
    assert_eq!(moment.elapsed(Duration::from_secs(2)), Some(Duration::from_secs(2)));
    moment.set(None, began);
    assert_eq!(moment.elapsed(Duration::from_secs(2)), None);
}

// Guards against messages that are dropped and count as sent.
#[test]
fn dropped_messages_are_counted_apart() {
    let meter = Meter::new(Instant::now());
    meter.record_received();
    meter.record_sent(false);
    meter.record_sent(false);
    meter.record_sent(true);
    let reading = meter.read(Instant::now());
    assert_eq!((reading.received, reading.sent, reading.dropped), (1, 2, 1));
}
