//! The VMs of a region before four upstreams, one of which states something in its responses.

use std::collections::HashMap;
use std::time::Duration;

use masticstream::decide::feedback::Feedback;
use masticstream::decide::feedback::Statement;
use masticstream::decide::place::Balancer;
use masticstream::decide::place::Endpoint;
use masticstream::decide::place::InFlight;
use masticstream::decide::place::Outcome;
use masticstream::decide::place::Query;
use masticstream::decide::place::Sender;
use masticstream::decide::place::Work;
use masticstream::decide::sharing::Aggregator;
use masticstream::decide::sharing::Key;
use masticstream::decide::sharing::UPDATE_INTERVAL;
use masticstream::decide::sharing::Update;
use masticstream::id;
use masticstream::unit::Slots;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

pub const SERVICE: &str = "s";
/// The upstream that states something, and the others.
pub const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const STEP: Duration = Duration::from_millis(10);
const SERVICE_TIME: Duration = Duration::from_millis(60);
const MAX_ATTEMPTS: usize = 3;

/// What goes wrong with VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Nothing,
    /// The host of the shard is lost for half a second at 6 s, and another one begins without any state.
    HostLost,
    /// From 4 s on, two halves of the VMs have hosts of their own.
    Halves,
    /// All datagrams are lost.
    Silence,
    /// A tenth of the VMs, one at least, forget everything at 6 s.
    Restarts,
    /// A tenth of the VMs, one at least, stand still from 5 s to 8 s.
    Freeze,
}

impl Fault {
    pub const ALL: [Self; 6] =
        [Self::Nothing, Self::HostLost, Self::Halves, Self::Silence, Self::Restarts, Self::Freeze];
}

/// What upstream `a` states at a time. It refuses a request if it asks for a pause.
pub type States = fn(Duration) -> Feedback;

/// VMs, their load and what goes wrong.
pub struct Setting {
    pub vms: u32,
    /// Requests a second over all VMs.
    pub rate: f64,
    pub fault: Fault,
    pub span: Duration,
    pub states: States,
    /// Whether all upstreams state it.
    pub everywhere: bool,
}

/// A request that reached upstream `a`.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Duration,
    pub vm: u32,
    /// When the VM first received a response with a statement, since it started.
    pub told: Option<Duration>,
}

/// What upstream `a` and the callers saw.
#[derive(Debug, Default)]
pub struct Tally {
    pub arrivals: Vec<Arrival>,
    /// When upstream `a` first stated something.
    pub first_told: Option<Duration>,
    /// The times that refused callers were told to wait.
    pub waits: Vec<Duration>,
}

impl Tally {
    pub fn count(&self, from: Duration, until: Duration) -> usize {
        self.arrivals.iter().filter(|arrival| (from..until).contains(&arrival.at)).count()
    }
}

pub fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        id: name.parse().unwrap(),
        incarnation: 1,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: Slots::new(48),
        memory: None,
        connections: 1000,
        cold: None,
        open: true,
        draining: false,
        silent: false,
    }
}

pub fn query(tried: &[id::Upstream]) -> Query<'_> {
    let (work, max_wait) = (Work::default(), Duration::MAX);
    Query { service: SERVICE, work, tried, holds_prefix: false, urgent: true, max_wait, only: None }
}

fn vm_name(rank: u32) -> id::Vm {
    format!("vm{rank}").parse().unwrap()
}

/// One VM.
pub struct Vm {
    pub balancer: Balancer,
    rank: u32,
    /// Requests in flight, and when they end.
    running: Vec<(Duration, InFlight)>,
    /// Distinguishes its starts.
    start: u64,
    updates: u64,
    told: Option<Duration>,
}

impl Vm {
    pub fn new(rank: u32, count: u32, (epoch, now): (Instant, Instant)) -> Self {
        let mut balancer = Balancer::new(SmallRng::seed_from_u64(u64::from(rank)));
        let names: Vec<id::Vm> = (0..count).map(vm_name).collect();
        let sender = Sender::new(vm_name(rank), &names, epoch);
        let senders = HashMap::from([(SERVICE.to_owned(), sender)]);
        balancer.sync(NAMES.map(endpoint).to_vec(), senders, now);
        Self { balancer, rank, running: Vec::new(), start: 1, updates: 0, told: None }
    }

    /// Exchanges with the host what both know of the upstreams of a shard.
    fn share(&mut self, host: &mut Aggregator, shard: u8, now: Instant) {
        self.updates += 1;
        let update = Update {
            shard,
            start: self.start,
            number: self.updates,
            loads: self.balancer.loads(shard, now),
            limits: self.balancer.rate_notices(shard, now),
            draining: self.balancer.draining(shard),
            ..Update::default()
        };
        let summary = host.apply_update(&vm_name(self.rank), update, now).unwrap();
        self.balancer.apply_summary(&summary, now);
    }

    fn receive(
        &mut self,
        in_flight: InFlight,
        feedback: &Feedback,
        outcome: Outcome,
        now: Instant,
    ) {
        self.balancer.record_feedback(&in_flight, feedback, now);
        self.balancer.record_end(in_flight, outcome, now);
    }
}

