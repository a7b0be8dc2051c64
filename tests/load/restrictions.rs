//! What upstreams state in their responses, over the VMs of a region, judged by arrivals at the upstreams.

pub mod world;

use std::collections::HashMap;
use std::time::Duration;

use masticstream::decide::feedback::Feedback;
use masticstream::decide::feedback::Statement;
use masticstream::decide::place::Endpoint;
use masticstream::decide::place::Work;
use masticstream::id;
use masticstream::unit::Rate;
use tokio::time::Instant;

use self::world::Arrival;
use self::world::Fault;
use self::world::NAMES;
use self::world::Setting;
use self::world::States;
use self::world::Tally;
use self::world::Vm;
use self::world::endpoint;
use self::world::play;
use self::world::query;

/// When the upstream begins to state something.
const STATED: Duration = Duration::from_secs(2);
/// By then all VMs know, unless they are cut off from the others.
const KNOWN: Duration = Duration::from_secs(3);
/// How soon a VM obeys what it has received.
const OBEYED: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);
/// The pause that the upstream asks for.
const PAUSE: Duration = Duration::from_secs(3);

fn setting(vms: u32, states: States) -> Setting {
    let rate = f64::from(vms).max(50.0) * 1.6;
    let (fault, span, everywhere) = (Fault::Nothing, Duration::from_secs(14), false);
    Setting { vms, rate, fault, span, states, everywhere }
}

fn limited(at: Duration, limit: f64) -> Feedback {
    if at < STATED {
        return Feedback::default();
    }
    Feedback { rate_limit: Statement::Value(Rate::per_second(limit)), ..Feedback::default() }
}

fn draining(at: Duration) -> Feedback {
    if at < STATED {
        return Feedback::default();
    }
    Feedback { draining: Statement::Value(true), ..Feedback::default() }
}

fn pausing(at: Duration) -> Feedback {
    if !(STATED..Duration::from_secs(8)).contains(&at) {
        return Feedback::default();
    }
    Feedback { backoff: Statement::Value(PAUSE), ..Feedback::default() }
}

const LIMITS: [(f64, States); 4] = [
    (0.0, |at| limited(at, 0.0)),
    (0.3, |at| limited(at, 0.3)),
    (3.4, |at| limited(at, 3.4)),
    (50.0, |at| limited(at, 50.0)),
];

/// Requests that may arrive in [`WINDOW`] under a limit.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Whether the VM of an arrival must have known by then. VMs tell each other, except where all datagrams are lost.
fn must_know(fault: Fault, arrival: &Arrival) -> bool {
    let is_told = arrival.told.is_some_and(|told| arrival.at >= told + OBEYED);
    match fault {
        Fault::Silence => is_told,
        _ => arrival.at >= KNOWN,
    }
}

fn check_limit(setting: &Setting, limit: f64) {
    let tally = play(setting, 40);
    let arrivals = tally.arrivals.iter().filter(|arrival| must_know(setting.fault, arrival));
    let arrivals: Vec<Duration> = arrivals.map(|arrival| arrival.at).collect();
    let within = |first: &Duration| {
        arrivals.iter().filter(|at| (*first..*first + WINDOW).contains(*at)).count()
    };
    let (most, allowed) = (arrivals.iter().map(within).max().unwrap_or(0), allowed(limit));
    let what = format!("limit {limit}, {} VMs, {:?}", setting.vms, setting.fault);
    assert!(most <= allowed, "{what}: {most} requests in {WINDOW:?}, allowed {allowed}");
    assert_eq!(tally.waits.len(), 0, "{what}: the other upstreams have room");
}

// Guards against each VM using a whole limit, or rounding its share up to one request.
#[tokio::test(start_paused = true)]
async fn a_limit_holds_for_the_sum_over_few_and_many_vms() {
    for vms in [3, 14, 80, 985] {
        for (limit, states) in LIMITS {
            check_limit(&setting(vms, states), limit);
        }
    }
}

// Guards against a sum that depends on one VM: the host of a shard is lost, VMs are cut apart, restart or stand still.
#[tokio::test(start_paused = true)]
async fn a_limit_holds_while_vms_fail() {
    for vms in [3, 14, 80] {
        for (limit, states) in LIMITS {
            for fault in Fault::ALL {
                check_limit(&Setting { fault, ..setting(vms, states) }, limit);
            }
        }
    }
}

// Guards against a share that serves nobody: where the upstreams' limits are all there is, most of them is used.
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
            let longest = tally.waits.iter().max().copied().unwrap_or_default();
            assert!(longest <= Duration::from_secs(2), "limit {limit}, {vms} VMs: {longest:?}");
        }
    }
}

// Guards against a burst when a limit ends, and against an upstream that is never used again.
#[tokio::test(start_paused = true)]
async fn after_a_limit_the_upstream_fills_up_in_steps() {
    const ENDED: Duration = Duration::from_secs(8);
    let states: States = |at| if at < ENDED { limited(at, 4.0) } else { Feedback::default() };
    for vms in [3, 14, 80] {
        let setting = Setting { span: Duration::from_secs(20), ..setting(vms, states) };
        let tally = play(&setting, 42);
        let first = tally.count(ENDED, ENDED + Duration::from_millis(500));
        assert!(first <= 8, "{vms} VMs: {first} requests in the first half second");
        let last = tally.count(Duration::from_secs(16), Duration::from_secs(20)) as f64 / 4.0;
        assert!(last >= setting.rate / 4.0 * 0.7, "{vms} VMs: {last} a second at last");
    }
}

