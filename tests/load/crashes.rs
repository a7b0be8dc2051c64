//! Requests that kill upstreams, innocent ones beside them, and ordinary crashes; [`cases`] judges.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use masticstream::decide::quarantine::Digest;
use masticstream::decide::quarantine::Quarantine;
use masticstream::decide::quarantine::Report;
use masticstream::decide::quarantine::Status;
use masticstream::id;
use masticstream::unit::Incarnation;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::agenda::Agenda;
use crate::job::exponential;

mod cases;
mod fleet;

const VMS: usize = 6;
const UPSTREAMS: usize = 18;
const SLOTS: usize = 8;

/// How long an upstream takes to come back.
const RESTART: Duration = Duration::from_secs(20);

/// How long a killer runs until its upstream dies.
const FUSE: Duration = Duration::from_millis(300);

/// How requests are judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    /// Nothing is ever held against a request.
    None,
    /// Whatever ran on two upstreams that died is refused.
    TwoDeaths,
    /// Each death charges a request with its part among all that ran there; a whole one is refused.
    Weighed,
    /// The library's quarantine.
    Ours,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    /// Ordinary crashes within the burst, which lasts a minute.
    pub crashes: u32,
    pub killers: usize,
    /// The part of the load that is briefings of half a minute; the rest is lookups of a second.
    pub briefings: f64,
}

/// What callers and upstreams suffered.
#[derive(Debug, Default)]
pub struct Damage {
    /// Innocent requests that ran when an upstream died.
    pub charged: usize,
    /// Innocent requests that were refused for it.
    pub convicted: usize,
    /// Upstreams that killers killed.
    pub killed: usize,
    /// Killers that were never refused.
    pub at_large: usize,
    /// Innocent requests that were never answered.
    pub unanswered: usize,
    /// The longest that an innocent request took.
    pub longest: Duration,
}

enum Event {
    Ask(usize),
    Finish { attempt: u64 },
    Kill { upstream: usize, incarnation: u64 },
    Crash,
    Back(usize),
    Tell { vm: usize, report: Report },
}

struct Request {
    digest: Digest,
    asked: Duration,
    service: Duration,
    killer: bool,
    charged: bool,
    answered: bool,
    convicted: bool,
}

struct Attempt {
    request: usize,
    vm: usize,
    upstream: usize,
}

struct Region {
    agenda: Agenda<Event>,
    rng: SmallRng,
    rule: Rule,
    quarantines: Vec<Quarantine>,
    requests: Vec<Request>,
    attempts: HashMap<u64, Attempt>,
    number: u64,
    up: Vec<bool>,
    names: Vec<id::Upstream>,
    incarnations: Vec<u64>,
    deaths: BTreeMap<usize, f64>,
    damage: Damage,
}

const BURST: (u64, u64) = (60, 120);
const END: Duration = Duration::from_secs(400);

/// One case under one rule; the load is 60% of the slots for four minutes.
pub fn run(case: Case, rule: Rule, seed: u64) -> Damage {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut agenda = Agenda::new();
    let requests = requests(case, &mut rng);
    for (index, request) in requests.iter().enumerate() {
        agenda.after(request.asked, Event::Ask(index));
    }
    for _ in 0..case.crashes {
        agenda.after(
            Duration::from_secs_f64(rng.random_range(BURST.0 as f64..BURST.1 as f64)),
            Event::Crash,
        );
    }
    let mut region = Region {
        agenda,
        rng,
        rule,
        quarantines: (0..VMS).map(|_| Quarantine::new(UPSTREAMS)).collect(),
        requests,
        attempts: HashMap::new(),
        number: 0,
        up: vec![true; UPSTREAMS],
        names: (0..UPSTREAMS).map(name).collect(),
        incarnations: vec![1; UPSTREAMS],
        deaths: BTreeMap::new(),
        damage: Damage::default(),
    };
    region.run();
    region.judge()
}

