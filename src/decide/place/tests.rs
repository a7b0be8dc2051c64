use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Balancer;
use super::Cold;
use super::Endpoint;
use super::Outcome;
use super::Query;
use super::Report;
use super::Sender;
use super::Work;
use super::service::Prefix;
use super::wait;
use crate::decide::engine::Output;
use crate::decide::feedback::Feedback;
use crate::decide::feedback::Statement;
use crate::decide::room::Grant;
use crate::decide::sharing::Key;
use crate::decide::sharing::Load;
use crate::decide::sharing::Summary;
use crate::id;
use crate::unit::Rate;
use crate::unit::Slots;
use crate::unit::Tokens;

fn balancer() -> Balancer {
    Balancer::new(SmallRng::seed_from_u64(1))
}

/// The given VM among `count` VMs.
fn senders(vm: u32, count: u32) -> HashMap<String, Sender> {
    let names: Vec<id::Vm> = (0..count).map(|nth| format!("vm{nth}").parse().unwrap()).collect();
    let sender = Sender::new(names[vm as usize].clone(), &names, Instant::now());
    HashMap::from([("s".to_owned(), sender)])
}

fn engine(name: &str) -> Endpoint {
    Endpoint {
        id: name.parse().unwrap(),
        incarnation: 1,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: Slots::new(48),
        memory: Some(Tokens::new(360_000)),
        connections: 100,
        cold: None,
        open: true,
        draining: false,
        silent: false,
    }
}

fn long_prompt(key: u64) -> Work {
    let prefix = Prefix { key, tokens: Tokens::new(13_300) };
    Work {
        prefix: Some(prefix),
        suffix: Tokens::new(3_700),
        output: Output { limit: Tokens::new(120), hint: None },
        ..Work::default()
    }
}

fn query(work: Work) -> Query<'static> {
    let max_wait = Duration::from_millis(1200);
    Query { service: "s", work, tried: &[], holds_prefix: true, urgent: true, max_wait, only: None }
}

// Guards against recomputing a prefix on each engine: all VMs must choose the same engine for it.
#[tokio::test(start_paused = true)]
async fn a_prefix_is_computed_once() {
    let now = Instant::now();
    let (mut one, mut other) = (balancer(), balancer());
    for vm in [&mut one, &mut other] {
        vm.sync(["a", "b", "c", "d"].map(engine).to_vec(), senders(0, 2), now);
    }
    for key in 0..50 {
        let first = one.choose(&query(long_prompt(key)), now).unwrap();
        let second = other.choose(&query(long_prompt(key)), now).unwrap();
        assert_eq!(first.id, second.id);
        let in_flight = one.record_sent(&first, &long_prompt(key), now);
        one.record_end(in_flight, Outcome::Answered, now);
    }
}

// Guards against queueing all requests for a hot prefix on one engine while others idle.
#[tokio::test(start_paused = true)]
async fn a_hot_prefix_is_replicated() {
    let now = Instant::now();
    let mut balancer = balancer();
    balancer.sync(["a", "b", "c", "d"].map(engine).to_vec(), senders(0, 1), now);
    let mut waits = Vec::new();
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let placement = balancer.choose(&query(long_prompt(7)), now).unwrap();
        waits.push(placement.first_event);
        used.insert(placement.id.clone());
        balancer.record_sent(&placement, &long_prompt(7), now);
    }
    assert_eq!(used.len(), 4);
    assert!(waits.iter().max().unwrap() < &Duration::from_millis(1300), "{waits:?}");
}

