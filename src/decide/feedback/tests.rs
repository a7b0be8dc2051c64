use std::time::Duration;

use tokio::time::Instant;

use super::Event;
use super::Feedback;
use super::Restrictions;
use super::Statement;
use crate::id;
use crate::unit::Rate;

fn limited(rate: f64) -> Feedback {
    Feedback { rate_limit: Statement::Value(Rate::per_second(rate)) }
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn name() -> id::Upstream {
    "a".parse().unwrap()
}

// Guards against a response that was overtaken: it does not state the limit that began after it was sent.
#[tokio::test(start_paused = true)]
async fn a_limit_ends_only_with_a_request_sent_after_it_was_stated() {
    let start = Instant::now();
    let mut one = Restrictions::default();
    one.record(&limited(4.0), start, after(start, 100));
    one.record(&Feedback::default(), after(start, 50), after(start, 200));
    assert_eq!(one.limit.rate(), Some(Rate::per_second(4.0)));
    one.record(&Feedback::default(), after(start, 150), after(start, 250));
    assert_eq!(one.limit.rate(), None);
}

// Guards against a header that cannot be decoded and lifts, or sets, a limit.
#[tokio::test(start_paused = true)]
async fn an_invalid_limit_changes_nothing_and_is_reported() {
    let start = Instant::now();
    let mut one = Restrictions::default();
    one.record(&limited(4.0), start, start);
    let invalid = Feedback { rate_limit: Statement::Invalid("many".to_owned()) };
    one.record(&invalid, after(start, 10), after(start, 20));
    assert_eq!(one.limit.rate(), Some(Rate::per_second(4.0)));
    let events: Vec<Event> = one
        .take_changes(&name(), after(start, 30))
        .into_iter()
        .map(|change| change.event)
        .collect();
    assert!(events.contains(&Event::LimitBegan(Rate::per_second(4.0))));
    assert!(events.iter().any(|event| matches!(event, Event::HeaderIgnored { .. })));
}

// Guards against a log line for each response while a limit changes with each of them.
#[tokio::test(start_paused = true)]
async fn a_limit_that_keeps_changing_is_logged_once_a_second() {
    let start = Instant::now();
    let mut one = Restrictions::default();
    let mut lines = 0;
    for nth in 0..1000 {
        let now = after(start, nth * 10);
        one.record(&limited(1.0 + nth as f64), now, now);
        lines += one.take_changes(&name(), now).len();
    }
    assert!((9..=11).contains(&lines), "{lines} lines in ten seconds");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_upstream_has_no_limit_and_the_log_is_told() {
    let start = Instant::now();
    let mut one = Restrictions::default();
    one.record(&limited(4.0), start, start);
    assert_eq!(one.take_changes(&name(), start).len(), 1);
    let mut one = one.restarted();
    assert_eq!(one.limit.rate(), None);
    let changes = one.take_changes(&name(), after(start, 2000));
    assert_eq!(changes[0].event, Event::LimitEnded);
}
