use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::Freshness;
use super::Proof;
use super::Told;
use super::usable;
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

// Guards against a VM that goes on with its configuration for ever after it was cut off.
#[test]
fn a_vm_that_hears_nothing_stops_after_the_bound() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    assert!(!freshness.is_within(BOUND, start));
    freshness.take(proof(3, start), held(3), start);
    assert!(freshness.is_within(BOUND, start + BOUND - millis(1)));
    assert!(!freshness.is_within(BOUND, start + BOUND));
}

// Guards against acting by an older configuration on the proof of a newer one.
#[test]
fn a_proof_of_a_newer_revision_proves_nothing_about_an_older_one() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.take(proof(4, start), held(3), start);
    assert!(!freshness.is_within(BOUND, start));
}

// Guards against a late answer of a control VM that lags, which would make a fresh proof old.
#[test]
fn an_older_proof_replaces_no_newer_one() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.take(proof(3, start + millis(500)), held(3), start + millis(600));
    freshness.take(proof(3, start), held(3), start + millis(700));
    assert_eq!(freshness.age(start + millis(1000)), Some(millis(500)));
}

// Guards against a control VM whose clock runs wild and that promises more than anybody can know.
#[test]
fn a_proof_from_the_future_is_not_taken() {
    let start = Instant::now();
    let mut freshness = Freshness::default();
    freshness.take(proof(3, start + millis(1)), held(3), start);
    assert_eq!(freshness.proof(), None);
    let absurd = Proof::of(Told { revision: held(3), lead_ms: i64::MAX }, start);
    absurd.into_iter().for_each(|proof| freshness.take(proof, held(3), start));
    let ancient = Proof::of(Told { revision: held(3), lead_ms: i64::MIN }, start);
    ancient.into_iter().for_each(|proof| freshness.take(proof, held(3), start));
    assert!(!freshness.is_within(BOUND, start));
}

#[test]
fn a_proof_is_used_for_less_than_was_promised() {
    assert!(usable(millis(5000)) < millis(5000));
    assert!(usable(millis(5000)) > millis(4500));
}

proptest! {
    // A chain of VMs asks one after the other; each may stand still between any two steps. Whatever the delays, the last one
    // never takes the proof to be younger than it is.
    #[test]
    fn told_along_a_chain_a_proof_only_ages(
        hops in prop::collection::vec((0_u64..3000, 0_u64..3000, 0_u64..3000), 1..5),
        confirmed_after in 0_u64..500,
    ) {
        let start = Instant::now();
        let mut at = start + millis(confirmed_after);
        let truth = at;
        let mut now = at;
        for (outward, wait, back) in hops {
            // The question may be sent before the answerer has its proof.
            let sent = now.checked_sub(millis(wait / 2)).unwrap_or(now);
            let arrived = sent + millis(outward);
            let answered = arrived.max(now) + millis(wait);
            let told = proof(1, at).tell(arrived);
            now = answered + millis(back);
            let heard = Proof::of(told, sent).unwrap();
            prop_assert!(heard.at <= truth);
            let mut freshness = Freshness::default();
            freshness.take(heard, Version::new(1), now);
            prop_assert!(freshness.age(now).unwrap() >= now - truth);
            at = heard.at;
        }
    }
}