fn requests(case: Case, rng: &mut SmallRng) -> Vec<Request> {
    let busy = 0.6 * (UPSTREAMS * SLOTS) as f64;
    let streams = [(1.0, busy * (1.0 - case.briefings)), (30.0, busy * case.briefings / 30.0)];
    let mut requests = Vec::new();
    let mut add = |asked: f64, service: f64, killer: bool| {
        let number = requests.len();
        let digest = Digest::of(&"entry".parse().expect("a name"), number.to_string().as_bytes());
        requests.push(Request {
            digest,
            asked: Duration::from_secs_f64(asked),
            service: Duration::from_secs_f64(service),
            killer,
            charged: false,
            answered: false,
            convicted: false,
        });
    };
    for (service, rate) in streams {
        let mut at = 0.0;
        while rate > 0.0 && at < 240.0 {
            add(at, service * rng.random_range(0.5..1.5), false);
            at += exponential(rng) / rate;
        }
    }
    for killer in 0..case.killers {
        add(70.0 + 10.0 * killer as f64, 1.0, true);
    }
    requests
}

impl Region {
    fn run(&mut self) {
        while let Some(event) = self.agenda.next() {
            if self.agenda.elapsed() >= END {
                return;
            }
            self.handle(event);
        }
    }

    fn judge(mut self) -> Damage {
        let (killers, innocent): (Vec<_>, Vec<_>) =
            self.requests.iter().partition(|request| request.killer);
        self.damage.charged = innocent.iter().filter(|request| request.charged).count();
        self.damage.convicted = innocent.iter().filter(|request| request.convicted).count();
        self.damage.unanswered = innocent.iter().filter(|request| !request.answered).count();
        self.damage.at_large = killers.iter().filter(|request| !request.convicted).count();
        self.damage
    }

    fn handle(&mut self, event: Event) {
        let now = self.agenda.now();
        match event {
            Event::Ask(request) => self.ask(request),
            Event::Finish { attempt } => self.finish(attempt),
            Event::Kill { upstream, incarnation } => {
                if self.up[upstream] && self.incarnations[upstream] == incarnation {
                    self.damage.killed += 1;
                    self.die(upstream);
                }
            }
            Event::Crash => {
                let up: Vec<usize> = (0..UPSTREAMS).filter(|&upstream| self.up[upstream]).collect();
                if !up.is_empty() {
                    let upstream = up[self.rng.random_range(0..up.len())];
                    self.die(upstream);
                }
            }
            Event::Back(upstream) => {
                self.incarnations[upstream] += 1;
                self.up[upstream] = true;
            }
            Event::Tell { vm, report } => {
                self.quarantines[vm].merge(&report, now);
            }
        }
    }

    fn ask(&mut self, index: usize) {
        let now = self.agenda.now();
        let vm = self.rng.random_range(0..VMS);
        let digest = self.requests[index].digest;
        let avoid = match self.standing(index, vm) {
            Status::Clear => Vec::new(),
            Status::Suspect { avoid } => avoid,
            Status::Pending { time_left } => {
                return self.agenda.after(time_left, Event::Ask(index));
            }
            Status::Quarantined { .. } => {
                self.requests[index].convicted = true;
                return;
            }
        };
        let Some(upstream) = self.choose(&digest, vm, &avoid) else {
            self.agenda.after(Duration::from_millis(200), Event::Ask(index));
            return;
        };
        self.number += 1;
        self.attempts.insert(self.number, Attempt { request: index, vm, upstream });
        if self.rule == Rule::Ours {
            self.quarantines[vm].started(digest, &self.names[upstream], now);
        }
        let request = &self.requests[index];
        if request.killer {
            let incarnation = self.incarnations[upstream];
            self.agenda.after(FUSE, Event::Kill { upstream, incarnation });
        } else {
            let service = request.service;
            self.agenda.after(service, Event::Finish { attempt: self.number });
        }
    }

