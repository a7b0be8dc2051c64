use std::time::Duration;

use super::Step;
use super::Steps;
use crate::consensus::Members;
use crate::consensus::Phase;
use crate::consensus::Position;
use crate::consensus::Repairs;
use crate::consensus::Role;
use crate::group::Fetched;
use crate::group::Fetches;
use crate::group::Refusals;
use crate::group::SlowWrites;
use crate::group::Stage;
use crate::group::Status;
use crate::id;
use crate::unit::Index;
use crate::unit::Term;

pub(in crate::control) const OWN: id::Replica = id::Replica::new(1);

pub(in crate::control) fn status() -> Status {
    Status {
        id: OWN,
        term: Term::ZERO,
        leader: None,
        leads: false,
        commit: Index::ZERO,
        applied: Index::ZERO,
        snapshot: Position::default(),
        log_bytes: 0,
        members: Members::default(),
        settled: true,
        repairs: Repairs::default(),
        waiting: 0,
        pending: 0,
        dropped: 0,
        slow_writes: SlowWrites::default(),
        phase: Phase::Follower,
        fetches: Fetches::default(),
        refusals: Refusals::default(),
    }
}

fn fetched(stage: Stage) -> Fetched {
    let from = id::Replica::new(2);
    Fetched { from, stage, bytes: 5, requests: 1, took: Duration::ZERO }
}

// Guards against a newcomer whose record does not tell where on its way to a seat it stood still.
#[test]
fn each_step_is_told_once() {
    let mut status = status();
    let mut steps = Steps::new(&status);
    assert_eq!(steps.observe(&status), []);
    status.members = Members::new([id::Replica::new(2)]).with_member(OWN, Role::Learner);
    assert_eq!(steps.observe(&status), [Step::Role(Some(Role::Learner))]);
    for stage in [Stage::Begun, Stage::Received, Stage::Installed] {
        status.fetches = Fetches { count: 1, last: Some(fetched(stage)) };
        assert_eq!(steps.observe(&status), [Step::Fetch(fetched(stage))]);
        status.commit = status.commit.next();
        assert_eq!(steps.observe(&status), []);
    }
    status.members = status.members.with_member(OWN, Role::Voter);
    assert_eq!(steps.observe(&status), [Step::Role(Some(Role::Voter))]);
}

// Guards against a second fetch that goes unnoticed since it ends as the first did.
#[test]
fn a_fetch_that_fails_again_is_told_again() {
    let mut status = status();
    let mut steps = Steps::new(&status);
    for count in 1..=2 {
        status.fetches = Fetches { count, last: Some(fetched(Stage::Failed)) };
        assert_eq!(steps.observe(&status), [Step::Fetch(fetched(Stage::Failed))]);
    }
}

// Guards against lines for a voter that restarts with its disk.
#[test]
fn a_voter_that_restarts_takes_no_step() {
    let status = Status { members: Members::new([OWN]), ..status() };
    assert_eq!(Steps::new(&status).observe(&status), []);
}
