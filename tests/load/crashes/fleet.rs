//! Requests that crash upstreams in a fleet of several regions, whose VMs hear of crashes through control VMs.

use std::collections::HashMap;
use std::time::Duration;

use masticstream::decide::quarantine::Digest;
use masticstream::decide::quarantine::Quarantine;
use masticstream::decide::quarantine::Report;
use masticstream::decide::quarantine::Status;
use masticstream::decide::route::rendezvous;
use masticstream::id;
use masticstream::unit::Incarnation;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use yare::parameterized;

use crate::agenda::Agenda;

mod parts;

const REGIONS: usize = 3;
const CONTROLS: usize = 3;
/// How long an upstream takes to come back.
const RESTART: Duration = Duration::from_secs(3);
/// How long a culprit runs until its upstream crashes.
const FUSE: Duration = Duration::from_millis(100);
/// Until a VM that sees a connection break knows that the upstream crashed.
const DETECTION: Duration = Duration::from_millis(15);
const SPAN: Duration = Duration::from_secs(60);
/// The rule: a request may reach upstreams this often later than [`CONTACT`] after its third crash.
const CRASHES_OF_REQUEST: usize = 3;
const MAX_LATE_RETRIES: usize = 3;
const CONTACT: Duration = Duration::from_secs(5);
/// Innocent requests that may be refused for some seconds.
const HANDFUL: usize = 3;
/// The bytes of a report that all VMs get.
const MAX_SHARED_BYTES: usize = 64 << 10;

#[derive(Debug, Clone, Copy)]
struct Case {
    vms: usize,
    upstreams: usize,
    /// Culprits, and callers that resend each of them.
    culprits: usize,
    callers: usize,
    /// The pause between an answer and a resend.
    pause_ms: u64,
    /// The probability that an upstream that runs a culprit crashes.
    crash_chance: f64,
    /// Crashes by other causes.
    others: usize,
    /// Innocent requests a second.
    rate: f64,
    /// Whether all entry VMs restart at 20 s.
    restart: bool,
    /// Parts of prompts that crash upstreams; each counts as a culprit after the others.
    deadly_parts: usize,
    /// Requests a second with each of these parts.
    deadly_rate: f64,
    /// When these begin to crash upstreams, in seconds.
    deadly_from: f64,
    /// Whether requests with these parts were answered until then.
    was_sound: bool,
    /// Sessions to which the innocent requests belong, each with a part of its own.
    sessions: usize,
}

enum Event {
    Ask(usize),
    Finish(u64),
    Crash(usize, Option<usize>),
    CrashByItself,
    Back(usize),
    Report(usize, Report),
    Publish(usize),
    Shared(usize),
    Restart,
}

struct Request {
    digest: Digest,
    /// The parts of its prompt that other requests share.
    parts: Vec<Digest>,
    culprit: Option<usize>,
    crashes: usize,
    refused: usize,
    answered: bool,
}

struct Run {
    request: usize,
    vm: usize,
    upstream: usize,
    started: Instant,
}

struct Fleet {
    case: Case,
    agenda: Agenda<Event>,
    rng: SmallRng,
    start: Instant,
    vms: Vec<Quarantine>,
    controls: Vec<Quarantine>,
    published: Vec<(u64, Report)>,
    requests: Vec<Request>,
    runs: HashMap<u64, Run>,
    number: u64,
    names: Vec<id::Upstream>,
    up: Vec<bool>,
    incarnations: Vec<u64>,
    /// When culprits crashed upstreams, and when they were started.
    crashes: Vec<Vec<Instant>>,
    starts: Vec<Vec<Instant>>,
    largest: usize,
}

fn digest(number: usize) -> Digest {
    Digest::of_call(["POST", "host", "/path"], None, &number.to_le_bytes())
}

