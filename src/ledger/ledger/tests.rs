use std::sync::Arc;
use std::time::Duration;

use super::super::Answer;
use super::super::Command;
use super::super::Digest;
use super::super::Finish;
use super::super::Limits;
use super::super::Look;
use super::super::Outcome;
use super::super::Reply;
use super::super::Start;
use super::super::Step;
use super::super::Withdraw;
use super::Ledger;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Version;

const HOUR: Duration = Duration::from_secs(60 * 60);

pub(super) fn body(number: u8) -> Digest {
    Digest::new([number; 16])
}

pub(super) fn start(key: u8, number: u8, attempt: u128) -> Start {
    Start {
        owner: "prehod".parse().expect("an owner"),
        entry: "drafts".parse().expect("an entry"),
        key: format!("k{key}").parse().expect("a key"),
        body: body(number),
        attempt: id::Attempt::new(attempt),
        vm: "vm0".parse().expect("a VM"),
        incarnation: Incarnation::new(1),
        home_since: Version::new(1),
    }
}

pub(super) fn step(key: u8, attempt: u128) -> Step {
    let start = start(key, 0, attempt);
    Step { owner: start.owner, key: start.key, attempt: start.attempt }
}

fn run(ledger: &mut Ledger, start: Start) -> Reply {
    ledger.apply(&Command::Start(start))
}

fn finish(ledger: &mut Ledger, key: u8, attempt: u128, body: &[u8]) -> Reply {
    let answer = Some(Arc::new(Answer::new(200, "text/plain", body.to_vec())));
    ledger.apply(&Command::Finish(Finish {
        step: step(key, attempt),
        outcome: Outcome::Whole,
        answer,
    }))
}

fn withdraw(ledger: &mut Ledger, key: u8, attempt: u128) -> Reply {
    ledger.apply(&Command::Withdraw(Withdraw { step: step(key, attempt), body: body(0) }))
}

fn advance(ledger: &mut Ledger, elapsed: Duration) {
    ledger.apply(&Command::Advance { elapsed });
}

#[test]
fn resend_joins_and_then_gets_the_answer() {
    let mut ledger = Ledger::default();
    assert_eq!(run(&mut ledger, start(1, 0, 1)), Reply::Granted);
    let running = Reply::Running { vm: "vm0".parse().expect("a VM"), attempt: id::Attempt::new(1) };
    assert_eq!(run(&mut ledger, start(1, 0, 2)), running);
    assert_eq!(run(&mut ledger, start(1, 9, 3)), Reply::Mismatch);
    assert_eq!(finish(&mut ledger, 1, 2, b"crossed"), Reply::Stale);
    assert_eq!(finish(&mut ledger, 1, 1, b"file"), Reply::Done);
    let answer = Some(Arc::new(Answer::new(200, "text/plain", b"file".to_vec())));
    assert_eq!(
        run(&mut ledger, start(1, 0, 4)),
        Reply::Finished { outcome: Outcome::Whole, answer }
    );
}

#[test]
fn withdrawn_start_is_not_granted_when_it_comes_late() {
    // The answer to a start is lost, the start itself is delayed, and the caller is told that nothing ran. The
    // withdrawal commits first; when the start arrives after it, nothing may run.
    let mut ledger = Ledger::default();
    assert_eq!(withdraw(&mut ledger, 1, 1), Reply::Withdrawn);
    assert_eq!(run(&mut ledger, start(1, 0, 1)), Reply::Withdrawn);
    assert_eq!(run(&mut ledger, start(1, 0, 2)), Reply::Granted);
}

#[test]
fn withdrawal_tells_what_another_attempt_came_to() {
    // Two VMs start one key at once and both lose the answer. The one whose attempt was refused withdraws it; its
    // caller must not hear that the request ran nowhere, since the other VM's attempt runs.
    let mut ledger = Ledger::default();
    run(&mut ledger, start(1, 0, 1));
    assert!(matches!(withdraw(&mut ledger, 1, 2), Reply::Running { .. }));
    finish(&mut ledger, 1, 1, b"file");
    assert!(matches!(withdraw(&mut ledger, 1, 3), Reply::Finished { .. }));
}

