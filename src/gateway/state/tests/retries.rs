//! Entry VMs that repeat what a failing service refuses, without a network.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::uri::PathAndQuery;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time;
use tokio::time::Instant;
use yare::parameterized;

use super::paused;
use super::region;
use crate::decide::retry::limit::Limit;
use crate::decide::retry::limit::Rank;
use crate::decide::retry::reserve::Reserve;
use crate::gateway::Call;
use crate::gateway::Caller;
use crate::gateway::State;
use crate::gateway::call::Authorization;
use crate::gateway::relay::Hop;
use crate::gateway::relay::Job;
use crate::gateway::relay::Relay;
use crate::roster::Announcement;
use crate::roster::Delta;
use crate::roster::Observed;
use crate::routing::Route;
use crate::routing::route::Kind;

const SERVICE: &str = "s";
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const STEP: Duration = Duration::from_millis(100);
/// The time until a VM that has just started knows others.
const JOINS: Duration = Duration::from_millis(300);
/// The most VMs that one knows.
const MAX_KNOWN: usize = 40;
const CONTROLS: u32 = 5;
/// The most upstreams that one request is sent to.
const MAX_ATTEMPTS: usize = 3;

/// How often VMs restart, and whether all do at once.
#[derive(Debug, Clone, Copy)]
enum Restarts {
    Never,
    Together(Duration),
    InTurn(Duration),
}

/// What VMs learn of each other.
#[derive(Debug, Clone, Copy, PartialEq)]
enum View {
    /// All others, a moment after the start.
    Whole,
    /// Never anybody.
    Alone,
    /// All others and nobody in turn, with each restart.
    Flapping,
}

/// A life of an entry VM.
struct Vm {
    state: State,
    started: Instant,
    /// Whether it knows the others.
    has_joined: bool,
}

impl Vm {
    fn start(nth: usize, minimum: f64) -> Self {
        let state = region::start_with(nth, minimum);
        Self { state, started: Instant::now(), has_joined: false }
    }
}

/// Requests to a service that refuses each of them.
struct Trouble {
    vms: Vec<Vm>,
    controls: Vec<Reserve>,
    minimum: f64,
    view: View,
    rng: SmallRng,
    start: Instant,
    restarted: u32,
    /// Requests and repeats in each step.
    steps: Vec<(u32, u32)>,
}

impl Trouble {
    fn new(vms: usize, minimum: f64, view: View, seed: u64) -> Self {
        let start = Instant::now();
        let vms = (0..vms).map(|nth| Vm::start(nth, minimum)).collect();
        let controls = (0..CONTROLS).map(|_| Reserve::default()).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Self { vms, controls, minimum, view, rng, start, restarted: 0, steps: Vec::new() }
    }

    /// Plays some time at a number of requests a second.
    async fn play(&mut self, span: Duration, per_second: f64, restarts: Restarts) {
        let until = Instant::now() + span;
        let mut due = 0.0;
        while Instant::now() < until {
            self.restart(restarts);
            self.learn();
            due += per_second * STEP.as_secs_f64();
            let requests = due as u32;
            due -= f64::from(requests);
            let repeats = (0..requests).map(|_| self.request()).sum();
            self.steps.push((requests, repeats));
            time::advance(STEP).await;
        }
    }

    fn restart(&mut self, restarts: Restarts) {
        let (interval, all) = match restarts {
            Restarts::Never => return,
            Restarts::Together(interval) => (interval, true),
            Restarts::InTurn(interval) => (interval / self.vms.len() as u32, false),
        };
        let due = (self.start.elapsed().as_millis() / interval.as_millis().max(1)) as u32;
        while self.restarted < due {
            self.restarted += 1;
            let nth = self.restarted as usize % self.vms.len();
            let chosen = if all { 0..self.vms.len() } else { nth..nth + 1 };
            for nth in chosen {
                self.vms[nth] = Vm::start(nth, self.minimum);
            }
            let nth = self.restarted as usize % self.controls.len();
            self.controls[nth] = Reserve::default();
        }
    }

    /// VMs that have run for a moment learn of the others.
    fn learn(&mut self) {
        let knows = match self.view {
            View::Whole => true,
            View::Alone => false,
            View::Flapping => self.restarted.is_multiple_of(2),
        };
        let known = self.vms.len().min(MAX_KNOWN);
        for vm in &mut self.vms {
            if !knows || vm.has_joined || vm.started.elapsed() < JOINS {
                continue;
            }
            let vms = (0..known)
                .map(|nth| Observed { record: region::presence(nth), silent: false })
                .collect();
            let delta = Delta { revision: 1, is_full: true, upstreams: Vec::new(), vms };
            vm.state.apply_roster(&"control-0".parse().unwrap(), 1, delta);
            vm.has_joined = true;
        }
    }

    /// Sends one request to a VM; returns how often it is repeated.
    fn request(&mut self) -> u32 {
        let nth = self.rng.random_range(0..self.vms.len());
        self.vms[nth].state.record_first_attempt(SERVICE);
        (1..MAX_ATTEMPTS).take_while(|_| self.is_repeated(nth)).count() as u32
    }

