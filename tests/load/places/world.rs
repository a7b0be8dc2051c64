//! The VMs of a region before plain upstreams that hold a limited number of requests.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use masticstream::decide::place::Balancer;
use masticstream::decide::place::Endpoint;
use masticstream::decide::place::InFlight;
use masticstream::decide::place::Outcome;
use masticstream::decide::place::Query;
use masticstream::decide::place::Report;
use masticstream::decide::place::Sender;
use masticstream::decide::place::Work;
use masticstream::decide::sharing::Aggregator;
use masticstream::decide::sharing::SHARDS;
use masticstream::decide::sharing::Summary;
use masticstream::decide::sharing::UPDATE_INTERVAL;
use masticstream::decide::sharing::Update;
use masticstream::id;
use masticstream::unit::Slots;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::restrictions::world::SERVICE;
use crate::restrictions::world::endpoint;
use crate::restrictions::world::query;

const STEP: Duration = Duration::from_millis(5);
const NAMES: [&str; 3] = ["a", "b", "c"];
const SLOTS: usize = 6;
/// Requests that may wait at an upstream.
const MAX_WAITING: usize = 24;
/// The duration of a request, in milliseconds.
const SERVICE_MS: std::ops::RangeInclusive<u64> = 50..=70;
const SERVICE_TIME: Duration = Duration::from_millis(60);
pub const OBJECTIVE: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: usize = 3;
/// How late summaries arrive, beside the age of the updates in them.
const SUMMARY_DELAY: Duration = Duration::from_millis(80);
/// From when on requests are counted.
const COUNTED: Duration = Duration::from_secs(4);
/// When a fault strikes, and how long it lasts.
const STRUCK: Duration = Duration::from_secs(6);
const FAULT: Duration = Duration::from_secs(3);
/// How long after the beginning of a burst VMs may learn of the bound.
const LEARNING_TIME: Duration = Duration::from_millis(500);
/// How long datagrams are lost if a host is.
const HOST_LOST: Duration = Duration::from_millis(500);
/// How long after a burst requests may still be refused: a full queue takes 300 ms, and VMs learn of its end 400 ms later.
const AFTER: Duration = Duration::from_secs(1);
const SPAN: Duration = Duration::from_secs(14);

/// What goes wrong beside the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Nothing,
    /// Six times the requests for some seconds.
    Burst,
    /// The hosts are lost for half a second, and others begin without any state.
    HostLost,
    /// All datagrams are lost for some seconds.
    Silence,
}

/// VMs and their load.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    pub vms: usize,
    /// The requests relative to what the upstreams can run.
    pub load: f64,
    pub fault: Fault,
}

/// What upstreams and callers saw.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests that reached an upstream, and those of them that it rejected.
    pub arrivals: usize,
    pub rejected: usize,
    /// Attempts after a rejection.
    pub charged: usize,
    /// The part of slots in use.
    pub busy: f64,
    pub answered: usize,
    pub in_time: usize,
    /// Requests that waited at their VM.
    pub waited: usize,
    /// How long refused requests were kept, ascending.
    pub refused: Vec<Duration>,
    /// Requests that were refused after a burst.
    pub refused_after: usize,
    /// Claims to room.
    pub claims: usize,
    /// Upstreams with a known bound, at the end, over all VMs.
    pub bounded: usize,
}

impl Tally {
    pub fn rejected_part(&self) -> f64 {
        self.rejected as f64 / self.arrivals.max(1) as f64
    }

    pub fn in_time_part(&self) -> f64 {
        self.in_time as f64 / self.answered.max(1) as f64
    }