// Guards against overloading an upstream that has just started: it crashes above a few requests a second.
#[tokio::test(start_paused = true)]
async fn a_cold_upstream_is_paced() {
    let now = Instant::now();
    let cold = Cold { until: now + Duration::from_secs(3), rate: Rate::per_second(6.0) };
    let mut vms = [balancer(), balancer(), balancer()];
    for (nth, vm) in (0..).zip(&mut vms) {
        vm.sync(vec![Endpoint { cold: Some(cold), ..engine("a") }], senders(nth, 3), now);
    }
    let mut sent = 0;
    for millis in (0..3000).step_by(10) {
        let now = now + Duration::from_millis(millis);
        for vm in &mut vms {
            if let Some(placement) = vm.choose(&query(Work::default()), now) {
                vm.record_sent(&placement, &Work::default(), now);
                sent += 1;
            }
        }
    }
    assert!((17..=19).contains(&sent), "{sent} in three seconds");
}

// Guards against a burst from 26 VMs that each stay below the rate limit of a cold upstream. The upstream must
// receive close to its rate in each second.
#[tokio::test(start_paused = true)]
async fn many_vms_send_a_cold_upstream_what_it_bears() {
    const VMS: u32 = 26;
    const SECOND: Duration = Duration::from_secs(1);
    let now = Instant::now();
    let cold = Cold { until: now + Duration::from_secs(3), rate: Rate::per_second(6.7) };
    let mut vms: Vec<Balancer> = (0..VMS).map(|_| balancer()).collect();
    for (rank, vm) in (0..).zip(&mut vms) {
        vm.sync(vec![Endpoint { cold: Some(cold), ..engine("a") }], senders(rank, VMS), now);
    }
    let mut sent: Vec<Duration> = Vec::new();
    for at in (0..3000).step_by(5).map(Duration::from_millis) {
        for vm in &mut vms {
            if let Some(placement) = vm.choose(&query(Work::default()), now + at) {
                vm.record_sent(&placement, &Work::default(), now + at);
                sent.push(at);
            }
        }
    }
    for from in (0..2000).step_by(50).map(Duration::from_millis) {
        let second = sent.iter().filter(|at| (from..from + SECOND).contains(*at)).count();
        assert!(second as f64 <= 6.7 * 1.5 + 3.0, "{second} in the second from {from:?}");
        assert!(second >= 5, "{second} in the second from {from:?}");
    }
}

// Guards against callers who wait, or return in vain, while the VM has no turn at the only upstream.
#[tokio::test(start_paused = true)]
async fn callers_are_told_the_next_turn_at_a_cold_upstream() {
    let mut now = Instant::now();
    let mut balancer = balancer();
    let cold = Cold { until: now + Duration::from_secs(3), rate: Rate::per_second(6.0) };
    balancer.sync(vec![Endpoint { cold: Some(cold), ..engine("a") }], senders(0, 2), now);
    let mut refused = 0;
    while now < cold.until {
        match balancer.choose(&query(Work::default()), now) {
            Some(placement) => {
                balancer.record_sent(&placement, &Work::default(), now);
            }
            None => {
                refused += 1;
                let wait = balancer.next_opening("s", now).unwrap();
                assert!(wait <= Duration::from_secs(2));
                now += wait + Duration::from_millis(1);
                assert!(balancer.choose(&query(Work::default()), now).is_some(), "after {wait:?}");
            }
        }
    }
    assert!(refused >= 3, "{refused} refused");
}

// Guards against a request that waits for a connection to a dead upstream because the cold one has no turn for it.
#[tokio::test(start_paused = true)]
async fn an_unreachable_upstream_does_not_replace_a_cold_one() {
    let now = Instant::now();
    let mut balancer = balancer();
    let cold = Cold { until: now + Duration::from_secs(3), rate: Rate::per_second(0.5) };
    let cold = Endpoint { cold: Some(cold), ..engine("a") };
    balancer.sync(vec![cold, Endpoint { silent: true, ..engine("b") }], senders(0, 1), now);
    for _ in 0..5 {
        let Some(placement) = balancer.choose(&query(Work::default()), now) else { return };
        assert_eq!(placement.id.as_str(), "a");
        balancer.record_sent(&placement, &Work::default(), now);
    }
    panic!("the cold upstream takes more than its rate");
}