    /// A VM repeats what its requests have earned, or what any control VM issues.
    fn is_repeated(&mut self, nth: usize) -> bool {
        let limit = Limit { ratio: RATIO, minimum: self.minimum, window: WINDOW };
        let mut controls = self.controls.iter_mut().enumerate();
        self.vms[nth].state.withdraw_earned(SERVICE, None)
            || controls.any(|(nth, control)| {
                let rank = Rank { nth: nth as u32, voters: CONTROLS };
                control.issue(&limit, Some(rank), SERVICE, Instant::now()).is_ok()
            })
    }

    /// By how much the repeats of a window exceed the bound at most; negative if they never do.
    fn excess(&self) -> f64 {
        let length = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let sum = |from: isize, of: fn(&(u32, u32)) -> u32| -> u32 {
            let from_step = usize::try_from(from.max(0)).unwrap_or(0);
            let until = usize::try_from(from + length as isize).unwrap_or(0).min(self.steps.len());
            self.steps[from_step.min(until)..until].iter().map(of).sum()
        };
        let starts = 0..self.steps.len() as isize;
        let excess = starts.map(|from| {
            let windows = [from, from - length as isize / 2, from - length as isize];
            let requests = windows.iter().map(|from| sum(*from, |step| step.0)).max().unwrap_or(0);
            f64::from(sum(from, |step| step.1)) - RATIO * f64::from(requests) - self.minimum
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}

const MINUTE: Duration = Duration::from_secs(60);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Guards against a sum over VMs that each process keeps in its memory: after each restart of all VMs in series, they
// repeat as much again, and each takes the fixed part of all others until it knows them.
#[parameterized(
    two_without = { 2, 50.0, 100.0, Restarts::Never, View::Whole },
    two = { 2, 50.0, 100.0, Restarts::Together(millis(2500)), View::Whole },
    two_alone = { 2, 50.0, 100.0, Restarts::Never, View::Alone },
    six = { 6, 52.0, 600.0, Restarts::Together(millis(4000)), View::Whole },
    six_often = { 6, 52.0, 600.0, Restarts::Together(millis(1000)), View::Whole },
    six_in_turn = { 6, 52.0, 600.0, Restarts::InTurn(millis(2500)), View::Flapping },
    six_alone = { 6, 52.0, 600.0, Restarts::Together(millis(9000)), View::Alone },
    a_fleet = { 985, 1040.0, 1500.0, Restarts::Together(millis(4000)), View::Whole },
    a_fleet_in_turn = { 985, 1040.0, 1500.0, Restarts::InTurn(millis(9000)), View::Flapping },
)]
fn vms_that_restart_in_series_keep_to_the_budget(
    vms: usize,
    minimum: f64,
    per_second: f64,
    restarts: Restarts,
    view: View,
) {
    paused(async {
        let mut trouble = Trouble::new(vms, minimum, view, 46);
        trouble.play(MINUTE / 3, per_second, restarts).await;
        let excess = trouble.excess();
        assert!(excess <= 0.0, "{excess:.0} repeats more than allowed in a window");
    });
}

fn job(is_counted_here: bool) -> Job {
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        rank: 0,
        targets: Vec::new(),
        attempts: 3,
        homes: Default::default(),
        public: true,
    };
    let now = Instant::now();
    Job {
        call: Call {
            id: "id".to_owned(),
            method: Method::GET,
            host: "h".to_owned(),
            target: PathAndQuery::from_static("/"),
            timeout: None,
            prompt: None,
            authorization: Authorization::Missing,
            headers: HeaderMap::new(),
        },
        body: Bytes::new(),
        route: Arc::new(route),
        caller: Caller::Anonymous,
        charge: None,
        service: SERVICE.to_owned(),
        rank: 0,
        urgent: true,
        deadline: now + Duration::from_secs(5),
        received_at: now,
        hop: Hop::Ingress,
        is_retry: false,
        is_counted_here,
        digest: OnceLock::new(),
        parts: OnceLock::new(),
    }
}

// Guards against a request that earns a repeat at each dead address that it meets, and at each VM that it is sent to.
#[parameterized(from_a_caller = { true, 1.0 }, counted_by_another_vm = { false, 0.0 })]
fn a_request_that_meets_dead_addresses_counts_once(is_counted_here: bool, requests: f64) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let state = Arc::new(region::start_with(0, 50.0));
        let dead = |nth: u8| Announcement {
            id: format!("dead-{nth}").parse().unwrap(),
            address: ([127, 0, 0, nth], 1).into(),
            ..region::announcement(1, Duration::ZERO)
        };
        let observed = |record| Observed { record, silent: false };
        let upstreams = (1..=4).map(dead).map(observed).collect();
        let delta = Delta { revision: 1, is_full: true, upstreams, vms: Vec::new() };
        state.apply_roster(&"control-0".parse().unwrap(), 1, delta);
        let mut relay = Relay::new(state.clone(), job(is_counted_here));
        assert!(relay.open(None).await.is_err());
        assert_eq!(relay.attempts(), 3);
        let now = Instant::now();
        let tokens = state.earned_repeats().budget(SERVICE, now).tokens(now);
        assert!((tokens - requests * RATIO / 2.0).abs() < 1e-6, "{tokens} tokens");
    });
}
