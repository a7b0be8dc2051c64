use std::sync::Arc;
use std::time::Duration;

use super::super::Change;
use super::super::Class;
use super::super::Command;
use super::super::Edit;
use super::super::Entry;
use super::super::Home;
use super::super::Invalid;
use super::super::Kind;
use super::super::Limits;
use super::super::Preference;
use super::super::Progress;
use super::super::Repeat;
use super::super::Reply;
use super::super::View;
use super::Catalogue;
use super::PAST_HOME_TIME;
use super::TRACES_KEPT;
use crate::id;
use crate::unit::Rate;
use crate::unit::Version;

/// An entry at home in one of three regions, or anywhere.
pub(super) fn entry(name: &str, home: u8) -> Entry {
    let regions = ["gulf", "piedmont", "delta"];
    let region = regions.get(usize::from(home)).map(|region| region.parse().expect("a region"));
    Entry {
        name: name.parse().expect("a name"),
        owner: "bayou".parse().expect("an owner"),
        class: Class::Short,
        kind: Kind::Engine { models: vec!["storm".parse().expect("a model")] },
        home: region.map_or(Home::Anywhere, Home::Bound),
        limits: Limits {
            requests: Rate::per_second(1.0),
            tokens: Rate::per_second(1.0),
            concurrency: 1,
        },
        deadline: Duration::from_secs(30),
        repeat: Repeat::Allowed,
        prefers: Preference::Latency,
        weight: 1,
        tokens: Vec::new(),
    }
}

fn put(operation: u128, replaces: u64, entry: Entry) -> Command {
    let edit = Edit::Put(Arc::new(entry));
    Command::Change(Change::new(id::Operation::new(operation), Version::new(replaces), edit))
}

fn delete(operation: u128, replaces: u64, name: &str) -> Command {
    let edit = Edit::Delete(name.parse().expect("a name"));
    Command::Change(Change::new(id::Operation::new(operation), Version::new(replaces), edit))
}

fn accepted(version: u64) -> Reply {
    Reply::Accepted { version: Version::new(version) }
}

#[test]
fn race_under_one_version_has_one_winner() {
    // Two operators read version 1 and both replace it. The first change in the log wins; the second operator gets
    // a conflict that shows the winner, and the same conflict again when it resends after a lost answer, though
    // the entry has moved on since.
    let mut catalogue = Catalogue::default();
    assert_eq!(catalogue.apply(&put(1, 0, entry("a", 0))), accepted(1));
    assert_eq!(catalogue.apply(&put(2, 1, entry("a", 1))), accepted(2));
    let lost = put(3, 1, entry("a", 2));
    let first = catalogue.apply(&lost);
    let Reply::Conflict { winner: Some(winner) } = &first else { panic!("no conflict: {first:?}") };
    assert_eq!(winner.version, Version::new(2));
    assert_eq!(winner.entry.as_deref(), Some(&entry("a", 1)));
    assert_eq!(catalogue.apply(&put(4, 2, entry("a", 0))), accepted(3));
    assert_eq!(catalogue.apply(&lost), first);
}

#[test]
fn changes_of_other_entries_do_not_conflict() {
    let mut catalogue = Catalogue::default();
    assert_eq!(catalogue.apply(&put(1, 0, entry("a", 0))), accepted(1));
    assert_eq!(catalogue.apply(&put(2, 0, entry("b", 0))), accepted(2));
    assert_eq!(catalogue.apply(&put(3, 1, entry("a", 1))), accepted(3));
}

#[test]
fn entry_made_again_has_a_higher_version() {
    // An entry is deleted and made again. A late change that replaces the first one's version must not hit the
    // second one, so versions go on counting over the deletion.
    let mut catalogue = Catalogue::default();
    catalogue.apply(&put(1, 0, entry("a", 0)));
    assert_eq!(catalogue.apply(&delete(2, 1, "a")), accepted(2));
    assert!(matches!(
        catalogue.apply(&put(3, 0, entry("a", 0))),
        Reply::Conflict { winner: Some(_) }
    ));
    assert_eq!(catalogue.apply(&put(4, 2, entry("a", 0))), accepted(3));
    assert!(matches!(catalogue.apply(&put(5, 1, entry("a", 1))), Reply::Conflict { .. }));
}

#[test]
fn old_home_is_listed_until_its_keys_expire() {
    // A key starts in gulf, then the entry moves to delta, and the caller resends. Asked nowhere else, delta would
    // run the request a second time. So gulf stays listed for longer than its ledger keeps keys.
    let mut catalogue = Catalogue::default();
    catalogue.apply(&put(1, 0, entry("a", 0)));
    catalogue.apply(&put(2, 1, entry("a", 2)));
    let name = "a".parse().expect("a name");
    let record = catalogue.view().record(&name).cloned().expect("a record");
    assert_eq!(record.home_since, Version::new(2));
    assert_eq!(record.past_homes[0].region.as_str(), "gulf");
    catalogue.apply(&Command::Advance { elapsed: PAST_HOME_TIME });
    let after = catalogue.view().record(&name).expect("a record");
    assert!(after.past_homes.is_empty());
    assert_eq!(after.version, record.version);
    assert!(after.updated > record.updated);
}

#[test]
fn refuses_at_most_once_without_a_home() {
    let mut catalogue = Catalogue::default();
    let nowhere = Entry { repeat: Repeat::Never, ..entry("a", 9) };
    assert_eq!(catalogue.apply(&put(1, 0, nowhere)), Reply::Invalid(Invalid::HomeMissing));
}

#[test]
fn view_behind_the_forgotten_traces_gets_everything() {
    // A VM was cut off while thousands of entries came and went. The traces of the deletions it missed are
    // forgotten, so a list of changes would leave deleted entries in force on it for ever.
    let mut catalogue = Catalogue::default();
    catalogue.apply(&put(1, 0, entry("kept", 0)));
    catalogue.apply(&put(2, 0, entry("gone", 0)));
    let mut view = View::default();
    view.apply(&catalogue.view().delta(Version::ZERO).expect("a delta"));
    catalogue.apply(&delete(3, 2, "gone"));
    catalogue.apply(&Command::Advance { elapsed: PAST_HOME_TIME });
    for count in 0..=TRACES_KEPT as u64 {
        let (operation, version) =
            (u128::from(count) * 2 + 10, catalogue.view().version().get() + 1);
        let name = format!("e{count}");
        catalogue.apply(&put(operation, 0, entry(&name, 9)));
        catalogue.apply(&delete(operation + 1, version, &name));
    }
    let delta = catalogue.view().delta(view.version()).expect("a delta");
    assert!(delta.whole);
    assert_eq!(view.apply(&delta), Progress::Moved);
    assert_eq!(&view, catalogue.view());
    assert_eq!(view.entry(&"gone".parse().expect("a name")), None);
}
