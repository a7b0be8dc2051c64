use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::Aggregator;
use super::FRESH;
use super::Hosts;
use super::KEPT;
use super::Key;
use super::Load;
use super::Message;
use super::Position;
use super::ROUND;
use super::Remote;
use super::SHARDS;
use super::Summary;
use super::Update;
use super::Use;
use super::hosts::MISSED;
use crate::id;

fn vm(nth: usize) -> id::Vm {
    format!("vm{nth}").parse().unwrap()
}

/// A key of shard 0.
fn key(nth: u64) -> Key {
    let name: id::Upstream = format!("e{nth}").parse().unwrap();
    (0..).map(|born| Key::new(&name, born)).find(|key| key.shard() == 0).unwrap()
}

fn running(running: u32) -> Load {
    Load { running, ..Load::default() }
}

fn update(number: u64, loads: &[(Key, Load)]) -> Update {
    Update { start: 1, number, loads: loads.to_vec(), ..Update::default() }
}

fn sum(summary: &Summary, key: Key) -> u32 {
    summary.loads.iter().find(|(of, _)| *of == key).map_or(0, |(_, load)| load.running)
}

fn load() -> impl Strategy<Value = Load> {
    let counts = (0u32..1000, 0u32..1000, 0u64..100_000, 0u64..100_000);
    let seen = (0u32..50, 0u32..50, 0u32..2, prop::option::of(0u64..5000), 0u64..5000);
    (counts, seen).prop_map(|((running, unread, tokens, memory), seen)| Load {
        running: running + unread,
        unread,
        unread_tokens: tokens,
        memory,
        answered: seen.0,
        failed: seen.1,
        unreachable: seen.2,
        heard: seen.3.map(Duration::from_millis),
        quiet: Duration::from_millis(seen.4),
    })
}

proptest! {
    // Sums don't depend on the order in which VMs were heard.
    #[test]
    fn loads_are_added_in_any_order(one in load(), two in load(), three in load()) {
        prop_assert_eq!(one.with(two), two.with(one));
        prop_assert_eq!(one.with(two).with(three), one.with(two.with(three)));
        prop_assert_eq!(one.with(Load::default()), one);
    }

    // Updates of three VMs are lost, repeated and overtake each other. What a host says is the sum of the newest update that
    // came of each other VM, whatever came before.
    #[test]
    fn a_host_adds_up_the_newest_update_of_each_vm(
        came in prop::collection::vec((0usize..3, 1u64..12), 1..60)
    ) {
        let now = Instant::from_std(std::time::Instant::now());
        let key = key(1);
        let value = |vm: usize, number: u64| (vm as u32 + 1) * 100 + number as u32;
        let mut host = Aggregator::new(7);
        let mut newest: HashMap<usize, u64> = HashMap::new();
        for (from, number) in came {
            let said = update(number, &[(key, running(value(from, number)))]);
            let answer = host.take(&vm(from), said, now);
            let is_old = newest.get(&from).is_some_and(|last| *last >= number);
            prop_assert_eq!(answer.is_none(), is_old);
            let last = newest.entry(from).or_default();
            *last = number.max(*last);
            let others = newest.iter().filter(|(vm, _)| **vm != from);
            let expected: u32 = others.map(|(vm, number)| value(*vm, *number)).sum();
            prop_assert!(answer.is_none_or(|answer| sum(&answer, key) == expected));
        }
    }

    // Whatever bytes come, they are a message or none; nothing panics.
    #[test]
    fn any_bytes_are_a_message_or_none(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        Message::decode(&bytes);
    }

    #[test]
    fn a_message_comes_as_it_was_sent(load in load(), number in any::<u64>(), part in any::<u64>()) {
        let used = Use { engine: key(2), part, tokens: 13_300 };
        let said = Update { uses: vec![used], ..update(number, &[(key(1), load)]) };
        let message = Message::Update(said);
        prop_assert_eq!(Message::decode(&message.encode()), Some(message));
    }
}

// A datagram that is cut short, names a shard that there is none of, or tells loads that can't be: it changes nothing.
#[test]
fn messages_without_sense_are_dropped() {
    let sound = update(1, &[(key(1), running(3))]);
    let bytes = Message::Update(sound.clone()).encode();
    assert!(Message::decode(&bytes).is_some());
    assert_eq!(Message::decode(&bytes[..bytes.len() - 2]), None);
    let absurd = Load { running: u32::MAX, ..Load::default() };
    let unread = Load { unread: 5, ..running(2) };
    let bad = [
        Update { shard: SHARDS, ..sound.clone() },
        Update { shard: 1, ..sound.clone() },
        Update { loads: vec![(key(1), absurd)], ..sound.clone() },
        Update { loads: vec![(key(1), unread)], ..sound },
    ];
    for update in bad {
        assert_eq!(Message::decode(&Message::Update(update.clone()).encode()), None, "{update:?}");
    }
}

// A VM is killed with requests at an engine. Its last update must not stand for ever, or the engine would look taken and stay
// idle until the host is lost as well.
#[test]
fn a_lost_vm_counts_no_more_after_a_while() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    host.take(&vm(1), update(1, &[(key(1), running(5))]), start);
    let soon = host.take(&vm(2), update(1, &[]), start + KEPT / 2).unwrap();
    assert_eq!(sum(&soon, key(1)), 5);
    let later = host.take(&vm(2), update(2, &[]), start + KEPT).unwrap();
    assert_eq!(sum(&later, key(1)), 0);
}

