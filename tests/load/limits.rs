//! Limits of one entry spent by eight VMs, judged by what callers are allowed in sum.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use masticstream::catalogue::Limits;
use masticstream::decide::limit::Allowance;
use masticstream::decide::limit::BURST_TIME;
use masticstream::decide::limit::Charge;
use masticstream::decide::limit::Coordinator;
use masticstream::decide::limit::Demand;
use masticstream::decide::limit::Grant;
use masticstream::id;
use masticstream::unit::Rate;
use masticstream::unit::Tokens;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::agenda::Agenda;
use crate::job::exponential;

const VMS: usize = 8;

/// Requests a second, tokens a second and requests in progress that the entry allows.
const REQUESTS: f64 = 100.0;
const TOKENS: f64 = 40_000.0;
const CONCURRENCY: u32 = 150;

/// Tokens that the gateway expects of a request.
const ESTIMATED: u64 = 200;

/// A window in which the sum is held against the limit.
const WINDOW: Duration = Duration::from_secs(5);

/// Where callers ask.
#[derive(Clone, Copy, Debug)]
pub enum Skew {
    /// Every VM gets as much.
    Even,
    /// One VM gets nearly all.
    One,
    /// One VM gets nearly all, another one every ten seconds.
    Moving,
}

/// How each VM limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    /// The whole limit on each VM.
    Whole,
    /// An even part of the limit on each VM.
    Even,
    /// Leased allowances.
    Leased,
}

/// What happens to the home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// No VM reaches it between 30 and 60 seconds, and none takes over.
    CutOff,
    /// It is lost at 30 seconds; five seconds later another VM takes over.
    Lost,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    pub skew: Skew,
    pub fault: Fault,
    /// Requests asked for each second, in all.
    pub asked: f64,
    /// Tokens that a request takes in truth.
    pub real: u64,
}

/// What callers were allowed, as parts of the limit.
#[derive(Debug, Default)]
pub struct Sums {
    pub requests: f64,
    pub tokens: f64,
    /// The worst window of requests, after the first ten seconds.
    pub worst_window: f64,
    pub concurrency: f64,
    /// The part of the requests that were asked for and allowed.
    pub allowed: f64,
    /// Messages a second to and from the home.
    pub messages: f64,
}

/// The naive limit: token buckets of a fixed rate on each VM, charged with the estimate.
#[derive(Clone, Debug)]
struct Fixed {
    limits: Limits,
    requests: f64,
    tokens: f64,
    running: u32,
    updated: Instant,
}

impl Fixed {
    fn new(limits: Limits, now: Instant) -> Self {
        let (requests, tokens) = (limits.requests.over(BURST_TIME), limits.tokens.over(BURST_TIME));
        Self { limits, requests, tokens, running: 0, updated: now }
    }

    fn charge(&mut self, tokens: f64, now: Instant) -> bool {
        let Limits { requests, tokens: token_rate, concurrency } = self.limits;
        let age = now - std::mem::replace(&mut self.updated, now);
        self.requests = (self.requests + requests.over(age)).min(requests.over(BURST_TIME));
        self.tokens = (self.tokens + token_rate.over(age)).min(token_rate.over(BURST_TIME));
        let allowed = self.requests >= 1.0 && self.tokens >= tokens && self.running < concurrency;
        if allowed {
            self.requests -= 1.0;
            self.tokens -= tokens;
            self.running += 1;
        }
        allowed
    }
}

enum Event {
    Ask,
    Finish(usize, Option<Charge>),
    Tick(usize),
    Demand(Demand),
    Grant(usize, Grant),
}

struct Region {
    agenda: Agenda<Event>,
    rng: SmallRng,
    case: Case,
    allowances: Vec<Allowance>,
    fixed: Option<Vec<Fixed>>,
    home: Coordinator,
    taken_over: bool,
    running: i64,
    windows: BTreeMap<u64, f64>,
    sums: Sums,
    asked: u64,
}

