use std::time::Duration;

use tokio::time::Instant;
use yare::parameterized;

use super::Pacer;
use super::Sender;
use super::Turns;
use crate::decide::sharing::Key;
use crate::id;
use crate::unit::Rate;

const SECOND: Duration = Duration::from_secs(1);

fn turns(rate: f64) -> Turns {
    let key = Key::new(&"upstream".parse().unwrap(), 1);
    let turn = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX);
    Turns { key, rate: Rate::per_second(rate), validity: turn.max(Duration::from_millis(400)) }
}

fn names(count: usize) -> Vec<id::Vm> {
    (0..count).map(|nth| format!("10.0.{}.{}", nth / 250, nth % 250).parse().unwrap()).collect()
}

/// The most that a cold upstream may receive in a second.
fn bound(rate: f64) -> f64 {
    rate * 1.5 + 3.0
}

/// All VMs send whenever they may, in 8 s with the given steps.
fn play(
    turns: &Turns,
    count: usize,
    step: Duration,
    view: impl Fn(usize, Duration) -> Sender,
) -> Vec<Duration> {
    let start = epoch();
    let mut pacers: Vec<Pacer> = (0..count).map(|_| Pacer::default()).collect();
    let mut sent = Vec::new();
    let mut at = Duration::ZERO;
    while at < SECOND * 8 {
        for (nth, pacer) in pacers.iter_mut().enumerate() {
            let sender = view(nth, at);
            while pacer.allows(turns, &sender, start + at) {
                pacer.record_sent(turns, &sender, start + at);
                sent.push(at);
            }
        }
        at += step;
    }
    sent
}

/// An instant that is the same for all VMs of a test.
fn epoch() -> Instant {
    static EPOCH: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *EPOCH.get_or_init(Instant::now)
}

fn most_in_a_second(sent: &[Duration]) -> usize {
    let ends = sent.iter().map(|from| sent.partition_point(|at| *at < *from + SECOND));
    ends.enumerate().map(|(begin, end)| end - begin).max().unwrap_or(0)
}

// Guards against a limit that is kept by each VM but not by the sum, and against one of which little can be used.
#[parameterized(
    one = { 1, 6.6 },
    one_slow = { 1, 0.5 },
    one_fast = { 1, 1000.0 },
    two = { 2, 6.6 },
    three_fast = { 3, 50.0 },
    fourteen = { 14, 6.6 },
    fourteen_slow = { 14, 0.5 },
    fourteen_fast = { 14, 1000.0 },
    a_hundred = { 100, 6.6 },
    a_hundred_fast = { 100, 50.0 },
    a_fleet = { 985, 6.6 },
    a_fleet_fast = { 985, 300.0 },
)]
fn the_sum_over_all_vms_is_near_the_rate(count: usize, rate: f64) {
    let names = names(count);
    let senders: Vec<Sender> =
        names.iter().map(|own| Sender::new(own.clone(), &names, epoch())).collect();
    let step = Duration::from_millis(if count > 100 { 40 } else { 5 });
    let sent = play(&turns(rate), count, step, |nth, _| senders[nth].clone());
    let most = most_in_a_second(&sent);
    assert!(most as f64 <= bound(rate), "{most} in a second");
    assert!(sent.len() as f64 >= 8.0 * rate * 0.5, "{} in eight seconds", sent.len());
}

// Guards against turns that are taken again whenever a VM's view of the others changes.
#[parameterized(two = { 2 }, fourteen = { 14 }, a_hundred = { 100 })]
fn a_change_of_the_view_gives_no_turn_twice(count: usize) {
    let names = names(count);
    let views: Vec<Sender> = [1, count / 2, count, count / 3, count]
        .iter()
        .map(|known| Sender::new(names[0].clone(), &names[..*known], epoch()))
        .collect();
    let view = |_: usize, at: Duration| views[at.as_millis() as usize / 50 % views.len()].clone();
    let sent = play(&turns(6.6), 1, Duration::from_millis(5), view);
    let most = most_in_a_second(&sent);
    assert!(most as f64 <= 6.6 * 1.4 + 1.0, "{most} in a second");
}

// Guards against a burst while a VM joins: half of the VMs know it already.
#[parameterized(three = { 3 }, fourteen = { 14 }, a_hundred = { 100 }, a_fleet = { 985 })]
fn a_vm_that_half_of_the_others_know_adds_little(count: usize) {
    let names = names(count);
    let known = |nth: usize| if nth.is_multiple_of(2) { &names[..] } else { &names[..count - 1] };
    let senders: Vec<Sender> =
        (0..count).map(|nth| Sender::new(names[nth].clone(), known(nth), epoch())).collect();
    let step = Duration::from_millis(if count > 100 { 40 } else { 5 });
    let sent = play(&turns(6.6), count, step, |nth, _| senders[nth].clone());
    let most = most_in_a_second(&sent);
    assert!(most as f64 <= bound(6.6), "{most} in a second");
}