// A VM starts again within the time for which its last update counts, and counts its updates from one.
#[test]
fn another_start_of_a_vm_replaces_the_one_before() {
    let now = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    host.take(&vm(1), update(900, &[(key(1), running(5))]), now);
    let again = Update { start: 2, ..update(1, &[(key(1), running(1))]) };
    assert!(host.take(&vm(1), again, now).is_some());
    let summary = host.take(&vm(2), update(1, &[]), now).unwrap();
    assert_eq!(sum(&summary, key(1)), 1);
}

// Two VMs use parts, a third one is told each of them once, also where its updates come rarely. A host that has started again
// numbers its uses anew: all that it knows is told again, and nothing is passed over.
#[test]
fn uses_are_told_once() {
    let now = Instant::from_std(std::time::Instant::now());
    let used = |part| Use { engine: key(1), part, tokens: 10 };
    let mut host = Aggregator::new(7);
    let mut known = Position::default();
    let mut heard = Vec::new();
    for round in 1..10 {
        let said = Update { uses: vec![used(round)], ..update(round, &[]) };
        host.take(&vm(1), said, now);
        if round % 3 == 0 {
            let summary = host.take(&vm(2), Update { known, ..update(round, &[]) }, now).unwrap();
            heard.extend(summary.uses.iter().map(|used| used.part));
            known = summary.known;
        }
    }
    assert_eq!(heard, (1..10).collect::<Vec<u64>>());
    let mut next = Aggregator::new(8);
    next.take(&vm(1), Update { uses: vec![used(77)], ..update(1, &[]) }, now);
    let summary = next.take(&vm(2), Update { known, ..update(20, &[]) }, now).unwrap();
    assert_eq!(summary.uses, vec![used(77)]);
}

// The host of a shard is killed. VMs go on by their own view until it has missed some updates, then all turn to the same next
// one, within a bound; when it is back it is asked again.
#[test]
fn a_lost_host_is_replaced_within_a_bound() {
    let start = Instant::from_std(std::time::Instant::now());
    let vms: Vec<id::Vm> = (0..40).map(vm).collect();
    let mut one = Hosts::new();
    let mut other = Hosts::new();
    for hosts in [&mut one, &mut other] {
        hosts.sync(&vms);
    }
    let first = one.next(0, start).unwrap().host;
    assert_eq!(other.next(0, start).unwrap().host, first);
    let mut replaced = Vec::new();
    for hosts in [&mut one, &mut other] {
        let turns = (1..20).map(|round| (round, start + ROUND * round));
        let mut turns = turns.map(|(round, now)| (round, hosts.next(0, now).unwrap()));
        let (round, turn) = turns.find(|(_, turn)| turn.host != first).unwrap();
        assert_eq!(round as usize, MISSED);
        assert_eq!(turn.lost, Some(first.clone()));
        replaced.push(turn.host);
    }
    assert_eq!(replaced[0], replaced[1]);
    let later = start + Duration::from_secs(10);
    assert_eq!(one.next(0, later).unwrap().host, first);
}

// A host was suspended and wakes up with updates of seconds ago in its queue. Its answers to them tell of requests that have
// long ended; so do answers to updates that another host has answered since.
#[test]
fn answers_of_a_host_that_stood_still_are_passed_over() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut hosts = Hosts::new();
    hosts.sync(&[vm(1), vm(2)]);
    let turn = hosts.next(0, start).unwrap();
    let summary = Summary { number: turn.number, ..Summary::default() };
    assert!(!hosts.answered(&turn.host, &summary, start + FRESH));
    let turn = hosts.next(0, start + FRESH).unwrap();
    let summary = Summary { number: turn.number, ..Summary::default() };
    let stranger = if turn.host == vm(1) { vm(2) } else { vm(1) };
    assert!(!hosts.answered(&stranger, &summary, start + FRESH));
    assert!(hosts.answered(&turn.host, &summary, start + FRESH));
    assert!(!hosts.answered(&turn.host, &summary, start + FRESH), "told twice");
}

fn remote(wait: u64, age: u64) -> Remote {
    Remote {
        region: "far".parse().unwrap(),
        service: "s".to_owned(),
        urgent: true,
        wait: Duration::from_millis(wait),
        running: 4,
        age: Duration::from_millis(age),
    }
}

// VMs hear of another region by turns, each from a VM there that looked at two engines. All act by what the host says: by the
// last word alone they would all leave together, and all stay together.
#[test]
fn what_a_region_tells_is_averaged() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    let mut last = Vec::new();
    for round in 0..40 {
        let wait = if round % 2 == 0 { 100 } else { 300 };
        let said = Update { remotes: vec![remote(wait, 0)], ..update(round + 1, &[]) };
        last = host
            .take(&vm(1), said, start + Duration::from_millis(20) * round as u32)
            .unwrap()
            .remotes;
    }
    let wait = last[0].wait.as_millis();
    assert!((150..250).contains(&wait), "{wait}");
    let later = start + Duration::from_secs(5);
    let summary = host.take(&vm(2), update(1, &[]), later).unwrap();
    assert_eq!(summary.remotes, Vec::new(), "what is old tells nothing");
}

// A statement that was held up on its way moves the average no further.
#[test]
fn an_old_word_of_a_region_changes_nothing() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    let mut tell = |number, remote, at| {
        let said = Update { remotes: vec![remote], ..update(number, &[]) };
        host.take(&vm(1), said, at).unwrap().remotes[0].wait.as_millis()
    };
    let now = start + Duration::from_secs(1);
    assert_eq!(tell(1, remote(100, 0), now), 100);
    assert_eq!(tell(2, remote(900, 500), now), 100);
}
