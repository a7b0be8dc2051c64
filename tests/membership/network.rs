//! An in-memory network of members: delays, loss, cuts, freezes and restarts, all from one seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use masticstream::id;
use masticstream::membership::Change;
use masticstream::membership::Config;
use masticstream::membership::Key;
use masticstream::membership::Member;
use masticstream::membership::Message;
use masticstream::membership::Output;
use masticstream::membership::TICK;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// What happens at some moment.
enum Event {
    Tick(id::Vm, u64),
    Deliver { from: id::Vm, to: id::Vm, message: Message },
}

struct Process {
    member: Member,
    generation: u64,
    thaws: Option<Instant>,
}

/// What the network has carried and the members have used.
#[derive(Debug, Default, Clone)]
pub struct Meter {
    /// Encoded bytes that each VM has sent.
    pub sent: BTreeMap<id::Vm, u64>,
    /// Time spent inside of members, with encoding and decoding.
    pub busy: Duration,
}

/// Members and the messages between them.
pub struct Network {
    pub now: Instant,
    pub meter: Meter,
    /// Whether messages are encoded and weighed; slow.
    pub weighs: bool,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Longest delay of a message.
    pub delay: Duration,
    /// Directions that carry nothing.
    pub cuts: BTreeSet<(id::Vm, id::Vm)>,
    /// Messages that a VM of one region sent to one of another, as debug text.
    pub crossed: Vec<String>,
    processes: BTreeMap<id::Vm, Process>,
    regions: BTreeMap<id::Vm, id::Region>,
    events: BTreeMap<(Instant, u64), Event>,
    rng: SmallRng,
    count: u64,
}

pub fn vm(i: usize) -> id::Vm {
    format!("home-a-{i:03}").parse().unwrap()
}

pub fn upstream(i: usize) -> id::Upstream {
    format!("engine-{i:03}").parse().unwrap()
}

