//! The ledger against an oracle that keeps each key's whole story.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use super::super::Answer;
use super::super::Command;
use super::super::Finish;
use super::super::Limits;
use super::super::Look;
use super::super::Outcome;
use super::super::Reply;
use super::super::Step;
use super::super::Withdraw;
use super::Ledger;
use super::tests::body;
use super::tests::start;
use super::tests::step;
use crate::fuzz;
use crate::id;
use crate::unit::Bytes;
use crate::unit::Incarnation;
use crate::unit::Version;

/// Time passes in eights of hours: no key's age is ever between the time it must be kept for and the time after
/// which its group is surely forgotten, so the oracle needs no groups.
const TICK: Duration = Duration::from_secs(8 * 60 * 60);

const LIMITS: Limits = Limits {
    keep_keys: Duration::from_secs(3 * 24 * 60 * 60),
    keep_answers: Duration::from_secs(16 * 60 * 60),
    answers: 2,
    answer_bytes: Bytes::new(40),
    largest_answer: Bytes::new(30),
    fetches: 2,
};

#[derive(Debug, Clone)]
enum Transition {
    Command(Command),
    Restart,
}

#[derive(Debug, Clone)]
struct Open {
    attempt: id::Attempt,
    body: u8,
    vm: id::Vm,
    incarnation: Incarnation,
    lost: bool,
    since: Duration,
}

#[derive(Debug, Clone)]
struct Kept {
    key: id::Key,
    answer: Arc<Answer>,
    since: Duration,
    fetches: u32,
}

/// The story of each key, without digests, groups or packing.
#[derive(Debug, Clone, Default)]
struct Oracle {
    now: Duration,
    open: BTreeMap<id::Key, Open>,
    ended: BTreeMap<id::Key, (u8, Outcome, Duration)>,
    withdrawn: BTreeMap<id::Key, (BTreeSet<id::Attempt>, Duration)>,
    answers: Vec<Kept>,
    gone: BTreeMap<id::Vm, Incarnation>,
    fence: Version,
    /// Attempts that were granted and neither withdrawn nor released, by key.
    granted: BTreeMap<id::Key, BTreeSet<id::Attempt>>,
    expected: Option<Reply>,
}

impl Oracle {
    fn run(&mut self, command: &Command) -> Reply {
        match command {
            Command::Start(start) => {
                let body = body_number(&start.body);
                if let Some(reply) = self.known(&start.key, body, Some(start.attempt)) {
                    return reply;
                }
                if self
                    .withdrawn
                    .get(&start.key)
                    .is_some_and(|(attempts, _)| attempts.contains(&start.attempt))
                {
                    return Reply::Withdrawn;
                }
                if self.gone.get(&start.vm).is_some_and(|gone| start.incarnation <= *gone) {
                    return Reply::Abandoned;
                }
                if start.home_since < self.fence {
                    return Reply::Moved { home_since: self.fence };
                }
                let open = Open {
                    attempt: start.attempt,
                    body,
                    vm: start.vm.clone(),
                    incarnation: start.incarnation,
                    lost: false,
                    since: self.now,
                };
                self.open.insert(start.key.clone(), open);
                self.granted.entry(start.key.clone()).or_default().insert(start.attempt);
                Reply::Granted
            }
            Command::Finish(finish) => self.finish(finish),
            Command::Withdraw(Withdraw { step, body }) => {
                self.withdraw(step);
                self.known(&step.key, body_number(body), None).unwrap_or(Reply::Withdrawn)
            }
            Command::Release(step) if self.holds(step) => {
                self.withdraw(step);
                Reply::Done
            }
            Command::Release(_) => Reply::Stale,
            Command::Abandon { vm, incarnation } => {
                let gone = self.gone.entry(vm.clone()).or_default();
                *gone = (*incarnation).max(*gone);
                let lost = |open: &&mut Open| open.vm == *vm && open.incarnation <= *incarnation;
                self.open.values_mut().filter(lost).for_each(|open| open.lost = true);
                Reply::Done
            }
            Command::Look(look) => {
                self.fence = self.fence.max(look.home_since);
                self.known(&look.key, body_number(&look.body), None).unwrap_or(Reply::Absent)
            }
            Command::Advance { elapsed } => {
                self.advance(*elapsed);
                Reply::Done
            }
            Command::Limit(_) => Reply::Done,
        }
    }

    fn known(&mut self, key: &id::Key, body: u8, attempt: Option<id::Attempt>) -> Option<Reply> {
        if let Some((first, outcome, _)) = self.ended.get(key).cloned() {
            if first != body {
                return Some(Reply::Mismatch);
            }
            let kept = self
                .answers
                .iter_mut()
                .find(|kept| kept.key == *key && kept.fetches < LIMITS.fetches);
            let answer = kept.map(|kept| {
                kept.fetches += 1;
                kept.answer.clone()
            });
            return Some(Reply::Finished { outcome, answer });
        }
        let open = self.open.get(key)?;
        Some(match open {
            open if open.body != body => Reply::Mismatch,
            open if open.lost => Reply::Unknown,
            open if Some(open.attempt) == attempt => Reply::Granted,
            open => Reply::Running { vm: open.vm.clone(), attempt: open.attempt },
        })
    }

    fn holds(&self, step: &Step) -> bool {
        self.open.get(&step.key).is_some_and(|open| open.attempt == step.attempt)
    }