    fn standing(&mut self, index: usize, vm: usize) -> Status {
        let deaths = self.deaths.get(&index).copied().unwrap_or_default();
        let refused = match self.rule {
            Rule::None => false,
            Rule::TwoDeaths => deaths >= 2.0,
            Rule::Weighed => deaths >= 1.0,
            Rule::Ours => {
                let now = self.agenda.now();
                return self.quarantines[vm].status(&self.requests[index].digest, now);
            }
        };
        if refused { Status::Quarantined { time_left: END } } else { Status::Clear }
    }

    /// The emptier of two upstreams that may take the request.
    fn choose(&mut self, digest: &Digest, vm: usize, avoid: &[id::Upstream]) -> Option<usize> {
        let mut busy = [0; UPSTREAMS];
        self.attempts.values().for_each(|attempt| busy[attempt.upstream] += 1);
        let quarantine = &self.quarantines[vm];
        let may = |upstream: usize| {
            self.rule != Rule::Ours || quarantine.may_start(digest, &self.names[upstream])
        };
        let free =
            |upstream: &usize| self.up[*upstream] && busy[*upstream] < SLOTS && may(*upstream);
        let mut candidates: Vec<usize> = (0..UPSTREAMS).filter(free).collect();
        if candidates.iter().any(|&upstream| !avoid.contains(&self.names[upstream])) {
            candidates.retain(|&upstream| !avoid.contains(&self.names[upstream]));
        }
        if candidates.is_empty() {
            return None;
        }
        let mut pick = || candidates[self.rng.random_range(0..candidates.len())];
        let (one, two) = (pick(), pick());
        Some(if busy[one] <= busy[two] { one } else { two })
    }

    fn finish(&mut self, attempt: u64) {
        let Some(Attempt { request, vm, upstream }) = self.attempts.remove(&attempt) else {
            return;
        };
        let now = self.agenda.now();
        let report = self.quarantines[vm].answered(
            &self.requests[request].digest,
            &self.names[upstream],
            now,
        );
        self.tell(vm, report);
        let took = self.agenda.elapsed() - self.requests[request].asked;
        self.requests[request].answered = true;
        self.damage.longest = self.damage.longest.max(took);
    }

    fn die(&mut self, upstream: usize) {
        let now = self.agenda.now();
        self.up[upstream] = false;
        self.agenda.after(RESTART, Event::Back(upstream));
        let lost: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.upstream == upstream)
            .map(|(&number, _)| number)
            .collect();
        let mut lost: Vec<Attempt> =
            lost.iter().filter_map(|number| self.attempts.remove(number)).collect();
        lost.sort_by_key(|attempt| attempt.request);
        for vm in 0..VMS {
            let incarnation = Incarnation::new(self.incarnations[upstream]);
            let report = self.quarantines[vm].crashed(&self.names[upstream], incarnation, now);
            self.tell(vm, report);
        }
        let part = if self.rule == Rule::Weighed { 1.0 / lost.len().max(1) as f64 } else { 1.0 };
        for attempt in lost {
            self.requests[attempt.request].charged = true;
            *self.deaths.entry(attempt.request).or_default() += part;
            let pause = Duration::from_secs_f64(self.rng.random_range(0.25..1.0));
            self.agenda.after(pause, Event::Ask(attempt.request));
        }
    }

    /// Tells the other VMs, which hear it up to 100 ms later.
    fn tell(&mut self, from: usize, report: Report) {
        if report.is_empty() {
            return;
        }
        for vm in (0..VMS).filter(|&vm| vm != from) {
            let delay = Duration::from_millis(self.rng.random_range(5..100));
            self.agenda.after(delay, Event::Tell { vm, report: report.clone() });
        }
    }
}

fn name(upstream: usize) -> id::Upstream {
    format!("upstream-{upstream}").parse().expect("a name")
}