/// Two minutes of one case under one rule.
pub fn run(case: Case, rule: Rule) -> Sums {
    let agenda = Agenda::new();
    let now = agenda.now();
    let limits = |part: f64| Limits {
        requests: Rate::per_second(REQUESTS * part),
        tokens: Rate::per_second(TOKENS * part),
        concurrency: (f64::from(CONCURRENCY) * part) as u32,
    };
    let part = if rule == Rule::Whole { 1.0 } else { 1.0 / VMS as f64 };
    let (limit, fixed) = (limits(1.0), limits(part));
    let entry: id::Entry = "entry".parse().expect("a name");
    let allowance = |vm: usize| {
        let name = format!("vm-{vm}").parse().expect("a name");
        Allowance::new(entry.clone(), name, &limit, VMS, now)
    };
    let mut region = Region {
        allowances: (0..VMS).map(allowance).collect(),
        fixed: (rule != Rule::Leased).then(|| vec![Fixed::new(fixed, now); VMS]),
        home: Coordinator::new(
            limits(1.0),
            VMS,
            Duration::from_secs(30),
            now - Duration::from_secs(10),
        ),
        agenda,
        rng: SmallRng::seed_from_u64(11),
        case,
        taken_over: false,
        running: 0,
        windows: BTreeMap::new(),
        sums: Sums::default(),
        asked: 0,
    };
    region.run(rule);
    region.sums
}

impl Region {
    fn run(&mut self, rule: Rule) {
        const END: Duration = Duration::from_secs(120);
        self.agenda.after(Duration::ZERO, Event::Ask);
        if rule == Rule::Leased {
            (0..VMS).for_each(|vm| {
                self.agenda.after(Duration::from_millis(vm as u64), Event::Tick(vm));
            });
        }
        while let Some(event) = self.agenda.next() {
            if self.agenda.elapsed() >= END {
                break;
            }
            self.handle(event);
        }
        let seconds = END.as_secs_f64();
        let worst = self.windows.range(2..).map(|(_, &count)| count).fold(0.0, f64::max);
        self.sums.worst_window = worst / (REQUESTS * WINDOW.as_secs_f64());
        self.sums.allowed = self.sums.requests / self.asked as f64;
        self.sums.requests /= REQUESTS * seconds;
        self.sums.tokens /= TOKENS * seconds;
        self.sums.concurrency /= f64::from(CONCURRENCY);
        self.sums.messages /= seconds;
    }

    fn handle(&mut self, event: Event) {
        let now = self.agenda.now();
        match event {
            Event::Ask => self.ask(),
            Event::Finish(vm, charge) => {
                match (charge, &mut self.fixed) {
                    (Some(charge), _) => {
                        self.allowances[vm].settle(charge, Tokens::new(self.case.real), now);
                    }
                    (None, Some(fixed)) => fixed[vm].running -= 1,
                    (None, None) => (),
                }
                self.running -= 1;
            }
            Event::Tick(vm) => {
                if let Some(demand) = self.allowances[vm].next_demand(now) {
                    self.send(Event::Demand(demand));
                }
                self.agenda.after(Duration::from_millis(50), Event::Tick(vm));
            }
            Event::Demand(demand) => {
                let vm: usize = demand.vm.as_str()[3..].parse().expect("a number");
                if let Some(grant) = self.home().handle_demand(&demand, now) {
                    self.send(Event::Grant(vm, grant));
                }
            }
            Event::Grant(vm, grant) => self.allowances[vm].apply_grant(&grant, now),
        }
    }

    fn ask(&mut self) {
        let now = self.agenda.now();
        let vm = self.vm();
        self.asked += 1;
        let charge = match &mut self.fixed {
            Some(fixed) => fixed[vm].charge(ESTIMATED as f64, now).then_some(None),
            None => self.allowances[vm].charge(Tokens::new(ESTIMATED), now).ok().map(Some),
        };
        if let Some(charge) = charge {
            self.sums.requests += 1.0;
            self.sums.tokens += self.case.real as f64;
            *self.windows.entry(self.agenda.elapsed().as_secs() / WINDOW.as_secs()).or_default() +=
                1.0;
            self.running += 1;
            self.sums.concurrency = self.sums.concurrency.max(self.running as f64);
            self.agenda.after(Duration::from_secs(1), Event::Finish(vm, charge));
        }
        let pause = exponential(&mut self.rng) / self.case.asked;
        self.agenda.after(Duration::from_secs_f64(pause), Event::Ask);
    }

    /// The VM that the next caller uses.
    fn vm(&mut self) -> usize {
        let favourite = match self.case.skew {
            Skew::Even => return self.rng.random_range(0..VMS),
            Skew::One => 3,
            Skew::Moving => (self.agenda.elapsed().as_secs() / 10) as usize % VMS,
        };
        if self.rng.random_bool(0.9) { favourite } else { self.rng.random_range(0..VMS) }
    }