    fn finish(&mut self, finish: &Finish) -> Reply {
        if !self.holds(&finish.step) {
            return Reply::Stale;
        }
        let key = finish.step.key.clone();
        let open = self.open.remove(&key).expect("held");
        self.ended.insert(key.clone(), (open.body, finish.outcome, open.since));
        let small = |answer: &&Arc<Answer>| answer.size() <= LIMITS.largest_answer.get();
        if let Some(answer) = finish.answer.as_ref().filter(small).cloned() {
            self.answers.retain(|kept| kept.key != key);
            self.answers.push(Kept { key, answer, since: self.now, fetches: 0 });
            self.trim();
        }
        Reply::Done
    }

    fn withdraw(&mut self, step: &Step) {
        if self.holds(step) {
            self.open.remove(&step.key);
        }
        if let Some(attempts) = self.granted.get_mut(&step.key) {
            attempts.remove(&step.attempt);
        }
        let (attempts, since) = self.withdrawn.entry(step.key.clone()).or_default();
        if attempts.insert(step.attempt) {
            *since = self.now;
        }
    }

    fn advance(&mut self, elapsed: Duration) {
        self.now += elapsed;
        let now = self.now;
        let old = |since: Duration| now - since > LIMITS.keep_keys;
        self.ended.retain(|_, (_, _, since)| !old(*since));
        self.withdrawn.retain(|_, (_, since)| !old(*since));
        self.open.retain(|_, open| !open.lost || !old(open.since));
        let open: BTreeSet<id::Key> = self.open.keys().chain(self.ended.keys()).cloned().collect();
        self.granted.retain(|key, _| open.contains(key));
        for open in self.open.values_mut().filter(|open| old(open.since)) {
            open.since = now;
        }
        self.trim();
    }

    fn trim(&mut self) {
        let bytes = |kept: &[Kept]| kept.iter().map(|kept| kept.answer.size()).sum::<u64>();
        while self
            .answers
            .first()
            .is_some_and(|first| self.now - first.since >= LIMITS.keep_answers)
            || self.answers.len() > LIMITS.answers
            || bytes(&self.answers) > LIMITS.answer_bytes.get()
        {
            self.answers.remove(0);
        }
    }
}

fn body_number(digest: &super::super::Digest) -> u8 {
    (0..4).find(|number| body(*number) == *digest).expect("a body of this test")
}

fn command() -> BoxedStrategy<Command> {
    let which = (0_u8..3, 0_u128..8);
    let start = (which.clone(), 0_u8..6, 0_u8..2, 1_u64..3, 0_u64..3).prop_map(
        |((key, attempt), b, vm, inc, home)| {
            let mut start = start(key, u8::from(b == 0), attempt);
            start.vm = format!("vm{vm}").parse().expect("a VM");
            start.incarnation = Incarnation::new(inc);
            start.home_since = Version::new(home);
            start
        },
    );
    let answer = (0_usize..40)
        .prop_map(|size| (size < 36).then(|| Arc::new(Answer::new(200, "t", vec![7; size]))));
    let finish = (which.clone(), answer, 0_u8..4).prop_map(|((key, attempt), answer, dice)| {
        let outcome = if dice == 0 { Outcome::Broken } else { Outcome::Whole };
        Command::Finish(Finish { step: step(key, attempt), outcome, answer })
    });
    let withdraw = (which.clone(), 0_u8..6).prop_map(|((key, attempt), b)| {
        Command::Withdraw(Withdraw { step: step(key, attempt), body: body(u8::from(b == 0)) })
    });
    let look = (start.clone(), 0_u64..3).prop_map(|(start, home)| {
        let home_since = Version::new(home);
        Command::Look(Look {
            owner: start.owner,
            entry: start.entry,
            key: start.key,
            body: start.body,
            home_since,
        })
    });
    let abandon = (0_u8..2, 1_u64..3).prop_map(|(vm, inc)| Command::Abandon {
        vm: format!("vm{vm}").parse().expect("a VM"),
        incarnation: Incarnation::new(inc),
    });
    prop_oneof![
        8 => start.prop_map(Command::Start),
        4 => finish,
        2 => withdraw,
        2 => which.prop_map(|(key, attempt)| Command::Release(step(key, attempt))),
        1 => look,
        1 => abandon,
        2 => (1_u32..6).prop_map(|ticks| Command::Advance { elapsed: TICK * ticks }),
    ]
    .boxed()
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        prop_oneof![20 => command().prop_map(Transition::Command), 1 => Just(Transition::Restart)]
            .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        state.expected = match transition {
            Transition::Command(command) => Some(state.run(command)),
            Transition::Restart => None,
        };
        state
    }
}

#[derive(Debug, Default)]
struct System(Ledger);

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        let mut ledger = Ledger::default();
        ledger.apply(&Command::Limit(LIMITS));
        Self(ledger)
    }

    fn apply(mut state: Self, oracle: &Oracle, transition: Transition) -> Self {
        match transition {
            Transition::Command(command) => {
                if let Command::Look(look) = &command {
                    assert_eq!(Some(state.0.peek(look)), oracle.expected, "before {command:?}");
                }
                let reply = state.0.apply(&command);
                assert_eq!(Some(reply), oracle.expected, "after {command:?}");
            }
            Transition::Restart => {
                let mut bytes = Vec::new();
                ciborium::into_writer(&state.0, &mut bytes).expect("encodes");
                let restored: Ledger = ciborium::from_reader(bytes.as_slice()).expect("decodes");
                assert_eq!(restored, state.0);
                state.0 = restored;
            }
        }
        state
    }

    fn check_invariants(state: &Self, oracle: &Oracle) {
        assert!(
            oracle.granted.values().all(|attempts| attempts.len() <= 1),
            "one key was granted twice"
        );
        assert_eq!(state.0.len(), oracle.open.len() + oracle.ended.len());
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(400))]

    #[test]
    fn a_key_is_granted_to_one_attempt(sequential 1..80 => System);
}
