use std::time::Duration;

use tokio::time::Instant;

use super::Allowance;
use super::Claim;
use super::Grant;
use super::Holding;
use super::Waiters;

fn claim(running: u32, wanted: u32) -> Claim {
    Claim { capacity: 8, running, wanted }
}

/// What a VM is granted beside what others have.
fn grant(running: u32, wanted: u32, others: &[Holding]) -> Grant {
    Holding::grant(&claim(running, wanted), others, true).1
}

/// What a VM has after a claim beside others.
fn holding(running: u32, wanted: u32, others: &[Holding]) -> Holding {
    Holding::grant(&claim(running, wanted), others, true).0
}

#[test]
fn all_vms_together_have_no_more_than_the_slots() {
    let first = holding(0, 5, &[]);
    let second = grant(0, 5, &[first, Holding::unclaimed(1)]);
    assert_eq!(second, Grant { allowance: 2, keeps: true });
}

// Guards against VMs that keep all places for as long as they are busy, while the callers of others wait in vain.
#[test]
fn a_vm_with_more_than_its_part_gives_places_back_if_others_wait() {
    let busy = holding(8, 0, &[]);
    let waiting = holding(0, 3, &[busy]);
    assert_eq!(grant(8, 4, &[waiting]), Grant { allowance: 8, keeps: false });
    assert_eq!(grant(3, 1, &[waiting]), Grant { allowance: 4, keeps: true });
    assert_eq!(grant(0, 3, &[holding(5, 4, &[waiting])]), Grant { allowance: 3, keeps: true });
}

// Guards against a host that takes over and grants what the one before it has granted.
#[test]
fn a_host_that_has_just_begun_grants_nothing_new() {
    let (_, grant) = Holding::grant(&claim(2, 3), &[], false);
    assert_eq!(grant, Grant { allowance: 2, keeps: true });
}

#[tokio::test(start_paused = true)]
async fn what_a_vm_does_not_use_it_has_given_up_with_its_next_claim() {
    let now = Instant::now();
    let mut allowance = Allowance::default();
    assert!(!allowance.permits(0, now));
    allowance.apply(Grant { allowance: 3, keeps: true }, now);
    assert!(allowance.permits(2, now) && !allowance.permits(3, now));
    allowance.give_up(1);
    assert!(!allowance.permits(1, now));
    assert!(!allowance.permits(0, now + Duration::from_secs(1)), "a grant ends by itself");
}

#[tokio::test(start_paused = true)]
async fn a_place_that_others_wait_for_is_given_back_at_its_end() {
    let now = Instant::now();
    let mut allowance = Allowance::default();
    allowance.apply(Grant { allowance: 2, keeps: false }, now);
    assert!(allowance.record_end(true));
    assert!(!allowance.permits(1, now));
}

// Guards against places that nobody uses until the next update while requests of other VMs wait.
#[tokio::test(start_paused = true)]
async fn a_place_that_no_request_waits_for_is_given_back_at_its_end() {
    let now = Instant::now();
    let mut allowance = Allowance::default();
    assert!(!allowance.record_end(false), "nothing was granted");
    allowance.apply(Grant { allowance: 2, keeps: true }, now);
    assert!(!allowance.record_end(true));
    assert!(allowance.record_end(false));
}

// Guards against a VM that keeps a place which was offered to it, although others wait for their equal part.
#[test]
fn an_offered_place_beyond_the_equal_part_is_not_kept_while_others_wait() {
    let all: Vec<Holding> = (0..20).map(|_| holding(0, 1, &[holding(8, 0, &[])])).collect();
    let mut first = all[0];
    assert_eq!(Holding::part(&all), 0);
    assert_eq!(first.grant_one(0, true), Grant { allowance: 1, keeps: false });
    let mut only = all[0];
    assert_eq!(only.grant_one(0, false), Grant { allowance: 1, keeps: true });
}

// Guards against an upstream with less room than slots that refuses as many requests again and again.
#[tokio::test(start_paused = true)]
async fn a_refusal_lowers_the_capacity_for_some_seconds() {
    let now = Instant::now();
    let mut allowance = Allowance::default();
    allowance.record_refusal(8, 8, now);
    assert_eq!(allowance.capacity(8, now), 6);
    assert_eq!(allowance.capacity(8, now + Duration::from_secs(1)), 7);
    allowance.record_refusal(0, 8, now);
    assert_eq!(allowance.capacity(8, now), 1, "one request shows whether there is room again");
    assert_eq!(allowance.capacity(8, now + Duration::from_secs(20)), 8);
}

// Guards against a request that overtakes those that wait, and against urgent ones that wait behind others.
#[test]
fn waiting_requests_go_by_rank_and_arrival() {
    let mut waiters = Waiters::default();
    assert!(waiters.is_next("s", 5, None));
    let (first, second) = (waiters.join("s", 5), waiters.join("s", 5));
    assert!(waiters.is_next("s", 5, Some(first)));
    assert!(!waiters.is_next("s", 5, Some(second)));
    assert!(!waiters.is_next("s", 5, None));
    assert!(waiters.is_next("s", 1, None));
    assert!(waiters.is_next("other", 9, None));
    let urgent = waiters.join("s", 1);
    assert!(waiters.is_next("s", 1, Some(urgent)) && !waiters.is_next("s", 5, Some(first)));
    waiters.leave("s", urgent);
    waiters.leave("s", first);
    assert!(waiters.is_next("s", 5, Some(second)));
    assert_eq!(waiters.count("s"), 1);
}
