use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::Freshness;
use super::Proof;
use super::ProofMessage;
use super::max_proof_age;
use crate::unit::Version;

const BOUND: Duration = Duration::from_secs(4);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn proof(revision: u64, at: Instant) -> Proof {
    Proof { revision: Version::new(revision), at }
}

fn held(revision: u64) -> Version {
    Version::new(revision)
}

// Guards against a VM that acts on its configuration indefinitely after it was partitioned.
#[test]
fn without_a_new_proof_the_bound_ends() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    assert!(!freshness.is_within(BOUND, start));
    freshness.observe(proof(3, start), held(3), start);
    assert!(freshness.is_within(BOUND, start + BOUND - millis(1)));
    assert!(!freshness.is_within(BOUND, start + BOUND));
}

// Guards against acting on an older configuration because of a proof for a newer one.
#[test]
fn a_proof_of_a_newer_revision_is_ignored() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.observe(proof(4, start), held(3), start);
    assert!(!freshness.is_within(BOUND, start));
}

// Guards against a late answer replacing a newer proof.
#[test]
fn an_older_proof_does_not_replace_a_newer_one() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.observe(proof(3, start + millis(500)), held(3), start + millis(600));
    freshness.observe(proof(3, start), held(3), start + millis(700));
    assert_eq!(freshness.age(start + millis(1000)), Some(millis(500)));
}

// Guards against proofs from a control VM whose clock is wrong.
#[test]
fn a_proof_from_the_future_is_ignored() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.observe(proof(3, start + millis(1)), held(3), start);
    assert_eq!(freshness.proof(), None);
    let absurd = Proof::from_message(ProofMessage { revision: held(3), lead_ms: i64::MAX }, start);
    absurd.into_iter().for_each(|proof| freshness.observe(proof, held(3), start));
    let ancient = Proof::from_message(ProofMessage { revision: held(3), lead_ms: i64::MIN }, start);
    ancient.into_iter().for_each(|proof| freshness.observe(proof, held(3), start));
    assert!(!freshness.is_within(BOUND, start));
}

#[test]
fn a_proof_is_used_for_less_than_the_promised_time() {
    assert!(max_proof_age(millis(5000)) < millis(5000));
    assert!(max_proof_age(millis(5000)) > millis(4500));
}

proptest! {
    // Guards against a proof that looks younger than it is after being passed on by several VMs with arbitrary delays.
    #[test]
    fn a_proof_passed_along_a_chain_never_looks_younger(
        hops in prop::collection::vec((0_u64..3000, 0_u64..3000, 0_u64..3000), 1..5),
        confirmed_after in 0_u64..500,
    ) {
        let start = Instant::now();
        let mut at = start + millis(confirmed_after);
        let truth = at;
        let mut now = at;
        for (outward, wait, back) in hops {
            // The request may be sent before the answering VM has its proof.
            let sent = now.checked_sub(millis(wait / 2)).unwrap_or(now);
            let arrived = sent + millis(outward);
            let answered = arrived.max(now) + millis(wait);
            let message = proof(1, at).to_message(arrived);
            now = answered + millis(back);
            let received = Proof::from_message(message, sent).unwrap();
            prop_assert!(received.at <= truth);
            let mut freshness = Freshness::default();
            freshness.observe(received, Version::new(1), now);
            prop_assert!(freshness.age(now).unwrap() >= now - truth);
            at = received.at;
        }
    }
}
