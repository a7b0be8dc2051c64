use std::time::Duration;

use tokio::time::Instant;

use super::Candidate;
use super::FALLBACK;
use super::FULL_ROSTER;
use super::MIN_RELIABLE_TIME;
use super::MOVE_DELAY;
use super::Sources;
use crate::id;

fn sources(vm: usize) -> Sources {
    Sources::new(format!("entry-{vm}").parse().unwrap())
}

fn control_vms(is_local: impl Fn(usize) -> bool) -> Vec<Candidate> {
    let candidate = |nth: usize| Candidate {
        vm: format!("control-{nth}").parse().unwrap(),
        is_local: is_local(nth),
        is_live: true,
    };
    (0..9).map(candidate).collect()
}

/// Starts with the first three as seeds, and follows the others once they are known.
fn start_and_move(sources: &mut Sources, all: &[Candidate], slot: usize) -> id::Vm {
    let seeds: Vec<Candidate> = all[..3]
        .iter()
        .map(|seed| Candidate { is_local: false, is_live: false, ..seed.clone() })
        .collect();
    let now = Instant::now();
    let mut vm = sources.choose(slot, &seeds, now).unwrap();
    assert!(!sources.should_move(slot, all, Duration::ZERO, now));
    if sources.should_move(slot, all, Duration::ZERO, now + MOVE_DELAY) {
        sources.leave(slot);
        vm = sources.choose(slot, all, now + MOVE_DELAY).unwrap();
    }
    assert!(!sources.should_move(slot, all, Duration::ZERO, now + 2 * MOVE_DELAY));
    vm
}

// Guards against three control VMs that serve the whole fleet because they were its seeds.
#[tokio::test(start_paused = true)]
async fn followers_spread_over_the_control_vms_of_their_region() {
    let all = control_vms(|nth| nth % 3 == 2);
    let mut followers = std::collections::BTreeMap::new();
    for vm in 0..300 {
        let source = start_and_move(&mut sources(vm), &all, FULL_ROSTER);
        *followers.entry(source).or_insert(0) += 1;
    }
    assert_eq!(followers.len(), 3, "only local ones are followed: {followers:?}");
    assert!(followers.values().all(|count| (70..130).contains(count)), "{followers:?}");
}

// Guards against interrupting a subscription again and again for a control VM that can't be reached from here.
#[tokio::test(start_paused = true)]
async fn a_failed_control_vm_is_not_moved_to_for_a_while() {
    let all = control_vms(|nth| nth == 5);
    let mut sources = sources(0);
    let now = Instant::now();
    assert_eq!(sources.choose(FULL_ROSTER, &all, now), Some(all[5].vm.clone()));
    sources.fail(FULL_ROSTER, now);
    let other = sources.choose(FULL_ROSTER, &all, now).unwrap();
    assert_ne!(other, all[5].vm);
    let mut moved_after = Duration::ZERO;
    while !sources.should_move(FULL_ROSTER, &all, Duration::ZERO, now + moved_after) {
        moved_after += Duration::from_millis(100);
        assert!(moved_after < Duration::from_secs(60), "it never moves back");
    }
    assert!(moved_after >= MIN_RELIABLE_TIME + MOVE_DELAY);
}

// Guards against serving an outdated document when both followed control VMs are on the minority
// side of a network partition.
#[test]
fn a_third_control_vm_is_followed_while_two_are_out_of_touch() {
    let mut sources = sources(0);
    assert!(sources.record_freshness(0, true));
    assert!(!sources.needs(FALLBACK));
    assert!(sources.record_freshness(0, false));
    assert!(sources.record_freshness(1, false));
    assert!(sources.needs(FALLBACK) && sources.needs(0));
    assert!(
        !sources.record_freshness(FALLBACK, false),
        "one that is out of touch itself is left at once"
    );
    assert!(sources.record_freshness(FALLBACK, true));
    assert!(sources.record_freshness(1, true));
    assert!(!sources.record_freshness(FALLBACK, true));
    assert!(!sources.needs(FALLBACK));
}

// Guards against each routing state reaching each VM twice, and against waiting for a first source that lags.
#[test]
fn routing_states_come_from_the_first_source_while_it_is_up_to_date() {
    let mut sources = sources(0);
    assert!(!sources.defers_routing(1));
    sources.record_freshness(0, true);
    assert!(sources.defers_routing(1) && sources.defers_routing(FALLBACK));
    assert!(!sources.defers_routing(0));
    sources.record_freshness(0, false);
    assert!(!sources.defers_routing(1));
}

// Guards against asking the same outdated control VM again and again while others are up to date.
#[tokio::test(start_paused = true)]
async fn fallback_tries_another_control_vm_each_time() {
    let all = control_vms(|_| false);
    let mut sources = sources(0);
    let now = Instant::now();
    let first = sources.choose(FALLBACK, &all, now).unwrap();
    sources.pass_over(FALLBACK, now);
    let second = sources.choose(FALLBACK, &all, now).unwrap();
    assert_ne!(first, second);
    sources.pass_over(FALLBACK, now);
    assert!(
        sources.choose(FALLBACK, &all, now).is_some_and(|third| third != first && third != second)
    );
}
