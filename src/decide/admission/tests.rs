use rand::SeedableRng;

use super::*;
use crate::unit::Bytes;
use crate::unit::Slots;

const SECOND: Duration = Duration::from_secs(1);

fn ticket(number: u128, now: Instant, patience: Duration) -> Ticket {
    Ticket {
        request: id::Request::new(number),
        owner: "one".parse().expect("an owner"),
        class: Class::Short,
        weight: 1,
        deadline: now + patience,
        service: SECOND,
        tail: SECOND,
        size: Bytes::new(1_000),
        arrived: now,
    }
}

#[test]
fn burst_is_refused_early_and_returns_at_the_service_rate() {
    // Guards against a burst that fills the queue beyond what can be served in time, and against refused callers that
    // all return at the same time.
    let now = Instant::now();
    let mut admission = Admission::new(SmallRng::seed_from_u64(1));
    let mut queue = Queue::default();
    let capacity = Capacity::new(Slots::new(8));
    let mut returns = Vec::new();
    for number in 0..400 {
        let ticket = ticket(number, now, 5 * SECOND);
        match admission.admit(&ticket, &queue, &capacity, now) {
            Decision::Accept => queue.push(ticket, now).expect("admitted"),
            Decision::Refuse { retry_after, .. } => returns.push(retry_after),
        }
    }
    assert!((6..=12).contains(&queue.len()), "{}", queue.len());
    let early = returns.iter().filter(|&&after| after < 10 * SECOND).count();
    assert!((20..60).contains(&early), "{early} of {} return within 10 s", returns.len());
}

#[test]
fn outlier_barely_changes_the_estimate() {
    let mut estimator = Estimator::new(SECOND);
    estimator.observe(60 * SECOND);
    assert!(estimator.expected() < 2 * SECOND);
    for _ in 0..20 {
        estimator.observe(10 * SECOND);
    }
    assert!(estimator.expected() > 8 * SECOND, "the estimate follows a lasting change");
}
