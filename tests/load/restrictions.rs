//! What upstreams state in their responses, over the VMs of a region, judged by arrivals at the upstreams.

use std::collections::BTreeMap;
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
use masticstream::unit::Rate;
use masticstream::unit::Slots;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

const SERVICE: &str = "s";
/// The upstream that states something, and the others.
const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const STEP: Duration = Duration::from_millis(10);
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// When the upstream begins to state its limit.
const STATED: Duration = Duration::from_secs(2);
/// By then all VMs know, unless they are cut off from the others.
const KNOWN: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// What goes wrong with VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// The host of the shard is lost for half a second at 6 s, and another one begins without any state.
    HostLost,
    /// From 4 s on, two halves of the VMs have hosts of their own.
    Halves,
    /// Datagrams are lost, all of them.
    Silence,
    /// A tenth of the VMs, one at least, forget everything at 6 s.
    Restarts,
    /// A tenth of the VMs, one at least, stand still from 5 s to 8 s.
    Freeze,
}

/// What upstream `a` states at a time.
type States = fn(Duration) -> Option<f64>;

/// VMs, their load and what goes wrong.
struct Setting {
    vms: u32,
    /// Requests a second over all VMs.
    rate: f64,
    fault: Fault,
    span: Duration,
    states: States,
    /// Whether all upstreams state it.
    everywhere: bool,
}

struct Vm {
    balancer: Balancer,
    running: Vec<(Duration, InFlight)>,
    /// Distinguishes its starts.
    start: u64,
    number: u64,
    /// When it first received a statement.
    told: Option<Duration>,
}

#[derive(Debug, Default)]
struct Tally {
    /// Arrivals at upstream `a`.
    arrivals: Vec<Duration>,
    answered: u32,
    /// Refused requests, with the longest time to come back.
    refused: u32,
    longest_wait: Duration,
}

