use std::time::Duration;

use tokio::time::Instant;

use super::Event;
use super::Feedback;
use super::RateNotice;
use super::Restrictions;
use super::Source;
use super::Statement;
use crate::decide::sharing::Key;
use crate::decide::turns::Sender;
use crate::id;
use crate::unit::Rate;

fn limited(rate: f64) -> Feedback {
    Feedback { rate_limit: Statement::Value(Rate::per_second(rate)), ..Feedback::default() }
}

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn key() -> Key {
    Key::new(&name(), 1)
}

/// The only VM, or one of many.
fn sender(shard_bits: u8) -> Sender {
    Sender::alone(Instant::now()).with_shard(0, shard_bits)
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
    let invalid =
        Feedback { rate_limit: Statement::Invalid("many".to_owned()), ..Feedback::default() };
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

fn notice(rate: Option<f64>, age: u64, since: u64) -> RateNotice {
    let (age, since) = (Duration::from_millis(age), Duration::from_millis(since));
    RateNotice { rate: rate.map(Rate::per_second), age, since }
}

// Guards against an old notice that brings back a limit, or lifts one, after later news.
#[tokio::test(start_paused = true)]
async fn the_latest_news_of_a_limit_counts_whoever_received_it() {
    let start = Instant::now() + Duration::from_secs(60);
    let mut one = Restrictions::default();
    one.limit.apply_notice(&notice(Some(4.0), 100, 100), start);
    assert_eq!(one.limit.known().unwrap().1, Source::Vm);
    one.limit.apply_notice(&notice(None, 5000, 0), start);
    assert_eq!(one.limit.rate(), Some(Rate::per_second(4.0)));
    one.limit.apply_notice(&notice(None, 50, 0), start);
    assert_eq!(one.limit.rate(), None);
    one.limit.apply_notice(&notice(Some(4.0), 80, 80), start);
    assert_eq!(one.limit.rate(), None);
}

// Guards against VMs that pass on each other's news as their own, which would never grow old.
#[tokio::test(start_paused = true)]
async fn only_what_a_vm_received_itself_is_passed_on() {
    let start = Instant::now() + Duration::from_secs(60);
    let mut one = Restrictions::default();
    one.limit.apply_notice(&notice(Some(4.0), 100, 100), start);
    assert_eq!(one.limit.notice(start), None);
    one.record(&limited(4.0), start, start);
    assert_eq!(one.limit.notice(start).unwrap().age, Duration::ZERO);
    one.limit.apply_notice(&notice(Some(4.0), 10, 900), after(start, 100));
    assert_eq!(one.limit.notice(after(start, 100)), None);
}

// Guards against hosts that disagree on the order in which updates arrive.
#[test]
fn notices_merge_in_any_order() {
    let all = [
        notice(Some(4.0), 100, 500),
        notice(None, 100, 700),
        notice(Some(3.0), 100, 200),
        notice(Some(9.0), 300, 900),
    ];
    let merged = all.into_iter().reduce(RateNotice::merge).unwrap();
    let reversed = all.into_iter().rev().reduce(RateNotice::merge).unwrap();
    assert_eq!(merged, reversed);
    assert_eq!(merged, notice(Some(3.0), 100, 900));
}

// Guards against a panic or an endless wait by absurd limits.
#[tokio::test(start_paused = true)]
async fn absurd_limits_leave_a_finite_wait() {
    let start = Instant::now();
    for rate in [0.0, 1e-300, 1e9, 1e300, f64::MAX] {
        let mut one = Restrictions::default();
        one.record(&limited(rate), start, start);
        for shard_bits in [0, 10, 31] {
            let sender = sender(shard_bits);
            one.limit.record_sent(key(), &sender, start);
            assert!(one.limit.wait(key(), &sender, after(start, 10)) <= Duration::from_secs(7200));
        }
    }
}

fn pause(millis: u64) -> Feedback {
    Feedback { backoff: Statement::Value(Duration::from_millis(millis)), ..Feedback::default() }
}

// Guards against a pause that ends early, by a shorter one or by a success of a request that was sent before it.
#[tokio::test(start_paused = true)]
async fn the_latest_end_of_a_pause_holds() {
    let start = Instant::now();
    let mut one = Restrictions::default();
    let wait = |one: &Restrictions, at: u64| {
        one.caller_wait(key(), &sender(0), after(start, at)).as_millis()
    };
    one.record(&pause(3000), start, after(start, 10));
    one.record(&pause(500), start, after(start, 20));
    assert_eq!(wait(&one, 20), 2990);
    one.record(&Feedback::default(), start, after(start, 30));
    assert_eq!(wait(&one, 30), 2980);
    one.record(&pause(4000), start, after(start, 40));
    assert_eq!(wait(&one, 40), 4000);
}

// Guards against a burst of all waiting requests when a pause ends, and against a probe without an answer that keeps them
// back for good.
#[tokio::test(start_paused = true)]
async fn one_request_probes_an_upstream_after_a_pause() {
    let start = Instant::now();
    let sender = sender(0);
    let mut one = Restrictions::default();
    one.record(&pause(1000), start, start);
    let probe = after(start, 1000);
    assert!(one.caller_wait(key(), &sender, probe).is_zero());
    one.record_sent(key(), &sender, probe);
    assert!(
        !one.caller_wait(key(), &sender, after(start, 1500)).is_zero(),
        "the probe is not answered"
    );
    assert!(one.caller_wait(key(), &sender, after(start, 2000)).is_zero(), "the probe is lost");
    one.record_sent(key(), &sender, after(start, 2000));
    one.record(&Feedback::default(), probe, after(start, 2100));
    assert!(
        one.caller_wait(key(), &sender, after(start, 2100)).is_zero(),
        "the first probe is answered"
    );
}

#[tokio::test(start_paused = true)]
async fn a_refused_probe_begins_another_pause() {
    let start = Instant::now();
    let sender = sender(0);
    let mut one = Restrictions::default();
    one.record(&pause(1000), start, start);
    one.record_sent(key(), &sender, after(start, 1000));
    one.record(&pause(1000), after(start, 1000), after(start, 1010));
    assert_eq!(one.caller_wait(key(), &sender, after(start, 1010)), Duration::from_secs(1));
}

// Guards against an overflow by a pause without end.
#[tokio::test(start_paused = true)]
async fn a_pause_is_an_hour_at_most() {
    let start = Instant::now();
    let mut one = Restrictions::default();
    one.record(
        &Feedback { backoff: Statement::Value(Duration::MAX), ..Feedback::default() },
        start,
        start,
    );
    assert_eq!(one.caller_wait(key(), &sender(0), start), Duration::from_secs(3600));
}

// Guards against a refusal that lifts a limit because it does not repeat it.
#[tokio::test(start_paused = true)]
async fn a_refusal_does_not_end_a_limit() {
    let start = Instant::now();
    let mut one = Restrictions::default();
    one.record(&limited(4.0), start, after(start, 100));
    let refusal = Feedback { is_refusal: true, ..Feedback::default() };
    one.record(&refusal, after(start, 200), after(start, 300));
    assert_eq!(one.limit.rate(), Some(Rate::per_second(4.0)));
}

// Guards against a log line for each response of an upstream whose header cannot be decoded.
#[tokio::test(start_paused = true)]
async fn an_ignored_header_is_logged_once_a_minute() {
    let start = Instant::now();
    let mut one = Restrictions::default();
    let invalid =
        Feedback { draining: Statement::Invalid("soon".to_owned()), ..Feedback::default() };
    let mut lines = 0;
    for second in 0..130 {
        let now = after(start, second * 1000);
        one.record(&invalid, now, now);
        lines += one.take_changes(&name(), now).len();
    }
    assert_eq!(lines, 3);
}

// Guards against an upstream that crashes since the limit of its refusals counts only once it has refused a request, or
// since VMs without a host send it more than it can refuse.
#[tokio::test(start_paused = true)]
async fn a_refusal_limit_holds_from_the_first_answer_until_one_without_it() {
    let start = Instant::now();
    let (one, limit) = (sender(0), Rate::per_second(8.0));
    let refusal_limit = Statement::Value(limit);
    let refusal =
        Feedback { is_refusal: true, refusal_limit: refusal_limit.clone(), ..Feedback::default() };
    let answer = Feedback { refusal_limit, ..Feedback::default() };
    let mut upstream = Restrictions::default();
    upstream.record(&answer, start, start);
    assert_eq!(upstream.refusal_limit.rate(), Some(limit));
    let mut sent = 0;
    for millis in (0..3000).step_by(10) {
        let now = after(start, millis);
        let response = if millis % 20 == 0 { &answer } else { &refusal };
        if upstream.refusal_limit.allows(limit, key(), &one, now) {
            upstream.refusal_limit.record_sent(limit, key(), &one, now);
            upstream.record(response, now, now);
            sent += u32::from(millis >= 1000);
        }
    }
    assert!((2..=8).contains(&sent), "{sent} requests of one of two VMs in 2 s");
    assert_eq!(upstream.refusal_limit.rate(), Some(limit), "answers don't end it");
    let without = Feedback { refusal_limit: Statement::Absent, ..refusal };
    upstream.record(&without, after(start, 3000), after(start, 3050));
    assert_eq!(upstream.refusal_limit.rate(), Some(limit), "a refusal may lack it");
    upstream.record(&Feedback::default(), after(start, 2000), after(start, 3050));
    assert_eq!(upstream.refusal_limit.rate(), Some(limit), "the request was sent before");
    upstream.record(&Feedback::default(), after(start, 3000), after(start, 3050));
    assert_eq!(upstream.refusal_limit.rate(), None);
}
