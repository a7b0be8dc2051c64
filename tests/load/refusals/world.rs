//! The VMs of a region before the upstreams of one service, which crash if they have to refuse too much.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use masticstream::decide::feedback::Feedback;
use masticstream::decide::feedback::Statement;
use masticstream::decide::place::Balancer;
use masticstream::decide::place::Endpoint;
use masticstream::decide::place::InFlight;
use masticstream::decide::place::Outcome;
use masticstream::decide::place::Sender;
use masticstream::decide::place::Work;
use masticstream::decide::sharing::Aggregator;
use masticstream::decide::sharing::SHARDS;
use masticstream::decide::sharing::UPDATE_INTERVAL;
use masticstream::decide::sharing::Update;
use masticstream::id;
use masticstream::unit::Rate;
use masticstream::unit::Slots;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::upstream::Admission;
use super::upstream::DOWN_TIME;
use super::upstream::SERVICE_TIME;
use super::upstream::SLOTS;
use super::upstream::Upstream;
use crate::restrictions::world::SERVICE;
use crate::restrictions::world::endpoint;
use crate::restrictions::world::query;

const STEP: Duration = Duration::from_millis(10);
const MAX_ATTEMPTS: usize = 3;
/// From when on upstreams state how much they can refuse.
const STATED: Duration = Duration::from_secs(2);
/// From when on fewer requests may wait at an upstream.
const NARROWED: Duration = Duration::from_secs(7);
/// Requests that may wait at an upstream before and after that.
const ROOM: (usize, usize) = (24, 2);
/// From when on answers are counted.
const COUNTED: Duration = Duration::from_secs(8);
/// When a fault strikes.
const STRUCK: Duration = Duration::from_secs(9);
/// How long a burst lasts.
const BURST: Duration = Duration::from_secs(4);
const SPAN: Duration = Duration::from_secs(16);
/// How long a caller waits in all.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long a request may wait for room at its VM.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(500);
/// The least time after which a refused caller returns.
const MIN_RETURN: Duration = Duration::from_millis(150);
/// How late VMs learn of an upstream that has crashed.
const ROSTER_DELAY: Duration = Duration::from_millis(600);

/// What goes wrong beside the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Nothing,
    /// Three times the requests for some seconds.
    Burst,
    /// All VMs forget everything.
    Restarts,
    /// A quarter of the upstreams, one at least, crash for another reason.
    Crashes,
    /// The hosts of all shards begin without any state.
    HostsLost,
    /// All datagrams are lost.
    Silence,
}

/// VMs, upstreams and their load.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    pub vms: usize,
    /// The binary logarithm of the number of slices of VMs, which know only those of their own.
    pub slice_bits: u8,
    pub upstreams: usize,
    /// The requests relative to what the upstreams can run.
    pub load: f64,
    /// The refusals a second that upstreams state, and from which they crash.
    pub limit: Option<f64>,
    pub fault: Fault,
}

impl Setting {
    fn slices(&self) -> usize {
        1 << self.slice_bits
    }

    /// The slice of a VM.
    fn slice(&self, rank: usize) -> usize {
        rank % self.slices()
    }

    fn new_hosts(&self, start: u64) -> Vec<Vec<Aggregator>> {
        let hosts = || (0..SHARDS).map(|_| Aggregator::new(start)).collect();
        (0..self.slices()).map(|_| hosts()).collect()
    }
}

/// What upstreams and callers saw.
#[derive(Debug, Default)]
pub struct Tally {
    /// Crashes for refusals, in all.
    pub crashes: usize,
    /// The most of them within the time for which an upstream is down.
    pub most_crashes: usize,
    /// Requests that were answered in time.
    pub served: usize,
}

/// A request, from its first attempt to its answer or the end of its caller's patience.
struct Request {
    vm: usize,
    sent_at: Duration,
    tried: Vec<id::Upstream>,
    in_flight: Option<InFlight>,
    /// The requests that waited for room before it, if it waits.
    others: Option<usize>,
}

struct Vm {
    balancer: Balancer,
    /// Requests that wait for room, and since when.
    waiting: VecDeque<(usize, Duration)>,
    /// Distinguishes its starts.
    start: u64,
    updates: u64,
    /// The last update to each host.
    last_updates: [u64; SHARDS as usize],
}

