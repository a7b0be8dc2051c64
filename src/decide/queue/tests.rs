use super::*;
use crate::unit::Bytes;
use crate::unit::Slots;

const SECOND: Duration = Duration::from_secs(1);

fn ticket(number: u128, owner: &str, class: Class, service: Duration, deadline: Instant) -> Ticket {
    Ticket {
        request: id::Request::new(number),
        owner: owner.parse().expect("an owner"),
        class,
        weight: 1,
        deadline,
        service,
        tail: service,
        size: Bytes::new(1_000),
        arrived: deadline - 600 * SECOND,
    }
}

fn owners(queue: &mut Queue, now: Instant, capacity: &Capacity, count: usize) -> Vec<String> {
    (0..count)
        .filter_map(|_| queue.pop(now, capacity))
        .map(|ticket| ticket.owner.to_string())
        .collect()
}

#[test]
fn backlog_of_one_owner_does_not_delay_others() {
    // Guards against one owner's backlog delaying the other owners.
    let now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::default();
    for number in 0..100 {
        queue
            .push(ticket(number, "hot", Class::Short, SECOND, now + 600 * SECOND), now)
            .expect("room");
    }
    for number in 100..102 {
        queue
            .push(ticket(number, "calm", Class::Short, SECOND, now + 600 * SECOND), now)
            .expect("room");
    }
    let served = owners(&mut queue, now, &Capacity::new(Slots::new(8)), 4);
    assert_eq!(served.iter().filter(|owner| *owner == "calm").count(), 2, "{served:?}");
}

#[test]
fn going_idle_does_not_clear_debt() {
    // Guards against an owner that gets ahead of the others by keeping only one request in the queue at a time.
    let now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::default();
    let capacity = Capacity::new(Slots::new(8));
    for number in 0..50 {
        queue
            .push(ticket(number, "backlogged", Class::Short, SECOND, now + 600 * SECOND), now)
            .expect("room");
    }
    let mut served = 0;
    for number in 100..140 {
        let _ = queue
            .push(ticket(number, "intermittent", Class::Short, SECOND, now + 600 * SECOND), now);
        let next = queue.pop(now, &capacity).expect("work");
        served += u32::from(next.owner.as_str() == "intermittent");
    }
    assert!((18..=22).contains(&served), "{served} of 40");
}

#[test]
fn earliest_deadline_goes_first_within_an_owner() {
    let now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::default();
    for (number, seconds) in [(1, 30), (2, 10), (3, 20)] {
        queue
            .push(ticket(number, "one", Class::Short, SECOND, now + seconds * SECOND), now)
            .expect("room");
    }
    let capacity = Capacity::new(Slots::new(1));
    let served: Vec<_> = std::iter::from_fn(|| queue.pop(now, &capacity))
        .map(|ticket| ticket.request.get())
        .collect();
    assert_eq!(served, [2, 3, 1]);
}

#[test]
fn slots_are_reserved_for_short_requests_and_alerts() {
    // Guards against long requests occupying every slot, so that short requests and alerts wait for one to finish.
    let mut now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::default();
    let mut capacity = Capacity::new(Slots::new(8));
    for number in 0..240 {
        let class = if number % 3 == 0 { Class::Alert } else { Class::Short };
        now += SECOND / 3;
        queue
            .push(ticket(number, "one", class, SECOND * 2 / 3, now + 60 * SECOND), now)
            .expect("room");
        assert!(queue.pop(now, &capacity).is_some());
    }
    for number in 300..320 {
        queue
            .push(ticket(number, "one", Class::Long, SECOND, now + 600 * SECOND), now)
            .expect("room");
    }
    while let Some(ticket) = queue.pop(now, &capacity) {
        capacity.started(ticket.class);
    }
    assert_eq!(capacity.busy(), Slots::new(5));
    for (number, class) in [(400, Class::Short), (401, Class::Alert)] {
        queue.push(ticket(number, "one", class, SECOND, now + 5 * SECOND), now).expect("room");
        assert_eq!(queue.pop(now, &capacity).map(|ticket| ticket.class), Some(class));
        capacity.started(class);
    }
}

