//! Elections with latency between regions, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::consensus::Config;
use crate::consensus::Input;
use crate::consensus::Members;
use crate::consensus::Message;
use crate::consensus::Output;
use crate::consensus::Replica;
use crate::consensus::Restored;
use crate::id;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// One-way latency between regions.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(55);
/// Time from the start until replicas can reach each other.
const LINKS_UP_AFTER: Duration = Duration::from_millis(350);
const SYNC: Duration = Duration::from_millis(2);

enum Event {
    Receive { from: id::Replica, message: Message },
    Synced(crate::unit::Sequence),
}

/// Five voters in different regions, some of them running. Messages are lost until links are up.
struct Simulation {
    links_up: Instant,
    running: BTreeMap<id::Replica, Replica>,
    events: BTreeMap<(Instant, u64), (id::Replica, Event)>,
    count: u64,
    now: Instant,
}

impl Simulation {
    fn new(running: &[u128], rng: &mut SmallRng) -> Self {
        let now = Instant::now();
        let members = Members::new((1..=5).map(id::Replica::new));
        let start = |nth: &u128, rng: &mut SmallRng| {
            let id = id::Replica::new(*nth);
            let config = Config::new(id).with_timing(HEARTBEAT_INTERVAL, ELECTION_TIMEOUT);
            let rng = SmallRng::from_rng(rng);
            (id, Replica::new(config, Restored::new(members.clone()), rng, now))
        };
        let running = running.iter().map(|nth| start(nth, rng)).collect();
        Self { links_up: now + LINKS_UP_AFTER, running, events: BTreeMap::new(), count: 0, now }
    }

    fn schedule(&mut self, after: Duration, to: id::Replica, event: Event) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), (to, event));
    }

    fn step(&mut self, id: id::Replica, input: Input) {
        let now = self.now;
        let outputs = self.running.get_mut(&id).map(|replica| replica.step(input, now));
        for output in outputs.unwrap_or_default() {
            match output {
                Output::Send { .. } if self.now < self.links_up => (),
                Output::Send { to, message } => {
                    self.schedule(ONE_WAY_LATENCY, to, Event::Receive { from: id, message });
                }
                Output::Persist(write) => self.schedule(SYNC, id, Event::Synced(write.sequence)),
                _ => (),
            }
        }
    }

    /// Runs until a majority follows one leader and returns the elapsed time.
    fn run_until_leader(&mut self) -> Duration {
        let start = self.now;
        loop {
            let timers = self.running.values().map(|replica| (replica.deadline(), replica.id()));
            let (due, ticks) = timers.min().unwrap();
            let next = self.events.first_key_value().map(|(&(at, _), _)| at);
            if next.is_some_and(|at| at <= due) {
                let ((at, _), (to, event)) = self.events.pop_first().unwrap();
                self.now = at;
                let input = match event {
                    Event::Receive { from, message } => Input::Receive { from, message },
                    Event::Synced(sequence) => Input::Persisted { sequence },
                };
                self.step(to, input);
            } else {
                self.now = self.now.max(due);
                self.step(ticks, Input::Tick);
            }
            let following = |leader| {
                self.running.values().filter(|replica| replica.leader() == Some(leader)).count()
            };
            if self.running.keys().any(|&leader| following(leader) >= 3) {
                return self.now - start;
            }
            assert!(self.now - start < Duration::from_secs(60), "no leader was elected");
        }
    }
}

fn election_times(running: &[u128]) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut times: Vec<Duration> = (0..400)
        .map(|_| {
            let mut rng = SmallRng::seed_from_u64(rng.random());
            Simulation::new(running, &mut rng).run_until_leader()
        })
        .collect();
    times.sort_unstable();
    times
}

/// Operators' calls wait for a leader for one second after the links are up.
const MAX_ELECTION_TIME: Duration = Duration::from_millis(1350);

// Guards against repeated split votes when three of five voters restart together.
#[test]
fn three_of_five_elect_a_leader_soon_after_starting_together() {
    let times = election_times(&[1, 2, 3]);
    assert!(times[times.len() - 1] < MAX_ELECTION_TIME, "{:?}", times[times.len() - 1]);
}

#[test]
fn five_elect_a_leader_soon_after_starting_together() {
    let times = election_times(&[1, 2, 3, 4, 5]);
    assert!(times[times.len() - 1] < MAX_ELECTION_TIME, "{:?}", times[times.len() - 1]);
}