// Guards against turns that shift with each response, while an upstream states another limit each time.
#[tokio::test(start_paused = true)]
async fn a_limit_that_changes_all_the_time_holds() {
    let states: States = |at| limited(at, 3.0 + (at.as_millis() / 10 % 10) as f64 * 0.1);
    for vms in [3, 14, 80] {
        check_limit(&setting(vms, states), 3.9);
    }
}

// Guards against limits of the process before: an upstream restarts under its name and states none.
#[tokio::test(start_paused = true)]
async fn a_restarted_upstream_has_no_limit() {
    let now = Instant::now();
    let mut vm = Vm::new(0, 1, (now, now));
    let tried: Vec<id::Upstream> = NAMES[1..].iter().map(|name| name.parse().unwrap()).collect();
    let feedback = limited(STATED, 0.0);
    let placement = vm.balancer.choose(&query(&tried), now).unwrap();
    let [first, second] =
        [0, 1].map(|_| vm.balancer.record_sent(&placement, &Work::default(), now));
    vm.balancer.record_feedback(&first, &feedback, now);
    let sent = vm.balancer.choose(&query(&tried), now);
    sent.map(|placement| vm.balancer.record_sent(&placement, &Work::default(), now));
    assert!(vm.balancer.choose(&query(&tried), now).is_none());
    let endpoints = NAMES.map(|name| Endpoint { incarnation: 2, ..endpoint(name) });
    vm.balancer.sync(endpoints.to_vec(), HashMap::new(), now);
    // A late response of the process before says nothing about this one.
    vm.balancer.record_feedback(&second, &feedback, now);
    for _ in 0..20 {
        let placement = vm.balancer.choose(&query(&tried), now).unwrap();
        vm.balancer.record_sent(&placement, &Work::default(), now);
    }
}

// Guards against requests to an upstream that stated that it is draining, from the VM that received it or another one.
#[tokio::test(start_paused = true)]
async fn a_draining_upstream_gets_nothing_from_any_vm() {
    for vms in [3, 14, 80, 985] {
        for fault in Fault::ALL {
            // The largest size is slow to play, and the faults don't depend on it.
            if vms == 985 && fault != Fault::Nothing {
                continue;
            }
            let setting = Setting { fault, ..setting(vms, draining) };
            let tally = play(&setting, 43);
            let what = format!("{vms} VMs, {fault:?}");
            let is_late = |arrival: &&Arrival| {
                // A VM that has restarted is told by the others within an update.
                let is_restarted = fault == Fault::Restarts
                    && arrival.told.is_none()
                    && (Duration::from_secs(6)..Duration::from_millis(6300)).contains(&arrival.at);
                must_know(fault, arrival) && !is_restarted
            };
            let late = tally.arrivals.iter().filter(is_late).count();
            assert_eq!(late, 0, "{what}: requests after it was known");
            assert!(tally.first_told.is_some(), "{what}");
            assert_eq!(tally.waits.len(), 0, "{what}: the other upstreams have room");
        }
    }
}

/// The most arrivals of a VM between half a second after a refusal and the end of the pause.
fn most_in_a_pause(tally: &Tally, refused: std::ops::Range<Duration>) -> usize {
    let mut by_vm: HashMap<u32, Vec<Duration>> = HashMap::new();
    for arrival in &tally.arrivals {
        by_vm.entry(arrival.vm).or_default().push(arrival.at);
    }
    let most = |arrivals: &Vec<Duration>| {
        let refusals = arrivals.iter().filter(|at| refused.contains(*at));
        let within = refusals.map(|from| {
            arrivals.iter().filter(|at| (*from + OBEYED..*from + PAUSE).contains(*at)).count()
        });
        within.max().unwrap_or(0)
    };
    by_vm.values().map(most).max().unwrap_or(0)
}

// Guards against an upstream that refuses at once, looks idle for it, and takes the attempts of all requests.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_asks_for_a_pause_gets_one() {
    for vms in [3, 14, 80, 985] {
        for fault in Fault::ALL {
            if vms == 985 && fault != Fault::Nothing {
                continue;
            }
            let setting = Setting { fault, ..setting(vms, pausing) };
            let tally = play(&setting, 44);
            let what = format!("{vms} VMs, {fault:?}");
            // A VM that has restarted knows nothing of the pause before.
            let until = if fault == Fault::Restarts { 5 } else { 8 };
            let most = most_in_a_pause(&tally, STATED..Duration::from_secs(until));
            assert!(most <= 2, "{what}: {most} requests of one VM in a pause");
            assert_eq!(tally.waits.len(), 0, "{what}: the other upstreams have room");
            let again = tally.count(Duration::from_secs(12), setting.span) as f64 / 2.0;
            assert!(again >= setting.rate / 4.0 * 0.5, "{what}: {again} a second after the pause");
        }
    }
}

// Guards against requests that go round upstreams which all want a pause, and against a time to come back that is not true.
#[tokio::test(start_paused = true)]
async fn where_all_upstreams_want_a_pause_callers_are_told_its_end() {
    for vms in [3, 14, 80] {
        let setting = Setting { everywhere: true, ..setting(vms, pausing) };
        let tally = play(&setting, 45);
        let most = most_in_a_pause(&tally, STATED..Duration::from_secs(8));
        assert!(most <= 2, "{vms} VMs: {most} requests of one VM in a pause");
        assert!(tally.waits.len() > 100, "{vms} VMs: {} refused", tally.waits.len());
        assert!(tally.waits.iter().all(|wait| *wait <= PAUSE), "{vms} VMs");
        let mean = tally.waits.iter().sum::<Duration>() / tally.waits.len() as u32;
        assert!(mean > Duration::from_millis(500), "{vms} VMs: {mean:?}");
    }
}