#[test]
fn lost_vm_leaves_unknown_and_never_a_second_run() {
    // A VM dies in the middle of a request, and the caller resends for days. Each resend hears that the outcome
    // is unknown. The dead VM's own start that was still under way isn't granted, since nobody would end it.
    let mut ledger = Ledger::default();
    run(&mut ledger, start(1, 0, 1));
    let abandon =
        Command::Abandon { vm: "vm0".parse().expect("a VM"), incarnation: Incarnation::new(1) };
    ledger.apply(&abandon);
    assert_eq!(run(&mut ledger, start(1, 0, 2)), Reply::Unknown);
    advance(&mut ledger, 72 * HOUR);
    assert_eq!(run(&mut ledger, start(1, 0, 3)), Reply::Unknown);
    assert_eq!(run(&mut ledger, start(2, 0, 4)), Reply::Abandoned);
    let again = Start { incarnation: Incarnation::new(2), ..start(2, 0, 5) };
    assert_eq!(run(&mut ledger, again), Reply::Granted);
}

#[test]
fn vm_given_up_too_early_may_still_tell_the_outcome() {
    let mut ledger = Ledger::default();
    run(&mut ledger, start(1, 0, 1));
    ledger.apply(&Command::Abandon {
        vm: "vm0".parse().expect("a VM"),
        incarnation: Incarnation::new(1),
    });
    assert_eq!(finish(&mut ledger, 1, 1, b"file"), Reply::Done);
    assert!(matches!(run(&mut ledger, start(1, 0, 2)), Reply::Finished { answer: Some(_), .. }));
}

#[test]
fn old_home_starts_nothing_once_the_new_home_asked() {
    // An entry moves. One VM has heard of it, another has not, and the caller resends its key to both. The first
    // asks this old home and hears that the key is new; if the second could start here after that, both would run.
    let mut ledger = Ledger::default();
    let Start { owner, entry, key, body, .. } = start(1, 0, 1);
    let look = Look { owner, entry, key, body, home_since: Version::new(5) };
    assert_eq!(ledger.peek(&look), Reply::Absent);
    assert_eq!(run(&mut ledger, start(1, 0, 1)), Reply::Granted, "a peek raises no fence");
    ledger.apply(&Command::Release(step(1, 1)));
    assert_eq!(ledger.apply(&Command::Look(look)), Reply::Absent);
    assert_eq!(run(&mut ledger, start(1, 0, 2)), Reply::Moved { home_since: Version::new(5) });
    let back = Start { home_since: Version::new(6), ..start(1, 0, 3) };
    assert_eq!(run(&mut ledger, back), Reply::Granted);
}

#[test]
fn second_start_is_kept_for_its_whole_time() {
    // An attempt is withdrawn, and the key starts again two days later. The end of the first one's time must not
    // forget the second, whose caller may resend for three days more.
    let mut ledger = Ledger::default();
    withdraw(&mut ledger, 1, 1);
    advance(&mut ledger, 48 * HOUR);
    run(&mut ledger, start(1, 0, 2));
    finish(&mut ledger, 1, 2, b"file");
    advance(&mut ledger, 70 * HOUR);
    assert!(matches!(run(&mut ledger, start(1, 0, 3)), Reply::Finished { answer: None, .. }));
    advance(&mut ledger, 4 * HOUR);
    assert_eq!(run(&mut ledger, start(1, 0, 4)), Reply::Granted);
}

#[test]
fn keys_outlive_answers_and_answers_are_bounded() {
    let mut ledger = Ledger::default();
    ledger.apply(&Command::Limit(Limits { answers: 1, fetches: 1, ..Limits::default() }));
    for key in [1, 2] {
        run(&mut ledger, start(key, 0, u128::from(key)));
        finish(&mut ledger, key, u128::from(key), b"file");
    }
    let outcome = Outcome::Whole;
    assert_eq!(run(&mut ledger, start(1, 0, 3)), Reply::Finished { outcome, answer: None });
    assert!(matches!(run(&mut ledger, start(2, 0, 4)), Reply::Finished { answer: Some(_), .. }));
    assert_eq!(run(&mut ledger, start(2, 0, 5)), Reply::Finished { outcome, answer: None });
}
