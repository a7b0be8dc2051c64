use yare::parameterized;

use super::*;

fn id(number: u128) -> id::Replica {
    id::Replica::new(number)
}

fn group() -> Members {
    Members::new([id(1), id(2)]).with_member(id(3), Role::Witness).with_member(id(4), Role::Learner)
}

#[parameterized(
    an_existing_member = { Change::AddLearner(id(1)), Refusal::InvalidTarget },
    a_second_witness = { Change::AddWitness(id(5)), Refusal::WitnessExists },
    a_witness_as_voter = { Change::Promote(id(3)), Refusal::InvalidTarget },
    not_a_learner = { Change::Promote(id(9)), Refusal::InvalidTarget },
    not_a_member = { Change::Remove(id(9)), Refusal::InvalidTarget },
)]
fn refuses(change: Change, refusal: Refusal) {
    assert_eq!(group().with_change(change), Err(refusal));
}

#[test]
fn the_last_data_voter_is_not_removed() {
    let one = Members::new([id(1)]).with_member(id(3), Role::Witness);
    assert_eq!(one.with_change(Change::Remove(id(1))), Err(Refusal::InvalidTarget));
}

#[test]
fn learners_are_in_no_majority() {
    assert_eq!(group().majority(), 2);
    assert!(!group().has_majority(|member| member == id(1) || member == id(4)));
    assert!(group().has_majority(|member| member == id(1) || member == id(3)));
}
