use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::Aggregator;
use super::Cursor;
use super::Hosts;
use super::Key;
use super::Load;
use super::MAX_PACES;
use super::Message;
use super::PrefixUse;
use super::RegionEstimate;
use super::SHARDS;
use super::SUMMARY_TTL;
use super::Summary;
use super::UPDATE_INTERVAL;
use super::UPDATE_TTL;
use super::Update;
use super::hosts::MAX_UNANSWERED;
use crate::decide::pace::NOTICE_TTL;
use crate::decide::pace::Notice;
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

fn pace(upstream: u64, percent: u32, age_ms: u64) -> Notice {
    Notice { upstream: key(upstream), percent, age: Duration::from_millis(age_ms) }
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
    // Guards against sums that depend on the order of updates.
    #[test]
    fn loads_are_added_in_any_order(one in load(), two in load(), three in load()) {
        prop_assert_eq!(one.merge(two), two.merge(one));
        prop_assert_eq!(one.merge(two).merge(three), one.merge(two.merge(three)));
        prop_assert_eq!(one.merge(Load::default()), one);
    }

    // Guards against counting lost, repeated or reordered updates twice or not at all.
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
            let answer = host.apply_update(&vm(from), said, now);
            let is_old = newest.get(&from).is_some_and(|last| *last >= number);
            prop_assert_eq!(answer.is_none(), is_old);
            let last = newest.entry(from).or_default();
            *last = number.max(*last);
            let others = newest.iter().filter(|(vm, _)| **vm != from);
            let expected: u32 = others.map(|(vm, number)| value(*vm, *number)).sum();
            prop_assert!(answer.is_none_or(|answer| sum(&answer, key) == expected));
        }
    }

    // Guards against panics on malformed datagrams.
    #[test]
    fn any_bytes_are_a_message_or_none(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        Message::decode(&bytes);
    }

    #[test]
    fn a_message_comes_as_it_was_sent(load in load(), number in any::<u64>(), part in any::<u64>()) {
        let used = PrefixUse { engine: key(2), part, tokens: 13_300 };
        let said = Update { uses: vec![used], ..update(number, &[(key(1), load)]) };
        let message = Message::Update(said);
        prop_assert_eq!(Message::decode(&message.encode()), Some(message));
    }
}

// Guards against applying truncated or implausible updates.
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
        Update { loads: vec![(key(1), unread)], ..sound.clone() },
        Update { paces: vec![pace(1, 250, 0); MAX_PACES + 1], ..sound.clone() },
        Update { shard: 1, loads: Vec::new(), paces: vec![pace(1, 250, 0)], ..sound },
    ];
    for update in bad {
        assert_eq!(Message::decode(&Message::Update(update.clone()).encode()), None, "{update:?}");
    }
}

// Guards against counting a dead VM's requests forever, which leaves an engine idle that looks
// busy.
#[test]
fn a_lost_vm_counts_no_more_after_a_while() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    host.apply_update(&vm(1), update(1, &[(key(1), running(5))]), start);
    let soon = host.apply_update(&vm(2), update(1, &[]), start + UPDATE_TTL / 2).unwrap();
    assert_eq!(sum(&soon, key(1)), 5);
    let later = host.apply_update(&vm(2), update(2, &[]), start + UPDATE_TTL).unwrap();
    assert_eq!(sum(&later, key(1)), 0);
}

// Guards against ignoring a restarted VM, whose sequence numbers begin again.
#[test]
fn another_start_of_a_vm_replaces_the_one_before() {
    let now = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    host.apply_update(&vm(1), update(900, &[(key(1), running(5))]), now);
    let again = Update { start: 2, ..update(1, &[(key(1), running(1))]) };
    assert!(host.apply_update(&vm(1), again, now).is_some());
    let summary = host.apply_update(&vm(2), update(1, &[]), now).unwrap();
    assert_eq!(sum(&summary, key(1)), 1);
}