    /// How long that part of the refused requests was kept at most.
    pub fn refusal_ms(&self, part: f64) -> u128 {
        let index = (self.refused.len() as f64 * part) as usize;
        let index = index.min(self.refused.len().saturating_sub(1));
        self.refused.get(index).copied().unwrap_or_default().as_millis()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { arrivals, rejected, charged, busy, answered, in_time, waited, .. } = self;
        write!(
            f,
            "{arrivals} arrivals, {rejected} rejected, {charged} charged, busy {busy:.3}, \
             {in_time} of {answered} in time, {waited} waited, {} refused after {}, {} and {} ms, \
             {} after a burst, {} claims, {} bounded",
            self.refused.len(),
            self.refusal_ms(0.5),
            self.refusal_ms(0.9),
            self.refusal_ms(1.0),
            self.refused_after,
            self.claims,
            self.bounded,
        )
    }
}

#[derive(Default)]
struct Upstream {
    /// Requests that run, and when each ends.
    running: Vec<(Duration, usize)>,
    waiting: VecDeque<usize>,
}

struct Request {
    vm: usize,
    sent_at: Duration,
    tried: Vec<id::Upstream>,
    in_flight: Option<InFlight>,
    /// Until when it waits for room, and the requests before it.
    waits: Option<(Duration, usize)>,
    /// Until when it may wait for room.
    room_deadline: Option<Duration>,
}

struct Vm {
    balancer: Balancer,
    waiting: VecDeque<usize>,
    updates: u64,
}

struct World {
    setting: Setting,
    start: Instant,
    rng: SmallRng,
    vms: Vec<Vm>,
    upstreams: [Upstream; 3],
    hosts: Vec<Aggregator>,
    /// Summaries on their way, by time and VM.
    summaries: VecDeque<(Duration, usize, Summary)>,
    requests: Vec<Request>,
    tally: Tally,
}

fn vm_name(rank: usize) -> id::Vm {
    format!("vm{rank}").parse().unwrap()
}

fn new_hosts(start: u64) -> Vec<Aggregator> {
    (0..SHARDS).map(|_| Aggregator::new(start)).collect()
}

/// Plays a setting.
pub fn play(setting: Setting, seed: u64) -> Tally {
    let start = Instant::now();
    let names: Vec<id::Vm> = (0..setting.vms).map(vm_name).collect();
    let new_vm = |rank: usize| {
        let mut balancer = Balancer::new(SmallRng::seed_from_u64(seed * 1000 + rank as u64));
        let sender = Sender::new(vm_name(rank), &names, start);
        let endpoints =
            NAMES.map(|name| Endpoint { slots: Slots::new(SLOTS as u64), ..endpoint(name) });
        balancer.sync(endpoints.to_vec(), HashMap::from([(SERVICE.to_owned(), sender)]), start);
        Vm { balancer, waiting: VecDeque::new(), updates: 0 }
    };
    let mut world = World {
        setting,
        start,
        rng: SmallRng::seed_from_u64(seed),
        vms: (0..setting.vms).map(new_vm).collect(),
        upstreams: Default::default(),
        hosts: new_hosts(1),
        summaries: VecDeque::new(),
        requests: Vec::new(),
        tally: Tally::default(),
    };
    for step in 0..(SPAN.as_millis() / STEP.as_millis()) as u32 {
        world.advance(step);
    }
    let counted_steps = ((SPAN - COUNTED).as_millis() / STEP.as_millis()) as f64;
    let mut tally = world.tally;
    tally.busy /= counted_steps * (NAMES.len() * SLOTS) as f64;
    tally.refused.sort();
    let at = start + SPAN;
    tally.bounded = world.vms.iter().map(|vm| vm.balancer.bounded_count(at)).sum();
    tally
}

