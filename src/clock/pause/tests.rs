use std::time::Duration;

use tokio::time::Instant;

use super::Detector;

const LIMIT: Duration = Duration::from_millis(250);

// Guards against a start, or a tick that is late on a busy machine, that is taken for a pause.
#[test]
fn only_a_gap_of_the_limit_is_a_pause() {
    let start = Instant::now();
    let mut detector = Detector::new(LIMIT);
    assert_eq!(detector.observe(start), None);
    assert_eq!(detector.observe(start + LIMIT / 2), None);
    assert_eq!(detector.observe(start + LIMIT / 2 + LIMIT), Some(LIMIT));
    assert_eq!(detector.observe(start + LIMIT / 2 + LIMIT), None);
}

// Guards against a pause that is found again by an observation that was made earlier.
#[test]
fn time_that_goes_back_is_no_pause() {
    let start = Instant::now();
    let mut detector = Detector::new(LIMIT);
    detector.observe(start + LIMIT);
    assert_eq!(detector.observe(start), None);
}
