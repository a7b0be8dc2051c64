use std::time::Duration;

use tokio::time::Instant;

use super::Causes;
use super::Lasting;
use super::Notice;

const TICK: Duration = Duration::from_millis(250);

fn lasting() -> Lasting {
    Lasting::new(Duration::from_secs(4), Duration::from_secs(10))
}

// Guards against a log that is cut short and holds no line on what lasted to its end.
#[test]
fn a_condition_that_lasts_is_logged_again_and_again() {
    let (mut lasting, began) = (lasting(), Instant::now());
    let logged = (0..=120).filter_map(|tick| lasting.observe(true, began + TICK * tick));
    let lasted = [4, 14, 24].map(Duration::from_secs).map(Notice::Lasts);
    assert_eq!(logged.collect::<Vec<_>>(), lasted);
}

// Guards against a line for each election.
#[test]
fn a_condition_that_ends_soon_is_not_logged() {
    let (mut lasting, began) = (lasting(), Instant::now());
    for tick in 0..100 {
        assert_eq!(lasting.observe(tick % 15 > 0, began + TICK * tick), None);
    }
}

// Guards against a second condition that counts from the start of the first, and an end that is logged twice.
#[test]
fn the_end_is_logged_once_and_the_next_one_counts_anew() {
    let (mut lasting, began) = (lasting(), Instant::now());
    lasting.observe(true, began);
    let second = |seconds| began + Duration::from_secs(seconds);
    assert_eq!(lasting.observe(true, second(5)), Some(Notice::Lasts(Duration::from_secs(5))));
    assert_eq!(lasting.observe(false, second(6)), Some(Notice::Over));
    assert_eq!(lasting.observe(false, second(7)), None);
    assert_eq!(lasting.lasted(second(7)), Duration::ZERO);
    assert_eq!(lasting.observe(true, second(8)), None);
    assert_eq!(lasting.observe(true, second(12)), Some(Notice::Lasts(Duration::from_secs(4))));
}

// Guards against a line for each heartbeat or poll at which the same cause comes up, and against causes that hide each
// other.
#[test]
fn a_cause_is_logged_once_while_it_lasts() {
    let (mut causes, began) = (Causes::new(Duration::from_secs(5)), Instant::now());
    let second = |seconds| began + Duration::from_secs(seconds);
    assert!(causes.observe("pending", began));
    assert!(causes.observe("no majority", began));
    assert!((1..60).all(|seconds| !causes.observe("pending", second(seconds))));
    assert!(causes.observe("no majority", second(60)));
    assert!(causes.observe("pending", second(64)));
}
