use super::*;

const STEP: Duration = Duration::from_millis(50);

fn upstream(number: usize) -> id::Upstream {
    format!("upstream-{number}").parse().expect("a name")
}

/// A VM that has just lost its reach.
fn lost(now: Instant) -> Reach {
    let mut reach = Reach::new();
    reach.record_failure(&upstream(0), now);
    reach.record_failure(&upstream(1), now);
    assert_eq!(reach.check(None, || 12, now), Check::Probe);
    assert!(reach.record_probes(false, now).is_some());
    reach
}

#[test]
fn one_upstream_that_fails_is_no_doubt() {
    // Guards against a VM that gives up its region since one upstream is down.
    let now = Instant::now();
    let mut reach = Reach::new();
    for _ in 0..20 {
        reach.record_failure(&upstream(0), now);
        assert_eq!(reach.check(None, || 12, now), Check::None);
    }
}

#[test]
fn answers_between_failures_are_no_doubt() {
    let now = Instant::now();
    let mut reach = Reach::new();
    for number in 0..20 {
        reach.record_failure(&upstream(number), now);
        reach.record_answer();
        assert_eq!(reach.check(None, || 12, now), Check::None);
    }
}

#[test]
fn an_accepted_probe_settles_the_doubt() {
    // Guards against a VM that gives up its region since several upstreams crashed together.
    let now = Instant::now();
    let mut reach = Reach::new();
    reach.record_failure(&upstream(0), now);
    reach.record_failure(&upstream(1), now);
    assert_eq!(reach.check(None, || 12, now), Check::Probe);
    assert_eq!(reach.record_probes(true, now), None);
    assert!(reach.is_reached() && reach.may_send(true, now));
}

#[test]
fn a_vm_without_reach_tries_single_requests_after_an_accepted_probe() {
    // Guards against a VM that sends all its requests to upstreams as soon as a connection is accepted.
    let mut now = Instant::now();
    let mut reach = lost(now);
    assert!(!reach.may_send(true, now));
    now += MIN_PAUSE;
    assert_eq!(reach.check(None, || 12, now), Check::Probe);
    reach.record_probes(true, now);
    assert!(reach.may_send(true, now));
    assert!(!reach.may_send(true, now));
    assert!(reach.record_answer());
    assert!(reach.may_send(true, now) && reach.may_send(true, now));
}

#[test]
fn failed_trials_become_rarer() {
    // Guards against a path that accepts connections and passes nothing on: each trial costs a caller time.
    let mut now = Instant::now();
    let mut reach = lost(now);
    let mut trials = 0;
    for _ in 0..400 {
        if reach.check(None, || 12, now) == Check::Probe {
            reach.record_probes(true, now);
        }
        if reach.may_send(true, now) {
            trials += 1;
            reach.record_failure(&upstream(0), now);
        }
        now += STEP;
    }
    assert!((5..=15).contains(&trials), "{trials} trials in 20 s");
    assert!(!reach.is_reached());
}

#[test]
fn silence_of_all_upstreams_raises_a_doubt_and_settles_it_in_the_end() {
    let now = Instant::now();
    let mut reach = Reach::new();
    assert_eq!(reach.check(Some(DOUBTFUL_SILENCE - STEP), || 12, now), Check::None);
    assert_eq!(reach.check(Some(DOUBTFUL_SILENCE), || 12, now), Check::Probe);
    assert_eq!(reach.record_probes(true, now), None);
    assert_eq!(reach.check(Some(CERTAIN_SILENCE), || 12, now), Check::Probe);
    assert_eq!(reach.record_probes(true, now), Some(Evidence::Silence(CERTAIN_SILENCE)));
}

#[test]
fn the_only_upstream_of_a_region_is_enough_for_a_doubt() {
    let now = Instant::now();
    let mut reach = Reach::new();
    reach.record_failure(&upstream(0), now);
    assert_eq!(reach.check(None, || 1, now), Check::Probe);
}
