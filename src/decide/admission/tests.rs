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
fn storm_is_refused_early_and_told_to_return_at_the_rate_of_service() {
    // 400 callers ask at once where 8 slots serve 8 requests of a second each second.
    // About a second's work is let in, all others are refused at once: a longer queue would only make all wait.
    // They are told to return spread out: if all came back together, the storm would repeat.
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
fn one_briefing_hardly_moves_the_estimate_of_lookups() {
    let mut estimator = Estimator::new(SECOND);
    estimator.observe(60 * SECOND);
    assert!(estimator.expected() < 2 * SECOND);
    for _ in 0..20 {
        estimator.observe(10 * SECOND);
    }
    assert!(estimator.expected() > 8 * SECOND, "a real change shows");
}