fn quarantine(case: Case, nth: usize) -> Quarantine {
    Quarantine::new(case.upstreams).with_vm(format!("vm-{nth}").parse().unwrap())
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        let names = (0..case.upstreams).map(|nth| format!("upstream-{nth}").parse().unwrap());
        let mut fleet = Self {
            case,
            agenda: Agenda::new(),
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            vms: (0..case.vms).map(|nth| quarantine(case, nth)).collect(),
            controls: (0..CONTROLS).map(|_| Quarantine::new(case.upstreams)).collect(),
            published: vec![(0, Report::default()); CONTROLS],
            requests: Vec::new(),
            runs: HashMap::new(),
            number: 0,
            names: names.collect(),
            up: vec![true; case.upstreams],
            incarnations: vec![1; case.upstreams],
            crashes: vec![Vec::new(); case.culprits + case.deadly_parts],
            starts: vec![Vec::new(); case.culprits + case.deadly_parts],
            largest: 0,
        };
        for culprit in 0..case.culprits {
            for caller in 0..case.callers {
                fleet.add(digest(culprit), Some(culprit), 2.0 + 0.2 * caller as f64);
            }
        }
        let innocent = (SPAN.as_secs_f64() * case.rate) as usize;
        for nth in 0..innocent {
            fleet.add(digest(1_000 + nth), None, nth as f64 / case.rate);
        }
        parts::add(&mut fleet);
        for _ in 0..case.others {
            let at = fleet.rng.random_range(2.0..20.0);
            fleet.agenda.after(Duration::from_secs_f64(at), Event::CrashByItself);
        }
        if case.restart {
            fleet.agenda.after(Duration::from_secs(20), Event::Restart);
        }
        fleet.start = fleet.agenda.now();
        fleet
    }

    fn add(&mut self, digest: Digest, culprit: Option<usize>, at: f64) {
        let parts = parts::of_innocent(&self.case, self.requests.len());
        let request = Request { digest, parts, culprit, crashes: 0, refused: 0, answered: false };
        self.requests.push(request);
        self.agenda.after(Duration::from_secs_f64(at), Event::Ask(self.requests.len() - 1));
    }

    fn play(&mut self) {
        while let Some(event) = self.agenda.next() {
            if self.agenda.elapsed() >= SPAN {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.agenda.now();
        match event {
            Event::Ask(request) => self.ask(request, now),
            Event::Finish(run) => self.finish(run, now),
            Event::Crash(upstream, culprit) => self.crash(upstream, culprit, now),
            Event::CrashByItself => {
                let upstream = self.rng.random_range(0..self.case.upstreams);
                self.crash(upstream, None, now);
            }
            Event::Back(upstream) => {
                self.incarnations[upstream] += 1;
                self.up[upstream] = true;
            }
            Event::Report(vm, report) => self.report(vm, &report, now),
            Event::Publish(control) => self.publish(control, now),
            Event::Shared(control) => {
                let (_, report) = &self.published[control];
                let followers = self.vms.iter_mut().enumerate();
                let followers = followers.filter(|(vm, _)| vm % CONTROLS == control || vm % 2 == 0);
                followers.for_each(|(_, vm)| {
                    vm.merge(report, now);
                });
            }
            Event::Restart => {
                // A VM that starts serves nobody until it has heard of a control VM.
                for (nth, vm) in self.vms.iter_mut().enumerate() {
                    *vm = quarantine(self.case, nth);
                    vm.merge(&self.published[nth % CONTROLS].1, now);
                }
                self.runs.clear();
            }
        }
    }

    fn ask(&mut self, index: usize, now: Instant) {
        let vm = self.rng.random_range(0..self.case.vms);
        let request = &self.requests[index];
        let (digest, parts) = (request.digest, request.parts.clone());
        let status = self.vms[vm].status_with_parts(&digest, &parts, now);
        let avoid = match status {
            Status::Clear => Vec::new(),
            Status::Suspect { avoid } => avoid,
            Status::Pending { time_left } => {
                return self.agenda.after(time_left, Event::Ask(index));
            }
            Status::Quarantined { .. } => {
                self.requests[index].refused += 1;
                if has_deadly_part(&self.requests[index], self.case.culprits) {
                    return;
                }
                return self.agenda.after(Duration::from_secs(1), Event::Ask(index));
            }
        };
        let suspect = self.vms[vm].worst_suspect(&digest, &parts);
        let Some(upstream) = self.choose(&suspect, vm, &avoid) else {
            return self.agenda.after(Duration::from_millis(20), Event::Ask(index));
        };
        self.number += 1;
        self.runs.insert(self.number, Run { request: index, vm, upstream, started: now });
        for digest in [digest].iter().chain(&parts) {
            self.vms[vm].started(*digest, &self.names[upstream], now);
        }
        let culprit = self.requests[index].culprit;
        let crashes = culprit.filter(|_| self.rng.random_bool(self.case.crash_chance));
        match crashes {
            Some(culprit) => {
                self.starts[culprit].push(now);
                self.agenda.after(FUSE, Event::Crash(upstream, Some(culprit)));
            }
            None => {
                let duration = Duration::from_secs_f64(self.rng.random_range(0.1..0.5));
                self.agenda.after(duration, Event::Finish(self.number));
            }
        }
    }

    /// As `gateway` chooses: a suspect runs apart from others, with several crashes nowhere else.
    fn choose(&mut self, digest: &Digest, vm: usize, avoid: &[id::Upstream]) -> Option<usize> {
        // A part of the requests is sent to another region.
        let away = if self.rng.random_bool(0.2) { self.rng.random_range(0..REGIONS) } else { 0 };
        let region = (vm + away) % REGIONS;
        let up: Vec<usize> = (0..self.case.upstreams)
            .filter(|nth| nth % REGIONS == region && self.up[*nth])
            .collect();
        if !avoid.is_empty() {
            let quarantine = &self.vms[vm];
            let apart = up.iter().copied().filter(|&nth| {
                let name = &self.names[nth];
                let is_new = !avoid.contains(name) || self.incarnations[nth] > 1;
                is_new && quarantine.may_start(digest, name)
            });
            let weight = |nth: &usize| rendezvous::weight(digest.key(), self.names[*nth].as_str());
            let best = apart.max_by_key(weight);
            if best.is_some() || avoid.len() > 1 {
                return best;
            }
        }
        let nth = self.rng.random_range(0..up.len().max(1));
        up.get(nth).copied()
    }

    fn finish(&mut self, number: u64, now: Instant) {
        let Some(run) = self.runs.remove(&number) else { return };
        let request = &mut self.requests[run.request];
        request.answered = true;
        let (digest, parts) = (request.digest, request.parts.clone());
        let report = self.vms[run.vm].record_part_answers(&parts, now);
        self.tell(run.vm, report, Duration::from_millis(1));
        for digest in [digest].iter().chain(&parts) {
            let report = self.vms[run.vm].answered(digest, &self.names[run.upstream], now);
            self.tell(run.vm, report, Duration::from_millis(1));
        }
        if self.requests[run.request].culprit.is_some() {
            let pause = Duration::from_millis(self.case.pause_ms);
            self.agenda.after(pause, Event::Ask(run.request));
        }
    }

    fn crash(&mut self, upstream: usize, culprit: Option<usize>, now: Instant) {
        let runs_there = self
            .runs
            .values()
            .any(|run| run.upstream == upstream && self.requests[run.request].culprit == culprit);
        if !self.up[upstream] || (culprit.is_some() && !runs_there) {
            return;
        }
        if let Some(culprit) = culprit {
            self.crashes[culprit].push(now);
        }
        self.up[upstream] = false;
        self.agenda.after(RESTART, Event::Back(upstream));
        let incarnation = Incarnation::new(self.incarnations[upstream]);
        let mut lost: Vec<(u64, Run)> =
            self.runs.extract_if(|_, run| run.upstream == upstream).collect();
        lost.sort_by_key(|(number, _)| *number);
        let mut by_vm: HashMap<usize, Vec<(Digest, Duration)>> = HashMap::new();
        for (_, run) in lost {
            let request = &mut self.requests[run.request];
            request.crashes += 1;
            let quarantine = &mut self.vms[run.vm];
            let ran = by_vm.entry(run.vm).or_default();
            for digest in [request.digest].iter().chain(&request.parts) {
                ran.push((*digest, now - run.started));
                quarantine.stopped(digest, &self.names[upstream]);
            }
            if has_deadly_part(request, self.case.culprits) && request.crashes > 1 {
                continue;
            }
            // The route's second attempt, or the caller's.
            let pause = match request.culprit {
                Some(_) => Duration::from_millis(self.case.pause_ms),
                None => Duration::from_millis(self.rng.random_range(0..200)),
            };
            self.agenda.after(pause, Event::Ask(run.request));
        }
        let mut by_vm: Vec<_> = by_vm.into_iter().collect();
        by_vm.sort_by_key(|(vm, _)| *vm);
        for (vm, ran) in by_vm {
            let name = &self.names[upstream];
            let report = self.vms[vm].record_crash(name, incarnation, (ran, DETECTION), now);
            self.tell(vm, report, DETECTION);
        }
    }

    fn tell(&mut self, vm: usize, report: Report, delay: Duration) {
        if !report.is_empty() {
            self.agenda.after(delay, Event::Report(vm, report));
        }
    }

    /// Both control VMs that the VM follows get a report, and the third one from them.
    fn report(&mut self, vm: usize, report: &Report, now: Instant) {
        for nth in 0..CONTROLS {
            let control = (vm + nth) % CONTROLS;
            if self.controls[control].merge(report, now) {
                let trip = if nth == CONTROLS - 1 { 55 } else { 2 };
                self.agenda.after(Duration::from_millis(trip), Event::Publish(control));
                // The evaluation a moment later may change what is published.
                self.agenda.after(Duration::from_millis(trip + 300), Event::Publish(control));
            }
        }
    }

    fn publish(&mut self, control: usize, now: Instant) {
        self.controls[control].evaluate(now);
        let revision = self.controls[control].revision();
        if self.published[control].0 == revision {
            return;
        }
        let report = self.controls[control].shared(now);
        let mut bytes = Vec::new();
        ciborium::into_writer(&report, &mut bytes).unwrap();
        self.largest = self.largest.max(bytes.len());
        self.published[control] = (revision, report);
        let trip = Duration::from_millis(self.rng.random_range(20..100));
        self.agenda.after(trip, Event::Shared(control));
    }

    /// Starts that a rule counts from the crash of that number on.
    fn late_starts(&self, culprit: usize, number: usize) -> usize {
        let last = self.crashes[culprit].get(number - 1);
        let is_late = |at: &&Instant| last.is_some_and(|last| **at > *last + CONTACT);
        self.starts[culprit].iter().filter(is_late).count()
    }

    /// Innocent requests that were refused, and those that ran on a crashed upstream.
    fn innocent(&self) -> (usize, usize) {
        let innocent = || self.requests.iter().filter(|request| request.culprit.is_none());
        let refused = innocent().filter(|request| request.refused > 0).count();
        (refused, innocent().filter(|request| request.crashes > 0).count())
    }
}

const CASE: Case = Case {
    vms: 6,
    upstreams: 12,
    culprits: 1,
    callers: 1,
    pause_ms: 200,
    crash_chance: 1.0,
    others: 0,
    rate: 100.0,
    restart: false,
    deadly_parts: 0,
    deadly_rate: 0.0,
    deadly_from: 0.0,
    was_sound: false,
    sessions: 0,
};

/// Whether a request has a deadly part. Nobody sends it again once it was refused or has had its second attempt.
fn has_deadly_part(request: &Request, culprits: usize) -> bool {
    request.culprit.is_some_and(|culprit| culprit >= culprits)
}

// Guards against a request that takes down one upstream after the other, resent at any VM of any region.
#[parameterized(
    two_vms = { Case { vms: 2, ..CASE }, 3 },
    six_vms = { CASE, 3 },
    a_fleet = { Case { vms: 985, upstreams: 850, rate: 1500.0, ..CASE }, 3 },
    at_once = { Case { pause_ms: 50, ..CASE }, 3 },
    rarely = { Case { pause_ms: 2000, ..CASE }, 3 },
    one_upstream_a_region = { Case { upstreams: 3, ..CASE }, 3 },
    three_culprits = { Case { culprits: 3, ..CASE }, 3 },
    ten_callers = { Case { callers: 10, ..CASE }, 3 },
    ten_callers_in_a_fleet = { Case { vms: 985, upstreams: 850, callers: 10, ..CASE }, 3 },
    every_second_run = { Case { crash_chance: 0.5, ..CASE }, 5 },
    with_a_restart_of_all = { Case { restart: true, ..CASE }, 3 },
    beside_other_crashes = { Case { others: 8, ..CASE }, 5 },
)]
fn a_request_that_crashes_upstreams_is_found(case: Case, max_crashes: usize) {
    for seed in 1..=10 {
        let mut fleet = Fleet::new(case, seed);
        fleet.play();
        for culprit in 0..case.culprits {
            let crashes: Vec<f64> = fleet.crashes[culprit]
                .iter()
                .map(|at| at.duration_since(fleet.start).as_secs_f64())
                .collect();
            assert!(crashes.len() <= max_crashes, "crashes at {crashes:?} s, seed {seed}");
            let late = fleet.late_starts(culprit, CRASHES_OF_REQUEST);
            assert!(late <= MAX_LATE_RETRIES, "{late} late retries, seed {seed}");
        }
        let (refused, ran) = fleet.innocent();
        let is_few = refused <= HANDFUL || refused * 100 <= ran;
        assert!(is_few, "{refused} of {ran} innocent requests refused, seed {seed}");
        assert!(fleet.largest <= MAX_SHARED_BYTES, "{} bytes, seed {seed}", fleet.largest);
    }
}

// Guards against innocent requests that are refused since upstreams crash for other causes.
#[parameterized(
    a_few = { Case { culprits: 0, others: 4, ..CASE } },
    most = { Case { culprits: 0, others: 12, ..CASE } },
    again_and_again = { Case { culprits: 0, others: 40, ..CASE } },
    a_fleet = { Case { vms: 985, upstreams: 850, culprits: 0, others: 120, rate: 1500.0, ..CASE } },
)]
fn crashes_by_other_causes_hold_hardly_any_request_back(case: Case) {
    for seed in 1..=10 {
        let mut fleet = Fleet::new(case, seed);
        fleet.play();
        let (refused, ran) = fleet.innocent();
        let is_few = refused <= HANDFUL || refused * 100 <= ran;
        assert!(is_few, "{refused} of {ran} innocent requests refused, seed {seed}");
        assert!(fleet.largest <= MAX_SHARED_BYTES, "{} bytes, seed {seed}", fleet.largest);
    }
}