// An upstream refuses connections. It must be avoided during the backoff, unless it is the only one.
#[tokio::test(start_paused = true)]
async fn an_unreachable_upstream_is_avoided_during_its_backoff() {
    let now = Instant::now();
    let mut balancer = balancer();
    balancer.sync(vec![engine("a"), engine("b")], senders(0, 1), now);
    for _ in 0..20 {
        let placement = balancer.choose(&query(Work::default()), now).unwrap();
        let in_flight = balancer.record_sent(&placement, &Work::default(), now);
        let is_dead = placement.id == "a".parse::<id::Upstream>().unwrap();
        let outcome = if is_dead { Outcome::Unreachable } else { Outcome::Answered };
        balancer.record_end(in_flight, outcome, now);
    }
    let tries = (0..20).filter(|_| {
        let placement = balancer.choose(&query(Work::default()), now).unwrap();
        placement.id.as_str() == "a"
    });
    assert_eq!(tries.count(), 0);
    balancer.sync(vec![engine("a")], senders(0, 1), now);
    assert!(
        balancer.choose(&query(Work::default()), now).is_some(),
        "the only upstream is used despite the backoff"
    );
}

// One of three upstreams resets half of its requests and is therefore often idle. It must not attract traffic.
#[tokio::test(start_paused = true)]
async fn a_failing_upstream_loses_its_traffic() {
    let mut now = Instant::now();
    let mut balancer = balancer();
    balancer.sync(["a", "b", "c"].map(engine).to_vec(), senders(0, 1), now);
    let mut to_a = 0;
    for nth in 0..300 {
        now += Duration::from_millis(10);
        let placement = balancer.choose(&query(Work::default()), now).unwrap();
        let in_flight = balancer.record_sent(&placement, &Work::default(), now);
        let is_failing = placement.id.as_str() == "a";
        to_a += u32::from(is_failing);
        let outcome = if is_failing && nth % 2 == 0 { Outcome::Failed } else { Outcome::Answered };
        balancer.record_end(in_flight, outcome, now);
    }
    assert!(to_a < 30, "{to_a} of 300");
}

// One of three engines fails each stream at once although its health checks succeed. Since it is always idle, load
// alone would send all new streams to it.
#[tokio::test(start_paused = true)]
async fn an_idle_failing_engine_attracts_no_streams() {
    let mut now = Instant::now();
    let mut balancer = balancer();
    balancer.sync(["a", "b", "c"].map(engine).to_vec(), senders(0, 3), now);
    let stream = Work {
        suffix: Tokens::new(800),
        output: Output { limit: Tokens::new(400), hint: Some(Tokens::new(300)) },
        ..Work::default()
    };
    let mut to_a = 0;
    for _ in 0..200 {
        now += Duration::from_millis(20);
        for busy in ["b", "c"] {
            balancer.record_report(&busy.parse().unwrap(), Report { running: 40, waiting: 0 }, now);
        }
        balancer.record_report(&"a".parse().unwrap(), Report { running: 0, waiting: 0 }, now);
        let placement = balancer.choose(&query(stream), now).unwrap();
        let in_flight = balancer.record_sent(&placement, &stream, now);
        let fails = placement.id.as_str() == "a";
        to_a += u32::from(fails);
        let outcome = if fails { Outcome::Error } else { Outcome::Answered };
        balancer.record_end(in_flight, outcome, now);
    }
    assert!(to_a < 20, "{to_a} of 200");
}

#[tokio::test(start_paused = true)]
async fn load_reports_count_the_requests_of_other_vms() {
    let now = Instant::now();
    let mut balancer = balancer();
    balancer.sync(vec![engine("a"), engine("b")], senders(0, 3), now);
    balancer.record_report(&"a".parse().unwrap(), Report { running: 40, waiting: 20 }, now);
    balancer.record_report(&"b".parse().unwrap(), Report { running: 2, waiting: 0 }, now);
    for _ in 0..10 {
        assert_eq!(balancer.choose(&query(Work::default()), now).unwrap().id.as_str(), "b");
    }
}