impl World {
    fn advance(&mut self, step: u32) {
        let at = STEP * step;
        if at == STRUCK && self.setting.fault == Fault::HostLost {
            self.hosts = new_hosts(2);
        }
        self.advance_upstreams(at);
        while self.summaries.front().is_some_and(|(due, ..)| *due <= at) {
            let (_, rank, summary) = self.summaries.pop_front().unwrap();
            self.vms[rank].balancer.apply_summary(&summary, self.start + at);
        }
        let turns = (UPDATE_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        for rank in 0..self.setting.vms {
            // VMs send at different times.
            if step as usize % turns == rank * 7 % turns {
                (0..SHARDS).for_each(|shard| self.share(rank, shard, at));
            }
            for _ in 0..self.vms[rank].waiting.len() {
                let Some(request) = self.vms[rank].waiting.pop_front() else { break };
                self.attempt(request, at);
            }
        }
        let is_burst = self.setting.fault == Fault::Burst && (STRUCK..STRUCK + FAULT).contains(&at);
        let factor = if is_burst { 6.0 } else { 1.0 };
        let capacity = (NAMES.len() * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
        let mut due = self.setting.load * factor * capacity * STEP.as_secs_f64();
        while due > 0.0 {
            if self.rng.random_bool(due.min(1.0)) {
                let vm = self.rng.random_range(0..self.setting.vms);
                self.requests.push(Request {
                    vm,
                    sent_at: at,
                    tried: Vec::new(),
                    in_flight: None,
                    waits: None,
                    room_deadline: None,
                });
                self.attempt(self.requests.len() - 1, at);
            }
            due -= 1.0;
        }
    }

    fn advance_upstreams(&mut self, at: Duration) {
        for index in 0..NAMES.len() {
            let upstream = &mut self.upstreams[index];
            if at >= COUNTED {
                self.tally.busy += upstream.running.len() as f64;
            }
            let ended: Vec<(Duration, usize)> =
                upstream.running.extract_if(.., |(ends, _)| *ends <= at).collect();
            while upstream.running.len() < SLOTS
                && let Some(request) = upstream.waiting.pop_front()
            {
                let ends = at + Duration::from_millis(self.rng.random_range(SERVICE_MS));
                upstream.running.push((ends, request));
            }
            for (_, request) in ended {
                self.end(request, index, Outcome::Answered, at);
                if at >= COUNTED {
                    let took = at - self.requests[request].sent_at;
                    self.tally.answered += 1;
                    self.tally.in_time += usize::from(took <= OBJECTIVE);
                }
            }
        }
    }

    /// Whether datagrams are lost.
    fn is_silent(&self, at: Duration) -> bool {
        let lost = match self.setting.fault {
            Fault::HostLost => HOST_LOST,
            Fault::Silence => FAULT,
            Fault::Nothing | Fault::Burst => return false,
        };
        (STRUCK..STRUCK + lost).contains(&at)
    }

    /// Exchanges with the host of a shard what both know of its upstreams.
    fn share(&mut self, rank: usize, shard: u8, at: Duration) {
        let (now, is_silent) = (self.start + at, self.is_silent(at));
        let vm = &mut self.vms[rank];
        vm.updates += 1;
        let claims = vm.balancer.claim(shard, now);
        if at >= COUNTED {
            self.tally.claims += claims.len() + vm.balancer.urgent_claims().len();
        }
        let loads = vm.balancer.loads(shard, now);
        let number = vm.updates;
        let update = Update { shard, start: 1, number, loads, claims, ..Update::default() };
        if is_silent {
            return;
        }
        let host = &mut self.hosts[usize::from(shard)];
        let summary = host.apply_update(&vm_name(rank), update, now).unwrap();
        self.summaries.push_back((at + SUMMARY_DELAY, rank, summary));
    }

    /// Sends a request, lets it wait for room, or refuses it, as the gateway does.
    fn attempt(&mut self, request: usize, at: Duration) {
        let now = self.start + at;
        let vm = self.requests[request].vm;
        let is_waiting = self.requests[request].waits.is_some();
        // The first of those that wait goes before new ones, and the others after it.
        let is_next = is_waiting || self.vms[vm].waiting.is_empty();
        while is_next && self.requests[request].tried.len() < MAX_ATTEMPTS {
            let balancer = &mut self.vms[vm].balancer;
            let tried = &self.requests[request].tried;
            let query = Query { max_wait: OBJECTIVE, ..query(tried) };
            let Some(placement) = balancer.choose(&query, now) else { break };
            if at >= COUNTED {
                self.tally.charged += usize::from(!tried.is_empty());
            }
            self.stop_waiting(request, at);
            let balancer = &mut self.vms[vm].balancer;
            let in_flight = balancer.record_sent(&placement, &Work::default(), now);
            let index = NAMES.iter().position(|name| *name == placement.id.as_str()).unwrap();
            self.requests[request].tried.push(placement.id);
            self.requests[request].in_flight = Some(in_flight);
            if self.offer(request, index, at) {
                return;
            }
            self.end(request, index, Outcome::Refused, at);
        }
        self.wait_or_refuse(request, at);
    }

    /// Offers a request to an upstream; returns whether it was accepted.
    fn offer(&mut self, request: usize, index: usize, at: Duration) -> bool {
        let upstream = &mut self.upstreams[index];
        let has_room = upstream.running.len() < SLOTS || upstream.waiting.len() < MAX_WAITING;
        // The first requests of a burst show the bound.
        let is_learning =
            self.setting.fault == Fault::Burst && (STRUCK..STRUCK + LEARNING_TIME).contains(&at);
        if at >= COUNTED && !is_learning {
            self.tally.arrivals += 1;
            self.tally.rejected += usize::from(!has_room);
        }
        if upstream.running.len() < SLOTS {
            let ends = at + Duration::from_millis(self.rng.random_range(SERVICE_MS));
            upstream.running.push((ends, request));
        } else if has_room {
            upstream.waiting.push_back(request);
        }
        has_room
    }

    fn wait_or_refuse(&mut self, request: usize, at: Duration) {
        let now = self.start + at;
        let Request { vm, sent_at, tried, waits, room_deadline, .. } = &mut self.requests[request];
        let Vm { balancer, waiting, .. } = &mut self.vms[*vm];
        let others = waiting.len();
        let may_wait = tried.len() < MAX_ATTEMPTS
            && (others > 0 || balancer.lacks_room(&query(tried), now))
            && match waits {
                Some((until, _)) => at < *until,
                None => {
                    let longest = balancer.max_room_wait(SERVICE, OBJECTIVE, now);
                    let until = *room_deadline.get_or_insert(at + longest);
                    *waits = Some((until, others));
                    at + balancer.room_wait(SERVICE, now) < until
                }
            };
        if may_wait {
            self.tally.waited += usize::from(at >= COUNTED && at == *sent_at);
            waiting.push_back(request);
            let count = waiting.len();
            balancer.set_waiting(SERVICE, count, now);
            return;
        }
        if at >= COUNTED {
            self.tally.refused.push(at - *sent_at);
            let is_after = at >= STRUCK + FAULT + AFTER;
            self.tally.refused_after += usize::from(is_after);
        }
        self.stop_waiting(request, at);
    }

    fn stop_waiting(&mut self, request: usize, at: Duration) {
        let Request { vm, waits, sent_at, .. } = &mut self.requests[request];
        let Some((_, others)) = waits.take() else { return };
        let Vm { balancer, waiting, .. } = &mut self.vms[*vm];
        if at > *sent_at {
            balancer.record_room_wait(SERVICE, at - *sent_at, others);
        }
        balancer.set_waiting(SERVICE, waiting.len(), self.start + at);
    }

    /// Tells the VM how a request ended at its upstream, and the load that the response states.
    fn end(&mut self, request: usize, index: usize, outcome: Outcome, at: Duration) {
        let now = self.start + at;
        let upstream = &self.upstreams[index];
        let (running, waiting) = (upstream.running.len() as u32, upstream.waiting.len() as u32);
        let report = Report { running, waiting, slots: None, pace: None };
        let Request { vm, in_flight, .. } = &mut self.requests[request];
        let Some(in_flight) = in_flight.take() else { return };
        let balancer = &mut self.vms[*vm].balancer;
        balancer.record_report(&in_flight.id, report, now);
        if outcome == Outcome::Refused {
            balancer.record_rejection(&in_flight, report, now);
        }
        balancer.record_end(in_flight, outcome, now);
    }
}