// Guards against repeated or skipped prefix uses, also after a restart of the host.
#[test]
fn uses_are_told_once() {
    let now = Instant::from_std(std::time::Instant::now());
    let used = |part| PrefixUse { engine: key(1), part, tokens: 10 };
    let mut host = Aggregator::new(7);
    let mut known = Cursor::default();
    let mut heard = Vec::new();
    for round in 1..10 {
        let said = Update { uses: vec![used(round)], ..update(round, &[]) };
        host.apply_update(&vm(1), said, now);
        if round % 3 == 0 {
            let summary =
                host.apply_update(&vm(2), Update { known, ..update(round, &[]) }, now).unwrap();
            heard.extend(summary.uses.iter().map(|used| used.part));
            known = summary.known;
        }
    }
    assert_eq!(heard, (1..10).collect::<Vec<u64>>());
    let mut next = Aggregator::new(8);
    next.apply_update(&vm(1), Update { uses: vec![used(77)], ..update(1, &[]) }, now);
    let summary = next.apply_update(&vm(2), Update { known, ..update(20, &[]) }, now).unwrap();
    assert_eq!(summary.uses, vec![used(77)]);
}

// Guards against VMs that keep using a failed host or disagree on its successor.
#[test]
fn a_lost_host_is_replaced_within_a_bound() {
    let start = Instant::from_std(std::time::Instant::now());
    let vms: Vec<id::Vm> = (0..40).map(vm).collect();
    let mut one = Hosts::new();
    let mut other = Hosts::new();
    for hosts in [&mut one, &mut other] {
        hosts.set_candidates(&vms);
    }
    let first = one.next_target(0, start).unwrap().host;
    assert_eq!(other.next_target(0, start).unwrap().host, first);
    let mut replaced = Vec::new();
    for hosts in [&mut one, &mut other] {
        let targets = (1..20).map(|round| (round, start + UPDATE_INTERVAL * round));
        let mut targets = targets.map(|(round, now)| (round, hosts.next_target(0, now).unwrap()));
        let (round, target) = targets.find(|(_, target)| target.host != first).unwrap();
        assert_eq!(round as usize, MAX_UNANSWERED);
        assert_eq!(target.failed, Some(first.clone()));
        replaced.push(target.host);
    }
    assert_eq!(replaced[0], replaced[1]);
    let later = start + Duration::from_secs(10);
    assert_eq!(one.next_target(0, later).unwrap().host, first);
}

// Guards against using the late answers of a host that was suspended.
#[test]
fn answers_of_a_host_that_stood_still_are_passed_over() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut hosts = Hosts::new();
    hosts.set_candidates(&[vm(1), vm(2)]);
    let target = hosts.next_target(0, start).unwrap();
    let summary = Summary { number: target.number, ..Summary::default() };
    assert!(!hosts.accept_summary(&target.host, &summary, start + SUMMARY_TTL));
    let target = hosts.next_target(0, start + SUMMARY_TTL).unwrap();
    let summary = Summary { number: target.number, ..Summary::default() };
    let stranger = if target.host == vm(1) { vm(2) } else { vm(1) };
    assert!(!hosts.accept_summary(&stranger, &summary, start + SUMMARY_TTL));
    assert!(hosts.accept_summary(&target.host, &summary, start + SUMMARY_TTL));
    assert!(!hosts.accept_summary(&target.host, &summary, start + SUMMARY_TTL), "accepted twice");
}

fn remote(wait: u64, age: u64) -> RegionEstimate {
    RegionEstimate {
        region: "far".parse().unwrap(),
        service: "s".to_owned(),
        urgent: true,
        wait: Duration::from_millis(wait),
        running: 4,
        room: None,
        age: Duration::from_millis(age),
    }
}