// An upstream restarts under the same name. Its old requests and failures must not count for the new incarnation.
#[tokio::test(start_paused = true)]
async fn a_restart_clears_the_failure_history() {
    let now = Instant::now();
    let mut balancer = balancer();
    balancer.sync(vec![engine("a")], senders(0, 1), now);
    let placement = balancer.choose(&query(long_prompt(1)), now).unwrap();
    let in_flight = balancer.record_sent(&placement, &long_prompt(1), now);
    balancer.sync(vec![Endpoint { incarnation: 2, ..engine("a") }], senders(0, 1), now);
    balancer.record_end(in_flight, Outcome::Failed, now);
    let placement = balancer.choose(&query(Work::default()), now).unwrap();
    assert!(placement.first_event < Duration::from_millis(60));
}

/// Simulates two engines at 150% of their capacity, with prefills of 100 ms. Returns the number of requests whose
/// first event meets the objective.
fn in_time(bound: Option<Duration>) -> usize {
    const OBJECTIVE: Duration = Duration::from_millis(800);
    const READS: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let mut balancer = balancer();
    balancer.sync(["a", "b"].map(engine).to_vec(), senders(0, 1), start);
    let work = Work { suffix: Tokens::new(5_000), ..Work::default() };
    let mut free = std::collections::HashMap::new();
    let mut running = Vec::new();
    let mut good = 0;
    for nth in 0..300 {
        let now = start + Duration::from_millis(33) * nth;
        let due = running.extract_if(.., |(first, _)| *first <= now);
        for (first, mut in_flight) in due.collect::<Vec<_>>() {
            balancer.record_event(&mut in_flight, first);
            balancer.record_end(in_flight, Outcome::Answered, first);
        }
        let placement = balancer.choose(&query(work), now).unwrap();
        if bound.is_some_and(|bound| placement.first_event > bound) {
            continue;
        }
        let start_at = *free.get(&placement.id).unwrap_or(&now);
        let first = start_at.max(now) + READS;
        free.insert(placement.id.clone(), first);
        good += usize::from(first <= now + OBJECTIVE);
        running.push((first, balancer.record_sent(&placement, &work, now)));
    }
    good
}

// Guards against accepting every request during overload: without a limit, all requests are late after two seconds.
#[tokio::test(start_paused = true)]
async fn under_overload_what_can_be_in_time_is() {
    let with = in_time(Some(wait::limit(Duration::from_millis(800), false)));
    let without = in_time(None);
    assert!(with >= 180, "{with} of 300 with the bound");
    assert!(without <= 90, "{without} of 300 without it");
}

/// Simulates a plain service with six slots and a service time of 60 ms.
struct Plain {
    balancer: Balancer,
    /// When each slot becomes free.
    free: [Instant; 6],
    running: Vec<(Instant, super::InFlight)>,
}

impl Plain {
    const SERVICE_TIME: Duration = Duration::from_millis(60);

    fn new(now: Instant) -> Self {
        let mut balancer = balancer();
        balancer.sync(
            vec![Endpoint { slots: Slots::new(6), memory: None, ..engine("a") }],
            senders(0, 1),
            now,
        );
        Self { balancer, free: [now; 6], running: Vec::new() }
    }

    /// Sends a request; returns the expected and the actual latency.
    fn send(&mut self, now: Instant) -> (Duration, Duration) {
        for (_, in_flight) in self.running.extract_if(.., |(ends, _)| *ends <= now) {
            self.balancer.record_end(in_flight, Outcome::Answered, now);
        }
        let placement = self.balancer.choose(&query(Work::default()), now).unwrap();
        let slot = self.free.iter_mut().min().unwrap();
        *slot = (*slot).max(now) + Self::SERVICE_TIME;
        let ends = *slot;
        self.running.push((ends, self.balancer.record_sent(&placement, &Work::default(), now)));
        (placement.first_event, ends - now)
    }
}

