//! The catalogue against an oracle that keeps every content it ever had.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::sample::select;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use super::super::Change;
use super::super::Command;
use super::super::Delta;
use super::super::Edit;
use super::super::Entry;
use super::super::Progress;
use super::super::Reply;
use super::super::View;
use super::super::operations::KEPT_TIME;
use super::Catalogue;
use super::PAST_HOME_TIME;
use super::tests::entry;
use crate::fuzz;
use crate::id;
use crate::unit::Version;

const VIEWS: usize = 3;
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Each name's entry and version.
type Content = BTreeMap<id::Entry, (u64, Option<Arc<Entry>>)>;

#[derive(Debug, Clone)]
enum Transition {
    Change(Change),
    Days(u32),
    /// A view asks another one, or the catalogue itself, for what it lacks.
    Pull {
        view: usize,
        from: usize,
    },
    /// A delta of long ago arrives (again) at a view.
    Late {
        view: usize,
        delta: usize,
    },
    /// Every replica restarts from a snapshot.
    Restart,
}

/// All that was ever true, kept without any bound.
#[derive(Debug, Clone, Default)]
struct Oracle {
    now: Duration,
    contents: Vec<Content>,
    /// Each operation's change, when it was answered, and the version if it was accepted.
    operations: BTreeMap<id::Operation, (Change, Duration, Option<u64>)>,
    homes: BTreeMap<id::Entry, Vec<(id::Region, Duration)>>,
    expected: Option<Expected>,
}

#[derive(Debug, Clone, PartialEq)]
enum Expected {
    Accepted(u64),
    Conflict,
    Reused,
}

impl Oracle {
    fn content(&self) -> Content {
        self.contents.last().cloned().unwrap_or_default()
    }

    fn change(&mut self, change: &Change) -> Expected {
        let recent =
            self.operations.get(&change.operation).filter(|(_, at, _)| self.now - *at < KEPT_TIME);
        if let Some((first, _, version)) = recent {
            let again = version.map_or(Expected::Conflict, Expected::Accepted);
            return if first == change { again } else { Expected::Reused };
        }
        let expected = self.decide(change);
        let version = if let Expected::Accepted(version) = expected { Some(version) } else { None };
        self.operations.insert(change.operation, (change.clone(), self.now, version));
        expected
    }

    fn decide(&mut self, change: &Change) -> Expected {
        let mut content = self.content();
        let name = change.edit.name().clone();
        let (version, before) = content.get(&name).cloned().unwrap_or_default();
        if version != change.replaces.get() {
            return Expected::Conflict;
        }
        let next = self.contents.len() as u64;
        let after = change.edit.content().cloned();
        if let Some(home) = before.as_deref().and_then(|entry| entry.home.region()) {
            let homes = self.homes.entry(name.clone()).or_default();
            homes.retain(|(region, _)| region != home);
            homes.push((home.clone(), self.now));
        }
        content.insert(name, (next, after));
        self.contents.push(content);
        Expected::Accepted(next)
    }

    /// The regions that may still hold keys of a name, the present home left out.
    fn past_homes(&self, name: &id::Entry) -> Vec<id::Region> {
        let content = self.content();
        let home =
            content.get(name).and_then(|(_, entry)| entry.as_deref()?.home.region().cloned());
        let homes = self.homes.get(name).cloned().unwrap_or_default();
        let recent = homes.into_iter().filter(|(_, left)| self.now - *left < PAST_HOME_TIME);
        let mut regions: Vec<_> = recent
            .map(|(region, _)| region)
            .filter(|region| Some(region) != home.as_ref())
            .collect();
        regions.sort();
        regions
    }