struct World {
    setting: Setting,
    start: Instant,
    rng: SmallRng,
    vms: Vec<Vm>,
    upstreams: Vec<Upstream>,
    /// The hosts of all shards, by slice.
    hosts: Vec<Vec<Aggregator>>,
    requests: Vec<Request>,
    /// Refused requests whose callers return, by time.
    returning: BTreeMap<Duration, Vec<usize>>,
    served: usize,
}

/// Plays a setting.
pub fn play(setting: Setting, seed: u64) -> Tally {
    let start = Instant::now();
    let mut world = World {
        setting,
        start,
        rng: SmallRng::seed_from_u64(seed),
        vms: Vec::new(),
        upstreams: (0..setting.upstreams).map(|_| Upstream::default()).collect(),
        hosts: Vec::new(),
        requests: Vec::new(),
        returning: BTreeMap::new(),
        served: 0,
    };
    world.vms = (0..setting.vms).map(|rank| world.new_vm(rank, 1)).collect();
    world.hosts = setting.new_hosts(1);
    world.sync(Duration::ZERO);
    let steps = (SPAN.as_millis() / STEP.as_millis()) as u32;
    for step in 0..steps {
        world.advance(step);
    }
    world.tally()
}

fn vm_name(rank: usize) -> id::Vm {
    format!("vm{rank}").parse().unwrap()
}

fn upstream_name(index: usize) -> id::Upstream {
    format!("u{index}").parse().unwrap()
}

fn upstream_index(id: &id::Upstream) -> usize {
    id.as_str()[1..].parse().unwrap()
}

impl World {
    fn new_vm(&self, rank: usize, start: u64) -> Vm {
        let seed = rank as u64 + start * 1000;
        let balancer = Balancer::new(SmallRng::seed_from_u64(seed));
        Vm {
            balancer,
            waiting: VecDeque::new(),
            start,
            updates: 0,
            last_updates: Default::default(),
        }
    }

    fn tally(self) -> Tally {
        let mut crashes: Vec<Duration> =
            self.upstreams.iter().flat_map(|upstream| upstream.crashes.iter().copied()).collect();
        crashes.sort();
        let within = |from: &Duration| {
            crashes.iter().filter(|at| (*from..*from + DOWN_TIME).contains(*at)).count()
        };
        let most_crashes = crashes.iter().map(within).max().unwrap_or(0);
        Tally { crashes: crashes.len(), most_crashes, served: self.served }
    }

    /// The requests that may wait at an upstream, and those that it may refuse a second.
    fn bounds(&self, at: Duration) -> (usize, Option<f64>) {
        let room = if at < NARROWED { ROOM.0 } else { ROOM.1 };
        (room, self.setting.limit.filter(|_| at >= NARROWED))
    }

    /// What a response states.
    fn feedback(&self, is_refusal: bool, at: Duration) -> Feedback {
        let stated = self.setting.limit.filter(|_| at >= STATED);
        let refusal_limit =
            stated.map_or(Statement::Absent, |limit| Statement::Value(Rate::per_second(limit)));
        Feedback { is_refusal, refusal_limit, ..Feedback::default() }
    }

    /// Tells all VMs of the upstreams that they know of at that time.
    fn sync(&mut self, at: Duration) {
        let is_known = |upstream: &Upstream| {
            upstream.down_until.is_none_or(|back| at + DOWN_TIME < back + ROSTER_DELAY)
        };
        let known = self.upstreams.iter().enumerate().filter(|(_, upstream)| is_known(upstream));
        let endpoints: Vec<Endpoint> = known
            .map(|(index, upstream)| Endpoint {
                incarnation: upstream.incarnation,
                slots: Slots::new(SLOTS as u64),
                ..endpoint(upstream_name(index).as_str())
            })
            .collect();
        let setting = self.setting;
        let names: Vec<id::Vm> = (0..setting.vms).map(vm_name).collect();
        for (rank, vm) in self.vms.iter_mut().enumerate() {
            let slice = setting.slice(rank);
            let known = names.iter().skip(slice).step_by(setting.slices());
            let sender = Sender::new(vm_name(rank), known, self.start)
                .with_shard(slice as u64, setting.slice_bits);
            let senders = HashMap::from([(SERVICE.to_owned(), sender)]);
            vm.balancer.sync(endpoints.clone(), senders, self.start + at);
        }
    }