// Guards against a VM whose clock is wrong, or that was suspended: its turns overlap those of the others.
#[parameterized(two = { 2 }, three = { 3 }, fourteen = { 14 }, a_hundred = { 100 })]
fn a_vm_with_a_wrong_clock_adds_little(count: usize) {
    let names = names(count);
    for shift in (0..3000).step_by(70).map(Duration::from_millis) {
        let epoch = |nth: usize| if nth == 0 { epoch() + shift } else { epoch() };
        let senders: Vec<Sender> =
            (0..count).map(|nth| Sender::new(names[nth].clone(), &names, epoch(nth))).collect();
        let step = Duration::from_millis(10);
        let sent = play(&turns(6.6), count, step, |nth, _| senders[nth].clone());
        let most = most_in_a_second(&sent);
        assert!(most as f64 <= bound(6.6), "{most} in a second, shift {shift:?}");
    }
}

// Guards against VMs that have just started and send as if they were alone.
#[test]
fn a_vm_has_no_turn_until_it_knows_the_others() {
    let now = epoch();
    let sender = Sender::alone(now).with_settled_at(now + SECOND);
    let pacer = Pacer::default();
    assert_eq!(pacer.wait(&turns(6.6), &sender, now), SECOND);
    assert!(!pacer.allows(&turns(6.6), &sender, now + SECOND / 2));
    assert!(pacer.allows(&turns(6.6), &sender, now + SECOND));
}

// Guards against callers who are told to return before the VM's next turn.
#[test]
fn a_request_may_be_sent_after_the_wait() {
    let names = names(5);
    let sender = Sender::new(names[2].clone(), &names, epoch());
    let mut pacer = Pacer::default();
    let mut now = epoch() + SECOND;
    for _ in 0..100 {
        let wait = pacer.wait(&turns(6.6), &sender, now);
        assert!(wait <= SECOND * 2);
        now += wait + Duration::from_millis(1);
        if wait < SECOND * 2 {
            assert!(pacer.allows(&turns(6.6), &sender, now), "after {wait:?}");
            pacer.record_sent(&turns(6.6), &sender, now);
        }
    }
}

/// All VMs of four shards of five.
fn senders_of_four_shards() -> Vec<Sender> {
    let shards: Vec<Vec<id::Vm>> = (0..4)
        .map(|shard| (0..5).map(|nth| format!("vm{shard}-{nth}").parse().unwrap()).collect())
        .collect();
    shards
        .iter()
        .zip(0..)
        .flat_map(|(names, shard)| names.iter().map(move |own| (own, names, shard)))
        .map(|(own, names, shard)| Sender::new(own.clone(), names, epoch()).with_shard(shard, 2))
        .collect()
}

// Guards against places of an upstream that no VM may use, or that two may.
#[test]
fn equal_parts_add_up_to_all_places() {
    let senders = senders_of_four_shards();
    for index in 0..20 {
        let key = Key::new(&format!("u{index}").parse().unwrap(), 1);
        for places in [0, 1, 3, 8, 20, 47, 1000] {
            let parts: Vec<u32> =
                senders.iter().map(|sender| sender.own_part(key, places)).collect();
            assert_eq!(parts.iter().sum::<u32>(), places, "{parts:?} at u{index}");
            let spread = parts.iter().max().unwrap() - parts.iter().min().unwrap();
            assert!(spread <= 2, "{parts:?} of {places} at u{index}");
            let of_shards = senders.iter().step_by(5).map(|one| one.known_part(key, places));
            assert_eq!(of_shards.sum::<u32>(), places);
        }
    }
}

// Guards against turns of a large fleet that no shard has, or that two have.
#[test]
fn each_turn_has_one_owner_among_all_shards() {
    let senders = senders_of_four_shards();
    assert_eq!(senders[0].count(), 20);
    for index in -100..100 {
        let owners = senders.iter().filter(|sender| sender.owns(turns(1.0).key, index)).count();
        assert_eq!(owners, 1, "turn {index}");
    }
}

// Guards against a division by zero, or a wait without end, by absurd rates.
#[test]
fn absurd_rates_leave_a_finite_wait() {
    let names = names(985);
    for rate in [0.0, 1e-300, 1e9, 1e300, f64::MAX] {
        for bits in [0, 16] {
            let sender = Sender::new(names[0].clone(), &names, epoch()).with_shard(0, bits);
            let mut pacer = Pacer::default();
            pacer.record_sent(&turns(rate), &sender, epoch());
            let wait = pacer.wait(&turns(rate), &sender, epoch() + SECOND);
            assert!(wait <= Duration::from_secs(3600), "{wait:?} at {rate}");
        }
    }
}