// A plain service runs at 110% of its capacity. The wait for a slot must not be counted twice, or requests are
// rejected that would meet their deadlines.
#[tokio::test(start_paused = true)]
async fn the_wait_for_a_slot_is_counted_once() {
    let start = Instant::now();
    let mut plain = Plain::new(start);
    for nth in 0..220 {
        let now = start + Duration::from_millis(9) * nth;
        let (expected, took) = plain.send(now);
        let is_measured = nth > 50;
        assert!(!is_measured || expected < took.mul_f64(1.5), "{nth}: {expected:?} for {took:?}");
        assert!(!is_measured || expected > took.mul_f64(0.6), "{nth}: {expected:?} for {took:?}");
    }
}

// All slots of an engine are in use by urgent requests. A request that is not urgent would be preempted and
// recomputed there repeatedly, so it must go to an engine with free slots.
#[tokio::test(start_paused = true)]
async fn requests_that_are_not_urgent_avoid_a_full_engine() {
    let now = Instant::now();
    let mut balancer = balancer();
    balancer.sync(["a", "b"].map(engine).to_vec(), senders(0, 2), now);
    let first = balancer.choose(&query(long_prompt(1)), now).unwrap().id;
    balancer.record_report(&first, Report { running: 48, waiting: 2 }, now);
    let query = Query { urgent: false, ..query(long_prompt(1)) };
    let other = balancer.choose(&query, now).unwrap();
    assert_ne!(other.id, first);
    assert!(other.first_event < Duration::from_millis(500), "{other:?}");
    balancer.record_report(&other.id, Report { running: 48, waiting: 2 }, now);
    let full = balancer.choose(&query, now).unwrap();
    let max_wait = wait::limit(Duration::from_millis(1200), false);
    assert!(full.first_event > max_wait, "rejected if all engines are full: {full:?}");
}

// The engine that caches a prefix is overloaded. All VMs must choose the same second engine, or the prefix is
// recomputed on several.
#[tokio::test(start_paused = true)]
async fn all_vms_take_the_same_second_engine() {
    let now = Instant::now();
    let (mut one, mut other) = (balancer(), balancer());
    for key in 0..30 {
        for vm in [&mut one, &mut other] {
            *vm = balancer();
            vm.sync(["a", "b", "c", "d", "e", "f"].map(engine).to_vec(), senders(0, 2), now);
        }
        let first = one.choose(&query(long_prompt(key)), now).unwrap().id;
        let seconds = [&mut one, &mut other].map(|vm| {
            vm.record_report(&first, Report { running: 47, waiting: 200 }, now);
            vm.choose(&query(long_prompt(key)), now).unwrap().id
        });
        assert_ne!(seconds[0], first);
        assert_eq!(seconds[0], seconds[1], "prefix {key}");
    }
}

fn states_draining() -> Feedback {
    Feedback { draining: Statement::Value(true), ..Feedback::default() }
}

// Guards against a slower record, or a return to the roster, that undoes what an upstream stated in a response.
#[tokio::test(start_paused = true)]
async fn a_draining_upstream_is_not_used_until_it_has_restarted() {
    let now = Instant::now();
    let mut balancer = balancer();
    balancer.sync(vec![engine("a")], senders(0, 1), now);
    let placement = balancer.choose(&query(Work::default()), now).unwrap();
    let in_flight = balancer.record_sent(&placement, &Work::default(), now);
    balancer.record_feedback(&in_flight, &states_draining(), now);
    balancer.record_end(in_flight, Outcome::Answered, now);
    assert_eq!(balancer.choose(&query(Work::default()), now), None);
    balancer.sync(vec![engine("a")], senders(0, 1), now);
    assert_eq!(balancer.choose(&query(Work::default()), now), None, "ready in the roster");
    balancer.sync(Vec::new(), senders(0, 1), now);
    balancer.sync(vec![engine("a")], senders(0, 1), now);
    assert_eq!(balancer.choose(&query(Work::default()), now), None, "back in the roster");
    let restarted = Endpoint { incarnation: 2, ..engine("a") };
    balancer.sync(vec![restarted], senders(0, 1), now);
    assert!(balancer.choose(&query(Work::default()), now).is_some());
}

