use std::time::Duration;

use tokio::time::Instant;

use super::BOUND_TTL;
use super::Bound;

// Guards against a bound that stays low after an upstream has been given more room.
#[tokio::test(start_paused = true)]
async fn a_bound_falls_at_once_and_rises_slowly() {
    let now = Instant::now();
    let mut bound = Bound::new(30, now);
    assert_eq!(bound.get(now), Some(30));
    bound.record_rejection(12, now);
    assert_eq!(bound.get(now), Some(12));
    assert_eq!(bound.get(now + Duration::from_secs(10)), Some(14));
    bound.record_rejection(30, now + Duration::from_secs(10));
    assert_eq!(bound.get(now + Duration::from_secs(10)), Some(14), "it rises by itself");
    assert_eq!(bound.confirmed(now + Duration::from_secs(25)), Some(14));
    assert_eq!(bound.get(now + Duration::from_secs(25)), Some(17));
}

// Guards against limits that remain in force long after the last shortage.
#[tokio::test(start_paused = true)]
async fn a_bound_is_forgotten_without_rejections() {
    let now = Instant::now();
    let mut bound = Bound::new(30, now);
    bound.record_rejection(30, now + Duration::from_secs(20));
    assert_eq!(bound.get(now + BOUND_TTL), Some(38), "the second one was 20 s later");
    assert_eq!(bound.get(now + Duration::from_secs(20) + BOUND_TTL), None);
    bound.record_rejection(40, now + Duration::from_secs(100));
    assert_eq!(bound.get(now + Duration::from_secs(100)), Some(40));
}