    /// Sends a message; it takes up to 5 ms, and is lost once in a hundred times or when the home is away.
    fn send(&mut self, event: Event) {
        self.sums.messages += 1.0;
        let at = self.agenda.elapsed().as_secs();
        let away = match self.case.fault {
            Fault::None => false,
            Fault::CutOff => (30..60).contains(&at),
            Fault::Lost => (30..35).contains(&at),
        };
        if !away && !self.rng.random_bool(0.01) {
            let delay = Duration::from_micros(self.rng.random_range(200..5_000));
            self.agenda.after(delay, event);
        }
    }

    fn home(&mut self) -> &mut Coordinator {
        if self.case.fault == Fault::Lost
            && !self.taken_over
            && self.agenda.elapsed().as_secs() >= 35
        {
            self.taken_over = true;
            let limits = Limits {
                requests: Rate::per_second(REQUESTS),
                tokens: Rate::per_second(TOKENS),
                concurrency: CONCURRENCY,
            };
            self.home = Coordinator::new(limits, VMS, Duration::from_secs(30), self.agenda.now());
        }
        &mut self.home
    }
}

impl Case {
    const fn new(name: &'static str, skew: Skew, times: f64) -> Self {
        Self { name, skew, fault: Fault::None, asked: times * REQUESTS, real: 300 }
    }

    const fn with_fault(self, fault: Fault) -> Self {
        Self { fault, ..self }
    }

    const fn with_real(self, real: u64) -> Self {
        Self { real, ..self }
    }
}

const CASES: [Case; 8] = [
    Case::new("even, a half asked for", Skew::Even, 0.5),
    Case::new("even, ten times asked for", Skew::Even, 10.0),
    Case::new("one VM, 0.8 times asked for", Skew::One, 0.8),
    Case::new("one VM, ten times asked for", Skew::One, 10.0),
    Case::new("moving, ten times asked for", Skew::Moving, 10.0),
    Case::new("answers five times as long as estimated", Skew::Even, 2.0).with_real(1_000),
    Case::new("even, home cut off for 30 s", Skew::Even, 10.0).with_fault(Fault::CutOff),
    Case::new("one VM, home lost and replaced", Skew::One, 10.0).with_fault(Fault::Lost),
];

/// The cases as Markdown.
pub fn markdown() -> String {
    let mut text = String::from(
        "| 8 VMs | rule | asked for and allowed | requests, of the limit | worst 5 s | tokens, of the limit \
         | most in progress, of the limit | messages/s |\n|---|---|---:|---:|---:|---:|---:|---:|\n",
    );
    for case in CASES {
        for (rule, name) in [
            (Rule::Whole, "whole limit on each VM"),
            (Rule::Even, "even part on each VM"),
            (Rule::Leased, "ours"),
        ] {
            let sums = run(case, rule);
            let percent = |part: f64| format!("{:.0}%", 100.0 * part);
            let _ = writeln!(
                text,
                "| {} | {name} | {} | {} | {} | {} | {} | {:.1} |",
                case.name,
                percent(sums.allowed),
                percent(sums.requests),
                percent(sums.worst_window),
                percent(sums.tokens),
                percent(sums.concurrency),
                sums.messages,
            );
        }
    }
    text
}

#[test]
fn table() {
    println!("{}", markdown());
}

#[test]
fn limit_holds_for_all_vms_together() {
    // An owner asks for ten times its limit through eight VMs, evenly, through one of them, or moving between them.
    // With the whole limit on each VM it would get up to eight times as much.
    // With an even part on each, an owner that uses one VM would get a quarter of what it is due.
    for case in CASES {
        let sums = run(case, Rule::Leased);
        assert!(sums.requests < 1.02 && sums.worst_window < 1.1, "{case:?}: {sums:?}");
        assert!(sums.tokens < 1.05 && sums.concurrency <= 1.0, "{case:?}: {sums:?}");
        if case.asked < REQUESTS {
            assert!(sums.allowed > 0.97, "{case:?}: {sums:?}");
        }
        if case.fault == Fault::None {
            let used = sums.requests.max(sums.tokens);
            let due = 0.9 * (case.asked / REQUESTS).min(1.0);
            assert!(used > due, "{case:?}: {sums:?}");
        }
    }
}
