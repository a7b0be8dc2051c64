use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use yare::parameterized;

use crate::catalogue::Repeat;
use crate::decide::retry::Decision;
use crate::decide::retry::Evidence;
use crate::decide::retry::Failure;
use crate::decide::retry::Layer;
use crate::decide::retry::MAX_ATTEMPTS;
use crate::decide::retry::Ran;
use crate::decide::retry::Reason;
use crate::decide::retry::Retry;
use crate::id;

// Guards against running a request twice that must run at most once, and against reporting that a request did not run
// when it may have.
#[parameterized(
    nothing_sent = { &[Evidence::NothingSent], true, true, Ran::No },
    said_not_run = { &[Evidence::NothingSent, Evidence::SaidNotRun], true, true, Ran::No },
    bytes_sent = { &[Evidence::BytesSent], false, true, Ran::Unknown },
    sent_before = { &[Evidence::BytesSent, Evidence::NothingSent], false, true, Ran::Unknown },
    claim_unsure = { &[Evidence::ClaimUnsure], false, false, Ran::Unknown },
    answer_begun = { &[Evidence::AnswerBegun], false, true, Ran::Unknown },
    passed_on = { &[Evidence::PassedOn], false, false, Ran::Unknown },
)]
fn what_may_be_tried_again(attempts: &[Evidence], once: bool, repeatable: bool, ran: Ran) {
    let (owner, model): (id::Owner, id::Model) =
        ("prehod".parse().unwrap(), "draft".parse().unwrap());
    for (repeat, expected) in [(Repeat::Never, once), (Repeat::Allowed, repeatable)] {
        let failure = Failure {
            owner: &owner,
            model: &model,
            repeat,
            evidence: attempts,
            layer: Layer::First,
            time_left: Duration::from_secs(60),
            expected: Duration::from_secs(1),
        };
        let mut rng = SmallRng::seed_from_u64(1);
        match Retry::new(Instant::now()).decide(&failure, Instant::now(), &mut rng) {
            Decision::Retry { .. } => assert!(expected),
            Decision::GiveUp { reason, ran: told, .. } => {
                assert!(!expected);
                assert_eq!((reason, told), (Reason::MayHaveRun, ran));
            }
        }
    }
    assert_eq!(Ran::after(attempts), ran);
}

#[parameterized(
    forwarded = { Layer::Forwarded, 1, 60, Reason::NotFirstVm },
    often_enough = { Layer::First, MAX_ATTEMPTS, 60, Reason::AttemptLimit },
    too_late = { Layer::First, 1, 1, Reason::Deadline },
)]
fn when_it_is_given_up(layer: Layer, made: u32, left: u64, expected: Reason) {
    let evidence = vec![Evidence::NothingSent; made as usize];
    let failure = Failure {
        owner: &"bayou".parse().unwrap(),
        model: &"storm".parse().unwrap(),
        repeat: Repeat::Allowed,
        evidence: &evidence,
        layer,
        time_left: Duration::from_secs(left),
        expected: Duration::from_secs(1),
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let decision = Retry::new(Instant::now()).decide(&failure, Instant::now(), &mut rng);
    let Decision::GiveUp { reason, ran, retry_after } = decision else { panic!("tried again") };
    assert_eq!((reason, ran), (expected, Ran::No));
    assert!(retry_after >= Duration::from_secs(1) && retry_after <= Duration::from_secs(5));
}
