use std::time::Duration;

use tokio::time::Instant;

use super::*;
use crate::decide::place::wait;

const OBJECTIVE: Duration = Duration::from_millis(800);
const STEP: Duration = Duration::from_millis(50);

fn is_standing(shortages: &Shortages, now: Instant) -> bool {
    shortages.limit("s", (OBJECTIVE, true), None, now) < OBJECTIVE
}

/// Records requests every 50 ms for so long, and returns the end. Every `nth` one is expected within the objective.
fn press(shortages: &mut Shortages, from: Instant, length: Duration, nth: u32) -> Instant {
    let steps = (length.as_millis() / STEP.as_millis()) as u32;
    for step in 0..=steps {
        let expected = if step % nth == nth - 1 { OBJECTIVE / 4 } else { OBJECTIVE };
        shortages.record_expected("s", expected, OBJECTIVE, from + STEP * step);
    }
    from + STEP * steps
}

// Guards against a queue that stands at the limit for seconds, and against refusals in a burst that the queue absorbs.
#[tokio::test(start_paused = true)]
async fn only_a_standing_shortage_lowers_the_limit() {
    let mut shortages = Shortages::default();
    let start = Instant::now();
    let usual = shortages.limit("s", (OBJECTIVE, true), None, start);
    assert_eq!(usual, wait::limit(OBJECTIVE, true));
    let end = press(&mut shortages, start, Duration::from_millis(950), u32::MAX);
    assert!(!is_standing(&shortages, end));
    let begins = start + Duration::from_secs(1);
    shortages.record_expected("s", OBJECTIVE, OBJECTIVE, begins);
    assert_eq!(
        shortages.limit("s", (OBJECTIVE, true), None, begins),
        wait::shortage_limit(OBJECTIVE)
    );
    assert_eq!(shortages.limit("other", (OBJECTIVE, true), None, begins), usual);
    for step in 1..20 {
        shortages.record_expected("s", OBJECTIVE / 2, OBJECTIVE, begins + STEP * step);
    }
    assert!(is_standing(&shortages, begins + Duration::from_millis(999)));
    assert!(!is_standing(&shortages, begins + Duration::from_secs(1)), "none was refused for 1 s");
}

// Guards against a VM with a request a second that takes a second without a refusal for the end of the shortage, and against a
// shortage that outlasts the load.
#[tokio::test(start_paused = true)]
async fn a_vm_with_few_requests_waits_longer_for_the_end() {
    let (mut shortages, start) = (Shortages::default(), Instant::now());
    let last = press(&mut shortages, start, Duration::from_secs(1), u32::MAX);
    shortages.record_expected("s", OBJECTIVE / 2, OBJECTIVE, last + Duration::from_secs(1));
    assert!(is_standing(&shortages, last + Duration::from_millis(2999)));
    assert!(!is_standing(&shortages, last + Duration::from_secs(3)));
}

// Guards against a shortage that is not found since some requests run in other regions, and against one that is seen in
// single long waits at usual load.
#[tokio::test(start_paused = true)]
async fn single_requests_decide_nothing() {
    let (mut shortages, start) = (Shortages::default(), Instant::now());
    let end = press(&mut shortages, start, Duration::from_secs(2), 4);
    assert!(is_standing(&shortages, end));
    let (mut shortages, start) = (Shortages::default(), Instant::now());
    for step in 0..100 {
        let expected = if step % 4 == 0 { OBJECTIVE } else { OBJECTIVE / 4 };
        shortages.record_expected("s", expected, OBJECTIVE, start + STEP * step);
        assert!(!is_standing(&shortages, start + STEP * step));
    }
    for step in 0..10 {
        let now = start + Duration::from_secs(10) + Duration::from_millis(1100) * step;
        shortages.record_expected("s", OBJECTIVE, OBJECTIVE, now);
        assert!(!is_standing(&shortages, now), "there was a break");
    }
}

// Guards against returns that lengthen the wait of requests that can still be in time.
#[tokio::test(start_paused = true)]
async fn returns_have_a_lower_limit() {
    let (mut shortages, now) = (Shortages::default(), Instant::now());
    let limit = |shortages: &Shortages, elapsed, now| {
        shortages.limit("s", (OBJECTIVE, true), Some(elapsed), now)
    };
    let usual = wait::limit(OBJECTIVE, true);
    assert_eq!(limit(&shortages, OBJECTIVE, now), usual);
    shortages.record_expected("s", OBJECTIVE, OBJECTIVE, now);
    assert_eq!(limit(&shortages, OBJECTIVE, now), wait::shortage_limit(OBJECTIVE));
    assert_eq!(limit(&shortages, OBJECTIVE / 4, now), usual, "it can still be in time");
    let end = press(&mut shortages, now, Duration::from_secs(1), u32::MAX);
    assert_eq!(limit(&shortages, OBJECTIVE / 8, end), Duration::from_millis(525));
    assert_eq!(limit(&shortages, OBJECTIVE * 2, end), OBJECTIVE / 2);
}

// Guards against first attempts that are taken for returns by delays on their way, and against a largest timeout that counts
// after a change of the route's callers.
#[tokio::test(start_paused = true)]
async fn returns_have_used_up_a_part_of_their_time() {
    let (mut returns, start) = (Returns::default(), Instant::now());
    let ms = Duration::from_millis;
    assert_eq!(returns.record_timeout("r", ms(4000), start), None);
    assert_eq!(returns.record_timeout("r", ms(3900), start), None);
    assert_eq!(returns.record_timeout("r", ms(3700), start), Some(ms(300)));
    assert_eq!(returns.record_timeout("other", ms(1000), start), None);
    assert_eq!(returns.record_timeout("other", ms(950), start), None, "less than 100 ms");
    let later = start + Duration::from_secs(30);
    assert_eq!(returns.record_timeout("r", ms(1000), later), None);
}

// Guards against prompts of lower rank that are moved away from engines which hold their parts, since their limit is lowered.
#[tokio::test(start_paused = true)]
async fn a_shortage_leaves_the_limit_of_other_requests_as_it_is() {
    let (mut shortages, start) = (Shortages::default(), Instant::now());
    let end = press(&mut shortages, start, Duration::from_secs(2), u32::MAX);
    assert!(is_standing(&shortages, end));
    let limit = shortages.limit("s", (OBJECTIVE, false), Some(OBJECTIVE), end);
    assert_eq!(limit, wait::limit(OBJECTIVE, false));
}