// Guards against a check-in that only one VM hears of, because the control VM that received it is cut off from the others.
#[tokio::test(start_paused = true)]
async fn one_vm_that_knows_of_a_draining_upstream_tells_the_others() {
    let now = Instant::now();
    let (mut one, mut other) = (balancer(), balancer());
    one.sync(vec![Endpoint { draining: true, open: false, ..engine("a") }], senders(0, 2), now);
    other.sync(vec![engine("a")], senders(1, 2), now);
    let shard = Key::new(&"a".parse().unwrap(), 1).shard();
    let draining = one.draining(shard);
    assert_eq!(draining.len(), 1);
    let summary = Summary { shard, draining, ..Summary::default() };
    other.apply_summary(&summary, now);
    assert_eq!(other.choose(&query(Work::default()), now), None);
    assert_eq!(other.draining(shard), [], "news of another VM is not passed on");
}

// Guards against forwarding to a region whose upstreams take hardly anything: its outlook must include the limit.
#[tokio::test(start_paused = true)]
async fn the_outlook_includes_rate_limits_and_pauses() {
    let now = Instant::now();
    let mut balancer = balancer();
    balancer.sync(vec![engine("a")], senders(0, 4), now);
    let free = balancer.outlook("s", true, now).unwrap().wait;
    let placement = balancer.choose(&query(Work::default()), now).unwrap();
    let in_flight = balancer.record_sent(&placement, &Work::default(), now);
    let rate_limit = Statement::Value(Rate::per_second(2.0));
    let limited = Feedback { rate_limit, ..Feedback::default() };
    balancer.record_feedback(&in_flight, &limited, now);
    let wait = balancer.outlook("s", true, now).unwrap().wait;
    assert!(wait >= free + Duration::from_secs(1), "{wait:?} after {free:?}");
    let backoff = Statement::Value(Duration::from_secs(3));
    let pausing = Feedback { is_refusal: true, backoff, ..Feedback::default() };
    balancer.record_feedback(&in_flight, &pausing, now);
    assert_eq!(balancer.outlook("s", true, now).unwrap().wait, Duration::from_secs(3));
}

fn plain(name: &str) -> Endpoint {
    Endpoint { memory: None, slots: Slots::new(6), ..engine(name) }
}

// Guards against requests that pile up at an upstream that stands still, until the first of them is given up.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_stalls_gets_few_requests_until_the_first_is_given_up() {
    const SERVICE_TIME: Duration = Duration::from_millis(15);
    let mut vm = balancer();
    vm.sync(["a", "b"].map(plain).to_vec(), senders(0, 1), Instant::now());
    let query = query(Work::default());
    for name in ["a", "b"].repeat(10) {
        let only = name.parse().unwrap();
        let now = Instant::now();
        let placed = vm.choose(&Query { only: Some(&only), ..query }, now).unwrap();
        let in_flight = vm.record_sent(&placed, &Work::default(), now);
        tokio::time::advance(SERVICE_TIME).await;
        vm.record_end(in_flight, Outcome::Answered, Instant::now());
    }
    let silent: id::Upstream = "a".parse().unwrap();
    let mut waiting = Vec::new();
    let mut sent_at = Vec::new();
    for _ in 0..60 {
        let now = Instant::now();
        let placed = vm.choose(&query, now).unwrap();
        let in_flight = vm.record_sent(&placed, &Work::default(), now);
        tokio::time::advance(Duration::from_millis(5)).await;
        match placed.id == silent {
            true => {
                waiting.push(in_flight);
                sent_at.push(now);
            }
            false => vm.record_end(in_flight, Outcome::Answered, Instant::now()),
        }
    }
    let span = *sent_at.last().unwrap() - sent_at[0];
    assert!(span <= SERVICE_TIME * 4, "requests are sent there for {span:?}");
    for in_flight in waiting {
        vm.record_end(in_flight, Outcome::Unanswered, Instant::now());
    }
    assert!(vm.unanswered() > 0);
    let alone = Query { only: Some(&silent), ..query };
    assert_eq!(vm.choose(&alone, Instant::now()), None, "it is used although it is silent");
    assert_eq!(vm.next_opening("s", Instant::now()), None, "the other upstream is open");
    tokio::time::advance(Duration::from_secs(1)).await;
    let placed = vm.choose(&alone, Instant::now()).expect("it is never probed");
    let in_flight = vm.record_sent(&placed, &Work::default(), Instant::now());
    vm.record_end(in_flight, Outcome::Answered, Instant::now());
    assert_eq!(vm.unanswered(), 0);
}

