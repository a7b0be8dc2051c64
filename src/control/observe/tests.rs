use super::vacant_seats;
use crate::consensus::Members;
use crate::consensus::Role;
use crate::control::steps::tests::OWN;
use crate::control::steps::tests::status;
use crate::id;

// Guards against a seat that counts as vacant where no replica waits for it, and against followers that report what they
// can't know.
#[test]
fn a_seat_is_vacant_where_a_learner_waits_for_it() {
    let mut status = status();
    let others = |count| (2..=count).map(id::Replica::new);
    status.leads = true;
    status.members = Members::new(others(3)).with_member(OWN, Role::Voter);
    assert_eq!(vacant_seats(&status, 5), 0);
    let learner = id::Replica::new(9);
    status.members = status.members.with_member(learner, Role::Learner);
    assert_eq!(vacant_seats(&status, 5), 1);
    status.members = Members::new(others(5)).with_member(learner, Role::Learner);
    assert_eq!(vacant_seats(&status, 4), 0);
    assert_eq!(vacant_seats(&status, 5), 1);
    status.leads = false;
    assert_eq!(vacant_seats(&status, 5), 0);
}