pub fn region(name: &str) -> id::Region {
    name.parse().unwrap()
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::now(),
            meter: Meter::default(),
            weighs: false,
            loss: 0.0,
            delay: Duration::from_millis(4),
            cuts: BTreeSet::new(),
            crossed: Vec::new(),
            processes: BTreeMap::new(),
            regions: BTreeMap::new(),
            events: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            count: 0,
        }
    }

    /// A region of `count` VMs, each told of the first two, which has run for five seconds.
    pub fn with_region(seed: u64, count: usize) -> Self {
        let mut network = Self::new(seed);
        for i in 0..count {
            network.start(home_config(i), vm(i).to_string().into_bytes());
        }
        network.run(Duration::from_secs(5));
        network
    }

    /// Starts a process; one of the same VM that runs is ended without a word.
    pub fn start(&mut self, config: Config, payload: Vec<u8>) {
        let name = config.vm.clone();
        self.regions.insert(name.clone(), config.region.clone());
        let mut member = Member::new(config, self.rng.random(), self.now);
        member.put(Key::Vm(name.clone()), payload, self.now);
        self.count += 1;
        let generation = self.count;
        self.processes.insert(name.clone(), Process { member, generation, thaws: None });
        let phase = TICK.mul_f64(self.rng.random());
        self.schedule(phase, Event::Tick(name, generation));
    }

    pub fn kill(&mut self, vm: &id::Vm) {
        self.processes.remove(vm);
    }

    /// Stops a process for some time; its messages wait in its sockets.
    pub fn freeze(&mut self, vm: &id::Vm, time: Duration) {
        let thaws = self.now + time;
        self.processes.get_mut(vm).unwrap().thaws = Some(thaws);
    }

    /// Cuts both directions between two groups.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for &a in left {
            for &b in right {
                self.cuts.insert((vm(a), vm(b)));
                self.cuts.insert((vm(b), vm(a)));
            }
        }
    }

    pub fn member(&self, vm: &id::Vm) -> &Member {
        &self.processes[vm].member
    }

    /// Lets a member do something right now.
    pub fn with<T>(&mut self, vm: &id::Vm, act: impl FnOnce(&mut Member, Instant) -> T) -> T {
        act(&mut self.processes.get_mut(vm).unwrap().member, self.now)
    }

    /// Lets a member leave in order.
    pub fn depart(&mut self, vm: &id::Vm) {
        let outputs = self.with(vm, |member, now| member.depart(now));
        self.carry_out(vm, outputs);
    }

    /// On how many running VMs something holds.
    pub fn count(&self, holds: impl Fn(&Member) -> bool) -> usize {
        self.processes.values().filter(|process| holds(&process.member)).count()
    }

    /// Runs for a time; gives all changes that members told of.
    pub fn run(&mut self, time: Duration) -> Vec<(Instant, id::Vm, Change)> {
        let end = self.now + time;
        let mut changes = Vec::new();
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > end {
                break;
            }
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.happen(event, &mut changes);
        }
        self.now = end;
        changes
    }

    /// Runs until something holds; gives the time that it took, none if it took longer than `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + limit {
                return None;
            }
            self.run(Duration::from_millis(20));
        }
        Some(self.now - start)
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    fn happen(&mut self, event: Event, changes: &mut Vec<(Instant, id::Vm, Change)>) {
        let target = match &event {
            Event::Tick(vm, _) | Event::Deliver { to: vm, .. } => vm.clone(),
        };
        let now = self.now;
        let Some(process) = self.processes.get_mut(&target) else { return };
        let wait = process.thaws.and_then(|thaws| thaws.checked_duration_since(now));
        if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
            self.schedule(wait, event);
            return;
        }
        let generation = process.generation;
        let ticks = matches!(event, Event::Tick(..));
        let started = std::time::Instant::now();
        let outputs = match event {
            Event::Tick(_, of) if of != generation => return,
            Event::Tick(..) => process.member.tick(now),
            Event::Deliver { from, message, .. } => process.member.receive(&from, message, now),
        };
        self.meter.busy += started.elapsed();
        if ticks {
            self.schedule(TICK, Event::Tick(target.clone(), generation));
        }
        changes
            .extend(self.carry_out(&target, outputs).into_iter().map(|c| (now, target.clone(), c)));
    }

    /// Sends what is to be sent, and gives the changes.
    fn carry_out(&mut self, vm: &id::Vm, outputs: Vec<Output>) -> Vec<Change> {
        let mut changes = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(vm.clone(), to, message),
                Output::Changed(change) => changes.push(change),
            }
        }
        changes
    }

    fn send(&mut self, from: id::Vm, to: id::Vm, message: Message) {
        let message = if self.weighs { self.weigh(&from, message) } else { message };
        if self.regions.get(&from) != self.regions.get(&to) {
            self.crossed.push(format!("{message:?}"));
        }
        let cut = self.cuts.contains(&(from.clone(), to.clone()));
        if cut || (self.loss > 0.0 && self.rng.random_bool(self.loss)) {
            return;
        }
        let delay = self.delay.mul_f64(self.rng.random_range(0.2..1.0));
        self.schedule(delay, Event::Deliver { from, to, message });
    }

    fn weigh(&mut self, from: &id::Vm, message: Message) -> Message {
        let started = std::time::Instant::now();
        let mut encoded = Vec::new();
        ciborium::into_writer(&message, &mut encoded).unwrap();
        let message = ciborium::from_reader(encoded.as_slice()).unwrap();
        self.meter.busy += started.elapsed();
        *self.meter.sent.entry(from.clone()).or_default() += encoded.len() as u64;
        message
    }
}

/// VM `i` of the region `home`, told of VMs 0 and 1.
pub fn home_config(i: usize) -> Config {
    Config::new(vm(i), region("home"))
        .with_seed(vm(0), region("home"))
        .with_seed(vm(1), region("home"))
}