// Guards against callers who are refused after each pause of a VM, since it gave up what it could not read meanwhile.
#[tokio::test(start_paused = true)]
async fn requests_that_end_in_a_pause_do_not_count_against_their_upstream() {
    let mut vm = balancer();
    vm.sync(vec![plain("a")], senders(0, 1), Instant::now());
    vm.observe(Instant::now(), Instant::now());
    let placed = vm.choose(&query(Work::default()), Instant::now()).unwrap();
    let in_flight = vm.record_sent(&placed, &Work::default(), Instant::now());
    tokio::time::advance(Duration::from_secs(2)).await;
    assert!(vm.observe(Instant::now(), Instant::now()).is_some());
    vm.record_end(in_flight, Outcome::Unanswered, Instant::now());
    assert_eq!(vm.unanswered(), 0);
    assert!(vm.choose(&query(Work::default()), Instant::now()).is_some());
}

// Guards against a VM that does not find out that it is cut off, since it sends upstreams that do not answer nothing more.
#[tokio::test(start_paused = true)]
async fn upstreams_that_do_not_answer_are_silent_although_nothing_runs_there() {
    let mut vm = balancer();
    vm.sync(["a", "b"].map(plain).to_vec(), senders(0, 1), Instant::now());
    let in_flight: Vec<_> = ["a", "b"]
        .iter()
        .map(|name| {
            let only = name.parse().unwrap();
            let query = Query { only: Some(&only), ..query(Work::default()) };
            let placed = vm.choose(&query, Instant::now()).unwrap();
            vm.record_sent(&placed, &Work::default(), Instant::now())
        })
        .collect();
    tokio::time::advance(Duration::from_millis(300)).await;
    for in_flight in in_flight {
        vm.record_end(in_flight, Outcome::Unanswered, Instant::now());
    }
    tokio::time::advance(Duration::from_millis(1700)).await;
    assert_eq!(vm.silence(Instant::now()), Some(Duration::from_secs(2)));
    vm.forget_silence();
    assert_eq!(vm.silence(Instant::now()), None);
}

// Guards against an upstream that is taken for alive for good since another VM heard it after the first request was sent.
#[tokio::test(start_paused = true)]
async fn what_another_vm_heard_before_an_upstream_stopped_does_not_show_that_it_answers() {
    let mut vm = balancer();
    vm.sync(vec![plain("a")], senders(0, 2), Instant::now());
    let query = query(Work::default());
    for is_silent in [false, true] {
        let placed = vm.choose(&query, Instant::now()).expect("it is not known to be silent");
        let in_flight = vm.record_sent(&placed, &Work::default(), Instant::now());
        tokio::time::advance(Duration::from_millis(300)).await;
        let heard = if is_silent { 400 } else { 200 };
        let load = Load { heard: Some(Duration::from_millis(heard)), ..Load::default() };
        let key = Key::new(&"a".parse().unwrap(), 1);
        let loads = vec![(key, load)];
        let summary = Summary { shard: key.shard(), loads, ..Summary::default() };
        vm.apply_summary(&summary, Instant::now());
        vm.record_end(in_flight, Outcome::Unanswered, Instant::now());
        assert_eq!(vm.choose(&query, Instant::now()).is_none(), is_silent);
    }
}

