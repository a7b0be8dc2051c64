//! Random announcements, leaves and faults, judged by the list of all writes that were accepted.

use std::time::Duration;

use masticstream::id;
use masticstream::membership::Key;
use masticstream::membership::Version;
use masticstream::unit::Incarnation;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use crate::network::Network;
use crate::network::home_config;
use crate::network::upstream;
use crate::network::vm;

const VMS: usize = 5;
const UPSTREAMS: usize = 3;

/// Detection, suspicion, the tries to reconnect and two repairs, with room to spare.
const SETTLES: Duration = Duration::from_secs(25);

/// The longest freeze of a VM.
const FREEZE: Duration = Duration::from_secs(20);

/// Cases a run; `MASTIC_FUZZ_CASES` asks for more.
fn cases() -> u32 {
    std::env::var("MASTIC_FUZZ_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(48)
}

#[derive(Debug, Clone)]
enum Step {
    Announce { at: usize, upstream: usize, incarnation: u64, version: u64, payload: u8 },
    Expire { at: usize, upstream: usize },
    Leave { at: usize, upstream: usize, incarnation: u64 },
    Cut { from: usize, to: usize },
    Isolate(usize),
    Freeze { at: usize, millis: u64 },
    Restart(usize),
    Loss(f64),
    Delay(u64),
    Run(u64),
    Settle,
}

/// Chooses the steps; what must come of them is judged by [`Region`].
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let (at, engine) = (0..VMS, 0..UPSTREAMS);
        prop_oneof![
            8 => (at.clone(), engine.clone(), 1..4_u64, 1..30_u64, 0..3_u8).prop_map(
                |(at, upstream, incarnation, version, payload)| {
                    Step::Announce { at, upstream, incarnation, version, payload }
                }
            ),
            2 => (at.clone(), engine.clone()).prop_map(|(at, upstream)| Step::Expire { at, upstream }),
            2 => (at.clone(), engine, 1..4_u64).prop_map(|(at, upstream, incarnation)| {
                Step::Leave { at, upstream, incarnation }
            }),
            2 => (at.clone(), at.clone()).prop_map(|(from, to)| Step::Cut { from, to }),
            1 => at.clone().prop_map(Step::Isolate),
            1 => (at.clone(), 100..FREEZE.as_millis() as u64).prop_map(|(at, millis)| Step::Freeze { at, millis }),
            1 => at.prop_map(Step::Restart),
            1 => (0.0..0.5).prop_map(Step::Loss),
            1 => (1..600_u64).prop_map(Step::Delay),
            6 => (10..8_000_u64).prop_map(Step::Run),
            2 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// An accepted write.
#[derive(Debug, Clone, Copy)]
struct Write {
    incarnation: Incarnation,
    gone: bool,
    version: Version,
    expired: bool,
    at: usize,
    start: usize,
}

impl Write {
    /// Its place in the order of writes. Of two with one place the region may choose either, and
    /// must choose the same on all VMs.
    fn place(&self) -> (Incarnation, bool, Version, bool) {
        (self.incarnation, self.gone, self.version, self.expired)
    }
}

/// A region and the oracle's list of writes.
struct Region {
    network: Network,
    /// How often each VM was started.
    starts: [usize; VMS],
    writes: Vec<Vec<Write>>,
    /// The last announcement of each upstream that each VM took.
    taken: [[Option<(Incarnation, Version)>; UPSTREAMS]; VMS],
}

impl Region {
    fn key(engine: usize) -> Key {
        Key::Upstream(upstream(engine))
    }

    fn write(
        &mut self,
        engine: usize,
        at: usize,
        last: (Incarnation, Version),
        ended: (bool, bool),
    ) {
        let (incarnation, version) = last;
        let (gone, expired) = ended;
        let start = self.starts[at];
        self.writes[engine].push(Write { incarnation, gone, version, expired, at, start });
    }

    fn version(&self, engine: usize, at: usize) -> Option<Version> {
        let fact = self.network.member(&vm(at)).get(&Self::key(engine), self.network.now);
        fact.map(|fact| fact.version)
    }

    fn announce(&mut self, at: usize, engine: usize, last: (Incarnation, Version), payload: u8) {
        let accepted = self.network.with(&vm(at), |member, now| {
            member.announce(&upstream(engine), last.0, last.1, vec![payload], now)
        });
        if accepted.is_err() {
            return;
        }
        self.taken[at][engine] = Some(last);
        // A renewal without any change isn't spread, and no other VM needs to know it.
        if self.version(engine, at) == Some(last.1) {
            self.write(engine, at, last, (false, false));
        }
    }

    fn expire(&mut self, at: usize, engine: usize) {
        let before = self.version(engine, at);
        self.network.with(&vm(at), |member, now| member.expire(&upstream(engine), now));
        let ended = before.is_some() && self.version(engine, at).is_none();
        if let Some(last) = self.taken[at][engine].filter(|_| ended) {
            self.write(engine, at, last, (false, true));
        }
    }

    fn restart(&mut self, at: usize) {
        self.starts[at] += 1;
        self.taken[at] = [None; UPSTREAMS];
        self.network.start(home_config(at), vec![self.starts[at] as u8]);
    }

    /// Ends all faults, waits, and compares all VMs with each other and with the oracle.
    fn settle(&mut self) {
        self.network.cuts.clear();
        self.network.loss = 0.0;
        self.network.delay = Duration::from_millis(4);
        self.network.run(FREEZE + SETTLES);
        let everyone = self.network.count(|member| member.alive().count() == VMS);
        assert_eq!(everyone, VMS, "all are alive, and not all know");
        for at in 0..VMS {
            let key = Key::Vm(vm(at));
            let payload = vec![self.starts[at] as u8];
            let now = self.network.now;
            let knowing = self
                .network
                .count(|member| member.get(&key, now).is_some_and(|fact| fact.payload == payload));
            assert_eq!(knowing, VMS, "what a predecessor of {key:?} wrote is in force");
        }
        (0..UPSTREAMS).for_each(|engine| self.judge(engine));
    }

    /// All VMs say the same of an upstream, and what they say is the newest write that can't be lost,
    /// or a newer one.
    fn judge(&mut self, engine: usize) {
        let (now, key) = (self.network.now, Self::key(engine));
        let views = (0..VMS).map(|at| {
            let member = self.network.member(&vm(at));
            member.get(&key, now).map(|fact| (fact.stamp(), fact.holder.clone()))
        });
        let views: Vec<_> = views.collect();
        assert!(views.iter().all(|view| *view == views[0]), "views differ: {views:?}");

        let running = |write: &&Write| self.starts[write.at] == write.start;
        let certain = self.writes[engine].iter().filter(running).map(Write::place).max();
        let candidates = self.writes[engine].iter().filter(|write| Some(write.place()) >= certain);
        let explained = match &views[0] {
            Some((stamp, holder)) => candidates.into_iter().any(|write| {
                let place = (write.incarnation, write.version);
                let held = holder.as_ref() == Some(&vm(write.at)) && running(&write);
                held && place == (stamp.incarnation, stamp.version) && !write.gone && !write.expired
            }),
            None => {
                let ended = |write: &Write| write.gone || write.expired || !running(&write);
                certain.is_none() || candidates.into_iter().any(ended)
            }
        };
        assert!(explained, "{:?} is in force, writes: {:?}", views[0], self.writes[engine]);
    }
}

impl StateMachineTest for Region {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        let mut network = Network::new(1);
        (0..VMS).for_each(|at| network.start(home_config(at), vec![0]));
        network.run(Duration::from_secs(5));
        let writes = vec![Vec::new(); UPSTREAMS];
        Self { network, starts: [0; VMS], writes, taken: [[None; UPSTREAMS]; VMS] }
    }

    fn apply(mut region: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Announce { at, upstream, incarnation, version, payload } => {
                let last = (Incarnation::new(incarnation), Version::new(version));
                region.announce(at, upstream, last, payload);
            }
            Step::Expire { at, upstream } => region.expire(at, upstream),
            Step::Leave { at, upstream: engine, incarnation } => {
                let incarnation = Incarnation::new(incarnation);
                let name: id::Upstream = upstream(engine);
                region.network.with(&vm(at), |member, now| member.leave(&name, incarnation, now));
                region.write(engine, at, (incarnation, Version::default()), (true, false));
            }
            Step::Cut { from, to } => {
                region.network.cuts.insert((vm(from), vm(to)));
            }
            Step::Isolate(at) => {
                let others: Vec<_> = (0..VMS).filter(|other| *other != at).collect();
                region.network.partition(&[at], &others);
            }
            Step::Freeze { at, millis } => {
                region.network.freeze(&vm(at), Duration::from_millis(millis));
            }
            Step::Restart(at) => region.restart(at),
            Step::Loss(share) => region.network.loss = share,
            Step::Delay(millis) => region.network.delay = Duration::from_millis(millis),
            Step::Run(millis) => {
                region.network.run(Duration::from_millis(millis));
            }
            Step::Settle => region.settle(),
        }
        region
    }

    fn teardown(mut region: Self) {
        region.settle();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_newest_write_wins_everywhere(sequential 1..40 => Region);
}
