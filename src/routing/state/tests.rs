use std::sync::Arc;

use super::Accepted;
use super::Command;
use super::State;
use crate::group::Machine;
use crate::routing::Document;
use crate::unit::Version;

fn accepted(version: u64, source: &str) -> Accepted {
    let document = Document { version: Version::new(version), ..Document::default() };
    Accepted { document: Arc::new(document), source: source.into() }
}

// An operator's change is overtaken by a higher number, and then arrives again because its acknowledgement was lost.
// It must be acknowledged, since it was accepted, and it must not take the place of the newer one.
#[test]
fn an_older_document_changes_nothing() {
    let mut state = State::default();
    state.apply(&Command::Replace(accepted(7, "seven")));
    let revision = state.revision();
    assert_eq!(state.apply(&Command::Replace(accepted(5, "five"))), Version::new(7));
    assert_eq!(state.source().as_deref(), Some("seven"));
    assert_eq!(state.revision(), revision);
}

// Two operators race under one number. The first one accepted stays; the other text is never read back.
#[test]
fn the_first_document_of_a_number_stays() {
    let mut state = State::default();
    state.apply(&Command::Replace(accepted(7, "first")));
    state.apply(&Command::Replace(accepted(7, "second")));
    assert_eq!(state.source().as_deref(), Some("first"));
}

#[test]
fn an_evacuation_lasts_until_it_is_withdrawn() {
    let mut state = State::default();
    let place: crate::id::DataCentre = "a".parse().unwrap();
    state.apply(&Command::Evacuate(place.clone()));
    state.apply(&Command::Evacuate(place.clone()));
    assert_eq!(state.revision(), Version::new(1));
    assert!(state.replicated().evacuated.contains(&place));
    state.apply(&Command::Restore(place));
    assert!(state.replicated().evacuated.is_empty());
}