// Guards against VMs that all react to a single estimate and swing together.
#[test]
fn what_a_region_tells_is_averaged() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    let mut last = Vec::new();
    for round in 0..40 {
        let wait = if round % 2 == 0 { 100 } else { 300 };
        let said = Update { remotes: vec![remote(wait, 0)], ..update(round + 1, &[]) };
        last = host
            .apply_update(&vm(1), said, start + Duration::from_millis(20) * round as u32)
            .unwrap()
            .remotes;
    }
    let wait = last[0].wait.as_millis();
    assert!((150..250).contains(&wait), "{wait}");
    let later = start + Duration::from_secs(5);
    let summary = host.apply_update(&vm(2), update(1, &[]), later).unwrap();
    assert_eq!(summary.remotes, Vec::new(), "old estimates are dropped");
}

// Guards against a delayed estimate that changes the average.
#[test]
fn an_old_word_of_a_region_changes_nothing() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    let mut tell = |number, remote, at| {
        let said = Update { remotes: vec![remote], ..update(number, &[]) };
        host.apply_update(&vm(1), said, at).unwrap().remotes[0].wait.as_millis()
    };
    let now = start + Duration::from_secs(1);
    assert_eq!(tell(1, remote(100, 0), now), 100);
    assert_eq!(tell(2, remote(900, 500), now), 100);
}

// Guards against an average that shows room for a while after a region has become full.
#[test]
fn the_latest_room_of_a_region_counts() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    let mut last = Vec::new();
    for (number, room, age) in [(1, Some(40), 0), (2, Some(0), 0), (3, Some(40), 500)] {
        let remotes = vec![RegionEstimate { room, ..remote(100, age) }];
        let said = Update { remotes, ..update(number, &[]) };
        let now = start + Duration::from_millis(160) * number as u32;
        last = host.apply_update(&vm(1), said, now).unwrap().remotes;
    }
    assert_eq!(last[0].room, Some(0));
}

// Guards against a VM that sends to a slow upstream because only another VM has heard from it, and against an older report that
// hides a later one.
#[test]
fn the_latest_pace_is_passed_on_to_other_vms() {
    let start = Instant::from_std(std::time::Instant::now());
    let mut host = Aggregator::new(7);
    let said = |number, paces: &[Notice]| Update { paces: paces.to_vec(), ..update(number, &[]) };
    let own = host.apply_update(&vm(1), said(1, &[pace(1, 250, 40)]), start).unwrap();
    assert_eq!(own.paces, [], "not back to the VM that observed it");
    host.apply_update(&vm(2), said(1, &[pace(1, 150, 90), pace(2, 300, 5)]), start);
    let later = start + Duration::from_millis(100);
    let summary = host.apply_update(&vm(3), said(1, &[]), later).unwrap();
    let mut found = summary.paces.clone();
    found.sort_by_key(|notice| notice.percent);
    assert_eq!(found, [pace(1, 250, 140), pace(2, 300, 105)]);
    let message = Message::Summary(summary);
    assert_eq!(Message::decode(&message.encode()), Some(message));
    let over = start + UPDATE_TTL - Duration::from_millis(1);
    host.apply_update(&vm(2), said(2, &[pace(2, 300, NOTICE_TTL.as_millis() as u64)]), over);
    let summary = host.apply_update(&vm(3), said(2, &[]), over).unwrap();
    assert_eq!(summary.paces, [pace(1, 250, 739)], "no paces beyond their age");
}

// Guards against messages that older VMs would read differently, or that grow, although all upstreams are as fast as usual.
#[test]
fn messages_without_paces_are_as_before() {
    let bytes = Message::Update(update(1, &[(key(1), running(3))])).encode();
    assert!(!bytes.windows(2).any(|pair| pair == [0x61, b'v']));
    let with = Update { paces: vec![pace(1, 250, 999); MAX_PACES], ..update(1, &[]) };
    let without = Message::Update(Update { paces: Vec::new(), ..with.clone() }).encode().len();
    let length = Message::Update(with).encode().len();
    assert!(length < without + 12 * MAX_PACES + 8, "{length} bytes for {without}");
}