struct World<'a> {
    setting: &'a Setting,
    start: Instant,
    vms: Vec<Vm>,
    hosts: [Aggregator; 2],
    shard: u8,
    tally: Tally,
}

/// Plays a setting.
pub fn play(setting: &Setting, seed: u64) -> Tally {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World {
        setting,
        start,
        vms: (0..setting.vms).map(|rank| Vm::new(rank, setting.vms, (start, start))).collect(),
        hosts: [Aggregator::new(1), Aggregator::new(2)],
        shard: Key::new(&"a".parse().unwrap(), 1).shard(),
        tally: Tally::default(),
    };
    let steps = (setting.span.as_millis() / STEP.as_millis()) as u32;
    for step in 0..steps {
        world.strike(STEP * step);
        world.advance(step);
        let mut due = setting.rate * STEP.as_secs_f64();
        while due > 0.0 && rng.random_bool(due.min(1.0)) {
            due -= 1.0;
            world.request(rng.random_range(0..setting.vms), STEP * step);
        }
    }
    world.tally
}

impl World<'_> {
    /// The VMs that fail, if single ones do.
    fn affected(&self) -> u32 {
        (self.setting.vms / 10).max(1)
    }

    fn is_frozen(&self, vm: u32, at: Duration) -> bool {
        let freeze = Duration::from_secs(5)..Duration::from_secs(8);
        self.setting.fault == Fault::Freeze && vm < self.affected() && freeze.contains(&at)
    }

    /// Whether datagrams are lost.
    fn is_silent(&self, at: Duration) -> bool {
        let lost = Duration::from_secs(6)..Duration::from_millis(6500);
        match self.setting.fault {
            Fault::Silence => true,
            Fault::HostLost => lost.contains(&at),
            _ => false,
        }
    }

    fn strike(&mut self, at: Duration) {
        if at != Duration::from_secs(6) {
            return;
        }
        match self.setting.fault {
            Fault::HostLost => self.hosts[0] = Aggregator::new(3),
            Fault::Restarts => {
                for rank in 0..self.affected() {
                    let times = (self.start, self.start + at);
                    let restarted = Vm::new(rank, self.setting.vms, times);
                    self.vms[rank as usize] = Vm { start: 2, ..restarted };
                }
            }
            _ => (),
        }
    }

    /// VMs receive responses and exchange datagrams.
    fn advance(&mut self, step: u32) {
        let at = STEP * step;
        let now = self.start + at;
        let turns = (UPDATE_INTERVAL.as_millis() / STEP.as_millis()) as u32;
        let is_split = self.setting.fault == Fault::Halves && at >= Duration::from_secs(4);
        for rank in 0..self.setting.vms {
            if self.is_frozen(rank, at) {
                continue;
            }
            let due = self.vms[rank as usize].running.extract_if(.., |(ends, _)| *ends <= at);
            for (_, in_flight) in due.collect::<Vec<_>>() {
                let feedback = self.feedback(&in_flight, rank, at);
                self.vms[rank as usize].receive(in_flight, &feedback, Outcome::Answered, now);
            }
            if step % turns == rank % turns && !self.is_silent(at) {
                let host = &mut self.hosts[usize::from(is_split && rank % 2 == 1)];
                self.vms[rank as usize].share(host, self.shard, now);
            }
        }
    }

    /// What the response to a request states.
    fn feedback(&mut self, in_flight: &InFlight, vm: u32, at: Duration) -> Feedback {
        let is_first = in_flight.id.as_str() == NAMES[0];
        if !is_first && !self.setting.everywhere {
            return Feedback::default();
        }
        let feedback = (self.setting.states)(at);
        if is_first && feedback != Feedback::default() {
            self.vms[vm as usize].told.get_or_insert(at);
            self.tally.first_told.get_or_insert(at);
        }
        feedback
    }

    /// A request reaches a VM.
    fn request(&mut self, vm: u32, at: Duration) {
        if self.is_frozen(vm, at) {
            return;
        }
        let now = self.start + at;
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS {
            let sender = &mut self.vms[vm as usize];
            let Some(placement) = sender.balancer.choose(&query(&tried), now) else {
                let opening = sender.balancer.next_opening(SERVICE, now);
                self.tally.waits.push(opening.unwrap_or_default());
                return;
            };
            if placement.id.as_str() == NAMES[0] {
                self.tally.arrivals.push(Arrival { at, vm, told: sender.told });
            }
            let in_flight = sender.balancer.record_sent(&placement, &Work::default(), now);
            let feedback = self.feedback(&in_flight, vm, at);
            if !matches!(feedback.backoff, Statement::Value(_)) {
                self.vms[vm as usize].running.push((at + SERVICE_TIME, in_flight));
                return;
            }
            tried.push(placement.id);
            self.vms[vm as usize].receive(in_flight, &feedback, Outcome::Refused, now);
        }
    }
}