impl Tally {
    fn most_within(&self, from: Duration, window: Duration) -> usize {
        let arrivals: Vec<Duration> =
            self.arrivals.iter().copied().filter(|at| *at >= from).collect();
        let within = |first: &Duration| {
            arrivals.iter().filter(|at| (*first..*first + window).contains(*at)).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }

    fn count(&self, from: Duration, until: Duration) -> usize {
        self.arrivals.iter().filter(|at| (from..until).contains(*at)).count()
    }
}

fn endpoint(name: &str) -> Endpoint {
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

fn vm(rank: u32, count: u32, now: Instant) -> Vm {
    let mut balancer = Balancer::new(SmallRng::seed_from_u64(u64::from(rank)));
    let senders = HashMap::from([(SERVICE.to_owned(), Sender::new(rank, count))]);
    balancer.sync(NAMES.map(endpoint).to_vec(), senders, now);
    Vm { balancer, running: Vec::new(), start: 1, number: 0, told: None }
}

/// A VM and its host exchange what they know of the upstream's shard.
fn share(vm: &mut Vm, name: &id::Vm, host: &mut Aggregator, shard: u8, now: Instant) {
    vm.number += 1;
    let update = Update {
        shard,
        start: vm.start,
        number: vm.number,
        loads: vm.balancer.loads(shard, now),
        limits: vm.balancer.rate_notices(shard, now),
        draining: vm.balancer.draining(shard),
        ..Update::default()
    };
    let summary = host.apply_update(name, update, now).unwrap();
    vm.balancer.apply_summary(&summary, now);
}

fn play(setting: &Setting, seed: u64) -> Tally {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let shard = Key::new(&"a".parse().unwrap(), 1).shard();
    let mut vms: Vec<Vm> = (0..setting.vms).map(|rank| vm(rank, setting.vms, start)).collect();
    let names: Vec<id::Vm> =
        (0..setting.vms).map(|nth| format!("vm{nth}").parse().unwrap()).collect();
    let mut hosts = [Aggregator::new(1), Aggregator::new(2)];
    let affected = (setting.vms / 10).max(1);
    let mut tally = Tally::default();
    let steps = (setting.span.as_millis() / STEP.as_millis()) as u32;
    let turns = (UPDATE_INTERVAL.as_millis() / STEP.as_millis()) as u32;
    for step in 0..steps {
        let at = STEP * step;
        let now = start + at;
        let is_frozen = |nth: u32| {
            setting.fault == Fault::Freeze
                && nth < affected
                && (Duration::from_secs(5)..Duration::from_secs(8)).contains(&at)
        };
        if at == Duration::from_secs(6) && setting.fault == Fault::HostLost {
            hosts[0] = Aggregator::new(3);
        }
        if at == Duration::from_secs(6) && setting.fault == Fault::Restarts {
            for rank in 0..affected {
                vms[rank as usize] = Vm { start: 2, ..vm(rank, setting.vms, now) };
            }
        }
        let is_host_lost = setting.fault == Fault::HostLost
            && (Duration::from_secs(6)..Duration::from_millis(6500)).contains(&at);
        for (nth, vm) in (0..).zip(&mut vms) {
            if is_frozen(nth) {
                continue;
            }
            for (_, in_flight) in vm.running.extract_if(.., |(ends, _)| *ends <= at) {
                let is_stating = in_flight.id.as_str() == "a" || setting.everywhere;
                let limit = (setting.states)(at).filter(|_| is_stating);
                let stated = limit.map(|limit| Statement::Value(Rate::per_second(limit)));
                if limit.is_some() && in_flight.id.as_str() == "a" {
                    vm.told.get_or_insert(at);
                }
                let feedback =
                    Feedback { rate_limit: stated.unwrap_or_default(), ..Feedback::default() };
                vm.balancer.record_feedback(&in_flight, &feedback, now);
                vm.balancer.record_end(in_flight, Outcome::Answered, now);
                tally.answered += 1;
            }
            let is_alone = is_host_lost || setting.fault == Fault::Silence;
            if step % turns == nth % turns && !is_alone {
                let is_second =
                    setting.fault == Fault::Halves && at >= Duration::from_secs(4) && nth % 2 == 1;
                let host = &mut hosts[usize::from(is_second)];
                share(vm, &names[nth as usize], host, shard, now);
            }
        }
        let mut due = setting.rate * STEP.as_secs_f64();
        while due > 0.0 && rng.random_bool(due.min(1.0)) {
            due -= 1.0;
            let nth = rng.random_range(0..setting.vms);
            if is_frozen(nth) {
                continue;
            }
            let vm = &mut vms[nth as usize];
            let (work, max_wait) = (Work::default(), Duration::MAX);
            let query = Query {
                service: SERVICE,
                work,
                tried: &[],
                holds_prefix: false,
                urgent: true,
                max_wait,
            };
            let Some(placement) = vm.balancer.choose(&query, now) else {
                let wait = vm.balancer.next_opening(SERVICE, now);
                tally.longest_wait =
                    tally.longest_wait.max(wait.expect("restrictions are the reason"));
                tally.refused += 1;
                continue;
            };
            // A VM that hears nothing of the others obeys once it has received a response itself.
            let is_excused = setting.fault == Fault::Silence
                && vm.told.is_none_or(|told| at < told + Duration::from_millis(500));
            if placement.id.as_str() == "a" && !is_excused {
                tally.arrivals.push(at);
            }
            let in_flight = vm.balancer.record_sent(&placement, &work, now);
            vm.running.push((at + SERVICE_TIME, in_flight));
        }
    }
    tally
}

/// Requests that may arrive in [`WINDOW`] under a limit.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

fn setting(vms: u32, states: States) -> Setting {
    let rate = f64::from(vms).max(50.0) * 1.6;
    let (fault, span, everywhere) = (Fault::Nothing, Duration::from_secs(14), false);
    Setting { vms, rate, fault, span, states, everywhere }
}

fn from_stated(at: Duration, limit: f64) -> Option<f64> {
    (at >= STATED).then_some(limit)
}

const LIMITS: [(f64, States); 4] = [
    (0.0, |at| from_stated(at, 0.0)),
    (0.3, |at| from_stated(at, 0.3)),
    (3.4, |at| from_stated(at, 3.4)),
    (50.0, |at| from_stated(at, 50.0)),
];

fn check(setting: &Setting, limit: f64) {
    let tally = play(setting, 40);
    let (most, allowed) = (tally.most_within(KNOWN, WINDOW), allowed(limit));
    let what = format!("limit {limit}, {} VMs, {:?}", setting.vms, setting.fault);
    assert!(most <= allowed, "{what}: {most} requests in {WINDOW:?}, allowed {allowed}");
    assert_eq!(tally.refused, 0, "{what}: the other upstreams have room");
}

// Guards against each VM using a whole limit, or rounding its share up to one request.
#[tokio::test(start_paused = true)]
async fn a_limit_holds_for_the_sum_over_few_and_many_vms() {
    for vms in [3, 14, 80, 985] {
        for (limit, states) in LIMITS {
            check(&setting(vms, states), limit);
        }
    }
}

// Guards against a sum that depends on one VM: the host of a shard is lost, VMs are cut apart, restart or stand still.
#[tokio::test(start_paused = true)]
async fn a_limit_holds_while_vms_fail() {
    let faults = [Fault::HostLost, Fault::Halves, Fault::Silence, Fault::Restarts, Fault::Freeze];
    for vms in [3, 14, 80] {
        for (limit, states) in LIMITS {
            for fault in faults {
                check(&Setting { fault, ..setting(vms, states) }, limit);
            }
        }
    }
}

// Guards against a share that serves nobody: where the upstream is all there is, most of its limit is used, and the
// other requests are refused at once.
#[tokio::test(start_paused = true)]
async fn most_of_a_limit_is_used() {
    for vms in [3, 14, 80, 985] {
        for (limit, states) in LIMITS.into_iter().skip(2) {
            let setting = Setting { everywhere: true, ..setting(vms, states) };
            let tally = play(&setting, 41);
            let (from, until) = (Duration::from_secs(4), setting.span);
            let expected =
                (setting.rate / NAMES.len() as f64).min(limit) * (until - from).as_secs_f64();
            let used = tally.count(from, until) as f64 / expected;
            assert!(used >= 0.5, "limit {limit}, {vms} VMs: {used:.2} of it used");
        }
    }
}

// Guards against a burst when a limit ends, and against an upstream that is never used again.
#[tokio::test(start_paused = true)]
async fn after_a_limit_the_upstream_fills_up_in_steps() {
    let states: States = |at| from_stated(at, 4.0).filter(|_| at < Duration::from_secs(8));
    for vms in [3, 14, 80] {
        let setting = Setting { span: Duration::from_secs(20), ..setting(vms, states) };
        let tally = play(&setting, 42);
        let ended = Duration::from_secs(8);
        let first = tally.count(ended, ended + Duration::from_millis(500));
        assert!(first <= 8, "{vms} VMs: {first} requests in the first half second");
        let last = tally.count(Duration::from_secs(16), Duration::from_secs(20)) as f64 / 4.0;
        assert!(last >= setting.rate / 4.0 * 0.7, "{vms} VMs: {last} a second at last");
    }
}

// Guards against turns that shift with each response, while an upstream states another limit each time.
#[tokio::test(start_paused = true)]
async fn a_limit_that_changes_all_the_time_holds() {
    let states: States = |at| from_stated(at, 3.0 + (at.as_millis() / 10 % 10) as f64 * 0.1);
    for vms in [3, 14, 80] {
        check(&setting(vms, states), 3.9);
    }
}

// Guards against limits of the process before: an upstream restarts under its name and states none.
#[tokio::test(start_paused = true)]
async fn a_restarted_upstream_has_no_limit() {
    let now = Instant::now();
    let mut vm = vm(0, 1, now);
    let (work, max_wait) = (Work::default(), Duration::MAX);
    let tried: Vec<id::Upstream> = NAMES[1..].iter().map(|name| name.parse().unwrap()).collect();
    let query = Query {
        service: SERVICE,
        work,
        tried: &tried,
        holds_prefix: false,
        urgent: true,
        max_wait,
    };
    let placement = vm.balancer.choose(&query, now).unwrap();
    let in_flight = vm.balancer.record_sent(&placement, &work, now);
    let feedback =
        Feedback { rate_limit: Statement::Value(Rate::per_second(0.0)), ..Feedback::default() };
    vm.balancer.record_feedback(&in_flight, &feedback, now);
    let sent = vm
        .balancer
        .choose(&query, now)
        .map(|placement| vm.balancer.record_sent(&placement, &work, now));
    assert!(vm.balancer.choose(&query, now).is_none());
    let endpoints = NAMES.map(|name| Endpoint { incarnation: 2, ..endpoint(name) });
    vm.balancer.sync(endpoints.to_vec(), HashMap::new(), now);
    // A late response of the process before says nothing about this one.
    for in_flight in [Some(in_flight), sent].into_iter().flatten() {
        vm.balancer.record_feedback(&in_flight, &feedback, now);
    }
    let sent: BTreeMap<u32, bool> =
        (0..20).map(|nth| (nth, vm.balancer.choose(&query, now).is_some())).collect();
    assert!(sent.values().all(|is_placed| *is_placed));
}