    fn advance(&mut self, step: u32) {
        let at = STEP * step;
        if at == STRUCK {
            self.strike(at);
        }
        self.advance_upstreams(at);
        let turns = (UPDATE_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        for rank in 0..self.setting.vms {
            if step as usize % turns == rank % turns {
                (0..SHARDS).for_each(|shard| self.share(rank, shard, at));
            }
            self.serve_waiting(rank, at);
        }
        while let Some(entry) = self.returning.first_entry().filter(|entry| *entry.key() <= at) {
            for request in entry.remove() {
                self.send(request, at);
            }
        }
        let capacity = (self.setting.upstreams * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
        let is_burst = self.setting.fault == Fault::Burst && (STRUCK..STRUCK + BURST).contains(&at);
        let factor = if is_burst { 3.0 } else { 1.0 };
        let mut due = self.setting.load * factor * capacity * STEP.as_secs_f64();
        while due > 0.0 {
            if self.rng.random_bool(due.min(1.0)) {
                let vm = self.rng.random_range(0..self.setting.vms);
                let (tried, in_flight, others) = (Vec::new(), None, None);
                self.requests.push(Request { vm, sent_at: at, tried, in_flight, others });
                self.send(self.requests.len() - 1, at);
            }
            due -= 1.0;
        }
    }

    fn strike(&mut self, at: Duration) {
        match self.setting.fault {
            Fault::Nothing | Fault::Burst | Fault::Silence => (),
            Fault::Restarts => {
                self.vms = (0..self.setting.vms).map(|rank| self.new_vm(rank, 2)).collect();
                // The upstreams drop the requests of callers that are gone.
                self.upstreams.iter_mut().for_each(Upstream::drop_requests);
                self.requests.iter_mut().for_each(|request| request.in_flight = None);
                self.returning.clear();
                self.sync(at);
            }
            Fault::Crashes => {
                for index in 0..self.setting.upstreams.div_ceil(4) {
                    self.crash(index, at);
                }
            }
            Fault::HostsLost => {
                self.hosts = self.setting.new_hosts(2);
            }
        }
    }

    fn advance_upstreams(&mut self, at: Duration) {
        let mut has_changed = false;
        for index in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[index];
            if let Some(back) = upstream.down_until {
                has_changed |= at + DOWN_TIME == back + ROSTER_DELAY;
                if at >= back {
                    upstream.down_until = None;
                    upstream.incarnation += 1;
                    has_changed = true;
                }
                continue;
            }
            for request in upstream.advance(at, &mut self.rng) {
                self.end(request, Outcome::Answered, at);
                let sent_at = self.requests[request].sent_at;
                let is_served = at >= COUNTED && at - sent_at < PATIENCE;
                self.served += usize::from(is_served);
            }
        }
        if has_changed {
            self.sync(at);
        }
    }

    /// Exchanges with the host of a shard what both know of its upstreams.
    fn share(&mut self, rank: usize, shard: u8, at: Duration) {
        let now = self.start + at;
        let vm = &mut self.vms[rank];
        vm.updates += 1;
        vm.last_updates[usize::from(shard)] = vm.updates;
        let update = Update {
            shard,
            start: vm.start,
            number: vm.updates,
            loads: vm.balancer.loads(shard, now),
            limits: vm.balancer.rate_notices(shard, now),
            claims: vm.balancer.claim(shard, now),
            ..Update::default()
        };
        if self.setting.fault == Fault::Silence {
            return;
        }
        let host = &mut self.hosts[self.setting.slice(rank)][usize::from(shard)];
        let summary = host.apply_update(&vm_name(rank), update, now).unwrap();
        vm.balancer.apply_summary(&summary, now);
        for (name, offer) in host.take_offers() {
            let vm = &mut self.vms[name.as_str()[2..].parse::<usize>().unwrap()];
            if vm.last_updates[usize::from(shard)] == offer.number {
                vm.balancer.apply_grants(&offer.grants, now);
            }
        }
    }

    /// Sends requests that waited for room, and refuses those that have waited for long.
    fn serve_waiting(&mut self, rank: usize, at: Duration) {
        for shard in self.vms[rank].balancer.urgent_claims() {
            self.share(rank, shard, at);
        }
        for _ in 0..self.vms[rank].waiting.len() {
            let Some((request, since)) = self.vms[rank].waiting.pop_front() else { break };
            let count = self.vms[rank].waiting.len();
            self.vms[rank].balancer.set_waiting(SERVICE, count, self.start + at);
            self.attempt(request, since, at);
        }
    }

    /// A request reaches its VM.
    fn send(&mut self, request: usize, at: Duration) {
        let sent_at = self.requests[request].sent_at;
        if at - sent_at >= PATIENCE {
            return;
        }
        self.requests[request].tried.clear();
        self.attempt(request, at, at);
    }

    /// Sends a request that has waited for room since a time.
    fn attempt(&mut self, request: usize, since: Duration, at: Duration) {
        let now = self.start + at;
        let vm = self.requests[request].vm;
        while self.requests[request].tried.len() < MAX_ATTEMPTS {
            let balancer = &mut self.vms[vm].balancer;
            let Some(placement) = balancer.choose(&query(&self.requests[request].tried), now)
            else {
                break;
            };
            let in_flight = balancer.record_sent(&placement, &Work::default(), now);
            let index = upstream_index(&placement.id);
            self.requests[request].tried.push(placement.id);
            self.requests[request].in_flight = Some(in_flight);
            let bounds = self.bounds(at);
            self.stop_waiting(request, since, at);
            match self.upstreams[index].offer(request, at, bounds, &mut self.rng) {
                Admission::Accepted => return,
                Admission::Refused => self.end(request, Outcome::Refused, at),
                Admission::Crashed => {
                    self.end(request, Outcome::Refused, at);
                    self.crash(index, at);
                }
                Admission::Down => self.end(request, Outcome::Unreachable, at),
            }
        }
        let balancer = &mut self.vms[vm].balancer;
        let (tried, longest) = (&self.requests[request].tried, since + MAX_ROOM_WAIT);
        let room_wait = if since == at { balancer.room_wait(SERVICE, now) } else { STEP };
        if tried.len() < MAX_ATTEMPTS
            && balancer.lacks_room(&query(tried), now)
            && at + room_wait <= longest
        {
            let others = self.vms[vm].waiting.len();
            self.requests[request].others.get_or_insert(others);
            self.vms[vm].waiting.push_back((request, since));
            let count = others + 1;
            self.vms[vm].balancer.set_waiting(SERVICE, count, now);
            return;
        }
        self.stop_waiting(request, since, at);
        let opening = self.vms[vm].balancer.next_opening(SERVICE, now).unwrap_or_default();
        let spread = 1.0 + self.rng.random::<f64>() / 4.0;
        self.returning
            .entry(at + opening.max(MIN_RETURN).mul_f64(spread))
            .or_default()
            .push(request);
    }

    fn stop_waiting(&mut self, request: usize, since: Duration, at: Duration) {
        let Request { vm, others, .. } = &mut self.requests[request];
        if let Some(others) = others.take() {
            self.vms[*vm].balancer.record_room_wait(SERVICE, at - since, others);
        }
    }

    fn crash(&mut self, index: usize, at: Duration) {
        for request in self.upstreams[index].crash(at) {
            self.end(request, Outcome::Failed, at);
        }
    }

    /// Tells the VM how a request ended at its upstream.
    fn end(&mut self, request: usize, outcome: Outcome, at: Duration) {
        let now = self.start + at;
        let feedback = self.feedback(outcome == Outcome::Refused, at);
        let Request { vm, in_flight, .. } = &mut self.requests[request];
        let Some(in_flight) = in_flight.take() else { return };
        let balancer = &mut self.vms[*vm].balancer;
        if matches!(outcome, Outcome::Answered | Outcome::Refused) {
            balancer.record_feedback(&in_flight, &feedback, now);
        }
        balancer.record_end(in_flight, outcome, now);
    }
}