/// A balancer of two VMs at an upstream which states how many requests it can refuse.
fn at_an_upstream_that_can_refuse_little(now: Instant) -> Balancer {
    let mut vm = balancer();
    vm.sync(vec![plain("a")], senders(0, 2), now);
    let placed = vm.choose(&query(Work::default()), now).unwrap();
    let in_flight = vm.record_sent(&placed, &Work::default(), now);
    let refusal_limit = Statement::Value(Rate::per_second(3.0));
    vm.record_feedback(&in_flight, &Feedback { refusal_limit, ..Feedback::default() }, now);
    vm.record_end(in_flight, Outcome::Answered, now);
    vm
}

// Guards against requests that an upstream has to refuse because VMs count on room that others have taken.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_can_refuse_little_is_sent_what_its_host_grants() {
    let now = Instant::now();
    let mut vm = at_an_upstream_that_can_refuse_little(now);
    let query = query(Work::default());
    assert_eq!(vm.choose(&query, now), None);
    assert!(vm.lacks_room(&query, now));
    vm.set_waiting("s", 1, now);
    let key = Key::new(&"a".parse().unwrap(), 1);
    assert_eq!(vm.urgent_claims(), [key.shard()]);
    let claims = vm.claim(key.shard(), now);
    assert_eq!(claims.iter().map(|(_, claim)| claim.wanted).sum::<u32>(), 1);
    vm.apply_grants(&[(key, Grant { allowance: 1, keeps: true })], now);
    let placed = vm.choose(&query, now).expect("it has room for one");
    vm.record_sent(&placed, &Work::default(), now);
    assert_eq!(vm.choose(&query, now), None, "and for no other");
}

// Guards against an upstream that has crashed for its refusals, returns empty and is flooded since it has stated nothing.
#[tokio::test(start_paused = true)]
async fn a_restarted_upstream_is_taken_for_one_that_can_refuse_little() {
    let now = Instant::now();
    let mut vm = at_an_upstream_that_can_refuse_little(now);
    vm.sync(vec![Endpoint { incarnation: 2, ..plain("a") }], senders(0, 2), now);
    assert_eq!(vm.choose(&query(Work::default()), now), None);
    let later = now + Duration::from_secs(61);
    assert!(vm.choose(&query(Work::default()), later).is_some(), "nothing was stated for long");
}

// Guards against a burst that upstreams have to refuse when all VMs have just started, and know of no limit.
#[tokio::test(start_paused = true)]
async fn a_vm_that_has_had_no_answer_keeps_to_an_equal_part() {
    let now = Instant::now();
    let query = query(Work::default());
    let (mut vm, mut sent) = (balancer(), Vec::new());
    let mut all = 0;
    for rank in 0..4 {
        (vm, sent) = (balancer(), Vec::new());
        vm.sync(vec![plain("a")], senders(rank, 4), now);
        while let Some(placed) = vm.choose(&query, now) {
            sent.push(vm.record_sent(&placed, &Work::default(), now));
        }
        all += sent.len() as u64;
    }
    assert_eq!(all, plain("a").slots.get(), "as many as the upstream has slots");
    vm.record_end(sent.pop().unwrap(), Outcome::Answered, now);
    let placed = vm.choose(&query, now).unwrap();
    vm.record_sent(&placed, &Work::default(), now);
    assert!(vm.choose(&query, now).is_some(), "no limit was stated");
}
