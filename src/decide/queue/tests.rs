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
fn hot_owner_waits_for_its_own_work_only() {
    // One owner sends a hundred requests, then another sends two.
    // In arrival order the second owner would wait for all hundred.
    // With a fair order it is served at every second turn.
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
fn going_idle_sheds_no_debt() {
    // An owner keeps one request in the queue at a time and sends the next as soon as one is taken.
    // If an emptied lane were forgotten, it would start anew each time, ahead of the owner that stays.
    // Both must get the same number of turns.
    let now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::default();
    let capacity = Capacity::new(Slots::new(8));
    for number in 0..50 {
        queue
            .push(ticket(number, "stays", Class::Short, SECOND, now + 600 * SECOND), now)
            .expect("room");
    }
    let mut served = 0;
    for number in 100..140 {
        let _ = queue.push(ticket(number, "flits", Class::Short, SECOND, now + 600 * SECOND), now);
        let next = queue.pop(now, &capacity).expect("work");
        served += u32::from(next.owner.as_str() == "flits");
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
fn long_work_leaves_slots_for_short_and_alert_work() {
    // Two lookups and an alert a second were asked for lately; then briefings fill every slot that they may have.
    // Without reserved slots the next lookup and alert would wait for a briefing to end, a minute later.
    // Reserved slots follow the demand: two and some headroom, so both start at once.
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
fn lone_slot_serves_every_class() {
    let now = Instant::now() + 1_000 * SECOND;
    for class in Class::ALL {
        let mut queue = Queue::default();
        queue.push(ticket(1, "one", class, SECOND, now + 600 * SECOND), now).expect("room");
        assert!(queue.pop(now, &Capacity::new(Slots::new(1))).is_some(), "{class:?}");
    }
}

#[test]
fn batch_work_is_not_starved() {
    // Short work that never ends fills the queue; a draft waits beside it.
    // With strict priorities the draft would never start.
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
fn too_late_work_is_handed_back_and_never_run() {
    // A request waits until its deadline can't be met any more; then a slot is free.
    // Running it would spend the slot on an answer that comes late; the caller is told at once.
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
fn cancelled_request_leaves_the_queue_and_its_bounds() {
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
fn batch_work_fills_only_half_of_the_queue() {
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
fn request_that_finds_no_place_isnt_charged_again() {
    // One owner's request may not run on the upstreams that are free; it is tried and put back a hundred times.
    // Were it charged each time, the owner's later requests would wait behind a hundred of the other owner's.
    let now = Instant::now() + 1_000 * SECOND;
    let mut queue = Queue::default();
    let capacity = Capacity::new(Slots::new(8));
    queue.push(ticket(1, "tried", Class::Short, SECOND, now + 600 * SECOND), now).expect("room");
    for _ in 0..100 {
        let tried = queue.pop(now, &capacity).expect("work");
        queue.give_back(tried, now, &capacity);
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