    /// Advancing also makes a version when a past home expires.
    fn advance(&mut self, elapsed: Duration) {
        let names: Vec<id::Entry> = self.homes.keys().cloned().collect();
        let before: Vec<_> = names.iter().map(|name| self.past_homes(name)).collect();
        self.now += elapsed;
        let after: Vec<_> = names.iter().map(|name| self.past_homes(name)).collect();
        if before != after {
            self.contents.push(self.content());
        }
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self { contents: vec![Content::new()], ..Self::default() }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Transition> {
        let version = state.contents.len() as u64;
        let known: Vec<Change> =
            state.operations.values().map(|(change, ..)| change.clone()).collect();
        let names = ["a", "b", "c"].map(|name| name.parse::<id::Entry>().expect("a name"));
        let current = state.content();
        let edit =
            (select(names.to_vec()), 0_u8..4, 0_u8..5).prop_map(|(name, home, kind)| match kind {
                0 => Edit::Delete(name),
                _ => Edit::Put(Arc::new(entry(name.as_str(), home))),
            });
        let fresh = (0_u128..60, edit, 0..version, 0_u8..4).prop_map(
            move |(operation, edit, stale, dice)| {
                let seen = current.get(edit.name()).map_or(0, |(version, _)| *version);
                let replaces = if dice == 0 { stale } else { seen };
                Change::new(id::Operation::new(operation), Version::new(replaces), edit)
            },
        );
        let mut resends: Vec<Transition> = known.into_iter().map(Transition::Change).collect();
        resends.push(Transition::Restart);
        prop_oneof![
            6 => fresh.prop_map(Transition::Change),
            2 => select(resends),
            1 => (1_u32..4).prop_map(Transition::Days),
            4 => (0..VIEWS, 0..=VIEWS).prop_map(|(view, from)| Transition::Pull { view, from }),
            2 => (0..VIEWS, 0_usize..40).prop_map(|(view, delta)| Transition::Late { view, delta }),
            1 => Just(Transition::Restart),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        state.expected = match transition {
            Transition::Change(change) => Some(state.change(change)),
            Transition::Days(days) => {
                state.advance(DAY * *days);
                None
            }
            _ => None,
        };
        state
    }
}

#[derive(Debug, Default)]
struct System {
    catalogue: Catalogue,
    views: [View; VIEWS],
    deltas: Vec<Delta>,
}

impl System {
    fn take(&mut self, view: usize, delta: &Delta) {
        let before = self.views[view].version();
        let progress = self.views[view].apply(delta);
        let after = self.views[view].version();
        assert!(after >= before, "a view stepped back");
        assert_eq!(progress == Progress::Moved, after > before);
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self::default()
    }

    fn apply(mut state: Self, oracle: &Oracle, transition: Transition) -> Self {
        match transition {
            Transition::Change(change) => {
                let got = match state.catalogue.apply(&Command::Change(change)) {
                    Reply::Accepted { version } => Expected::Accepted(version.get()),
                    Reply::Conflict { .. } => Expected::Conflict,
                    Reply::Reused => Expected::Reused,
                    other => panic!("no answer to a change: {other:?}"),
                };
                assert_eq!(Some(got), oracle.expected);
            }
            Transition::Days(days) => {
                state.catalogue.apply(&Command::Advance { elapsed: DAY * days });
            }
            Transition::Pull { view, from } => {
                let have = state.views[view].version();
                let source = state.views.get(from).unwrap_or(state.catalogue.view());
                if let Some(delta) = source.delta(have) {
                    state.take(view, &delta);
                    state.deltas.push(delta);
                }
            }
            Transition::Late { view, delta } => {
                if let Some(delta) = state.deltas.get(delta).cloned() {
                    state.take(view, &delta);
                }
            }
            Transition::Restart => {
                let mut bytes = Vec::new();
                ciborium::into_writer(&state.catalogue, &mut bytes).expect("encodes");
                let restored: Catalogue = ciborium::from_reader(bytes.as_slice()).expect("decodes");
                assert_eq!(restored, state.catalogue);
                state.catalogue = restored;
            }
        }
        state
    }

    fn check_invariants(state: &Self, oracle: &Oracle) {
        for view in state.views.iter().chain([state.catalogue.view()]) {
            let version = usize::try_from(view.version().get()).expect("few versions");
            let content: Content = view
                .records()
                .map(|record| (record.name.clone(), (record.version.get(), record.entry.clone())))
                .collect();
            assert_eq!(
                content, oracle.contents[version],
                "not what was accepted as version {version}"
            );
        }
        let newest = state.catalogue.view();
        assert_eq!(newest.version().get() + 1, oracle.contents.len() as u64);
        for record in newest.records() {
            let mut homes: Vec<_> =
                record.past_homes.iter().map(|past| past.region.clone()).collect();
            homes.sort();
            assert_eq!(homes, oracle.past_homes(&record.name), "homes of {}", record.name);
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(300))]

    #[test]
    fn accepted_changes_stay_and_views_move_forward(sequential 1..60 => System);
}