#[test]
fn single_slot_serves_every_class() {
    let now = Instant::now() + 1_000 * SECOND;
    for class in Class::ALL {
        let mut queue = Queue::default();
        queue.push(ticket(1, "one", class, SECOND, now + 600 * SECOND), now).expect("room");
        assert!(queue.pop(now, &Capacity::new(Slots::new(1))).is_some(), "{class:?}");
    }
}

#[test]
fn batch_requests_are_not_starved() {
    // Guards against starvation of the batch class under a constant load of short requests.
    let now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::default();
    let capacity = Capacity::new(Slots::new(1));
    let draft = ticket(1, "bank", Class::Batch, SECOND, now + 3_600 * SECOND);
    queue.push(draft.clone(), now).expect("room");
    queue.push(ticket(2, "bank", Class::Batch, SECOND, now + 3_600 * SECOND), now).expect("room");
    let mut turns = 0;
    for number in 10..500 {
        queue
            .push(ticket(number, "busy", Class::Short, SECOND, now + 600 * SECOND), now)
            .expect("room");
        turns += u32::from(queue.pop(now, &capacity).expect("work").class == Class::Batch);
    }
    assert_eq!(turns, 2);
}

#[test]
fn expired_request_is_returned_and_never_run() {
    // Guards against running a request whose answer would come too late.
    let now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::default();
    queue.push(ticket(1, "one", Class::Short, SECOND, now + 5 * SECOND), now).expect("room");
    assert_eq!(queue.next_expiry(), Some(now + 4 * SECOND));
    assert!(queue.expired(now + 4 * SECOND).is_empty());
    let late = now + 4 * SECOND + Duration::from_millis(1);
    assert_eq!(queue.pop(late, &Capacity::new(Slots::new(8))), None);
    assert_eq!(queue.expired(late).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn cancelled_request_frees_its_part_of_the_bounds() {
    let now = Instant::now() + 1_000 * SECOND;
    let bounds = Bounds { owner_count: 1, ..Bounds::default() };
    let mut queue = Queue::new(bounds);
    queue.push(ticket(1, "one", Class::Short, SECOND, now + 5 * SECOND), now).expect("room");
    let second = ticket(2, "one", Class::Short, SECOND, now + 5 * SECOND);
    assert_eq!(queue.push(second.clone(), now), Err(Refusal::OwnerFull));
    assert!(queue.cancel(id::Request::new(1)).is_some());
    assert_eq!(queue.push(second, now), Ok(()));
}

#[test]
fn batch_requests_fill_at_most_half_of_the_queue() {
    let now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::new(Bounds { count: 8, ..Bounds::default() });
    for number in 0..4 {
        queue
            .push(ticket(number, "one", Class::Batch, SECOND, now + 500 * SECOND), now)
            .expect("room");
    }
    let further = |class| ticket(9, "one", class, SECOND, now + 500 * SECOND);
    assert_eq!(queue.push(further(Class::Batch), now), Err(Refusal::Full));
    assert_eq!(queue.push(further(Class::Alert), now), Ok(()));
}

#[test]
fn requeued_request_is_not_charged_again() {
    // Guards against charging an owner each time its request is popped and requeued.
    let now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::default();
    let capacity = Capacity::new(Slots::new(8));
    queue.push(ticket(1, "tried", Class::Short, SECOND, now + 600 * SECOND), now).expect("room");
    for _ in 0..100 {
        let tried = queue.pop(now, &capacity).expect("work");
        queue.requeue(tried, now, &capacity);
    }
    for number in 10..20 {
        queue
            .push(ticket(number, "other", Class::Short, SECOND, now + 600 * SECOND), now)
            .expect("room");
        queue
            .push(ticket(number + 100, "tried", Class::Short, SECOND, now + 600 * SECOND), now)
            .expect("room");
    }
    let served = owners(&mut queue, now, &capacity, 6);
    let tried = served.iter().filter(|owner| *owner == "tried").count();
    assert!((3..=4).contains(&tried), "{served:?}");
}
