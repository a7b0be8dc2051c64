//! Callers, one VM's policy and upstreams in virtual time.

use std::collections::HashMap;
use std::time::Duration;

use masticstream::id;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::agenda::Agenda;
use crate::caller::Manner;
use crate::job::Job;
use crate::policy::Kind;
use crate::policy::Policy;
use crate::policy::Reply;
use crate::pool::Pool;
use crate::pool::Turn;
use crate::tally::Outcome;
use crate::tally::Tally;

/// Everything that is given, whatever the policy.
#[derive(Clone, Debug)]
pub struct Setting {
    pub pool: Pool,
    pub turns: Vec<Turn>,
    pub jobs: Vec<Job>,
    pub manner: Manner,
    /// When the run ends.
    pub end: Duration,
}

/// What came of it.
pub struct Result {
    pub jobs: Vec<Job>,
    pub outcomes: Vec<Outcome>,
    /// Slot time that went into answers which were received within their try's deadline, by the second.
    pub goodput: f64,
    /// Slots that were busy with requests whose callers had left or were too late, on average.
    pub wasted: f64,
    /// Requests that were let in and given up on later.
    pub lapsed: u32,
}

impl Result {
    pub fn tally(&self, group: &str) -> Tally {
        let pairs = self.jobs.iter().zip(&self.outcomes);
        Tally::new(pairs.filter(|(job, _)| job.group == group).map(|(_, outcome)| outcome))
    }

    /// The share in time of the owner that fares worst, among those of a group that ask often enough to tell.
    pub fn worst_owner(&self, group: &str) -> f64 {
        const ENOUGH: usize = 10;
        let mut owners: HashMap<&id::Owner, Vec<&Outcome>> = HashMap::new();
        for (job, outcome) in
            self.jobs.iter().zip(&self.outcomes).filter(|(job, _)| job.group == group)
        {
            owners.entry(&job.owner).or_default().push(outcome);
        }
        let often = owners.into_values().filter(|outcomes| outcomes.len() >= ENOUGH);
        often.map(|outcomes| Tally::new(outcomes.into_iter()).share_in_time()).fold(1.0, f64::min)
    }

    /// The groups in the order in which they first ask.
    pub fn groups(&self) -> Vec<&'static str> {
        let mut groups: Vec<&'static str> = Vec::new();
        for job in &self.jobs {
            if !groups.contains(&job.group) {
                groups.push(job.group);
            }
        }
        groups
    }
}

#[derive(Debug)]
enum Event {
    Ask(usize),
    TimeOut(id::Request),
    Finish { request: id::Request, upstream: usize, service: Duration },
    Turn(Turn),
    Check,
}

/// One try of a job.
#[derive(Debug)]
struct Try {
    job: usize,
    deadline: Instant,
    started: bool,
    /// Whether the caller still waits for it.
    open: bool,
}

struct World {
    agenda: Agenda<Event>,
    policy: Box<dyn Policy>,
    setting: Setting,
    rng: SmallRng,
    tries: HashMap<id::Request, Try>,
    outcomes: Vec<Outcome>,
    numbers: u128,
    next_check: Option<Instant>,
    useful: Duration,
    wasted: Duration,
    lapsed: u32,
}

/// Runs a policy in a setting; the same setting, policy and seed always give the same result.
pub fn run(setting: &Setting, kind: Kind, seed: u64) -> Result {
    run_with(setting, kind.build(setting.pool.slots()), seed)
}

/// The same with a policy that stands ready.
pub fn run_with(setting: &Setting, policy: Box<dyn Policy>, seed: u64) -> Result {
    let mut world = World {
        agenda: Agenda::new(),
        policy,
        setting: setting.clone(),
        rng: SmallRng::seed_from_u64(seed),
        tries: HashMap::new(),
        outcomes: vec![Outcome::default(); setting.jobs.len()],
        numbers: 0,
        next_check: None,
        useful: Duration::ZERO,
        wasted: Duration::ZERO,
        lapsed: 0,
    };
    world.run();
    Result {
        jobs: setting.jobs.clone(),
        goodput: world.useful.as_secs_f64() / setting.end.as_secs_f64(),
        wasted: world.wasted.as_secs_f64() / setting.end.as_secs_f64(),
        lapsed: world.lapsed,
        outcomes: world.outcomes,
    }
}

impl World {
    fn run(&mut self) {
        for (index, job) in self.setting.jobs.iter().enumerate() {
            self.agenda.after(job.asked, Event::Ask(index));
        }
        for &turn in &self.setting.turns {
            self.agenda.after(turn.at, Event::Turn(turn));
        }
        while let Some(event) = self.agenda.next() {
            if self.agenda.elapsed() >= self.setting.end {
                return;
            }
            self.handle(event);
            self.start_what_may();
            self.answer_given_up();
            self.plan_check();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask(job) => self.ask(job),
            Event::TimeOut(request) => self.time_out(request),
            Event::Finish { request, upstream, service } => self.finish(request, upstream, service),
            Event::Turn(turn) => {
                self.setting.pool.turn(turn);
                self.policy.resize(self.setting.pool.slots());
            }
            Event::Check => self.next_check = None,
        }
    }

    fn ask(&mut self, index: usize) {
        self.numbers += 1;
        let request = id::Request::new(self.numbers);
        let now = self.agenda.now();
        let job = &self.setting.jobs[index];
        let deadline = now + job.window;
        match self.policy.arrive(request, job, deadline, now) {
            Reply::Refused(after) => self.refused(index, false, after),
            Reply::Wait => {
                self.tries
                    .insert(request, Try { job: index, deadline, started: false, open: true });
                self.agenda.at(deadline, Event::TimeOut(request));
            }
        }
    }

    fn refused(&mut self, job: usize, started: bool, after: Duration) {
        let outcome = &mut self.outcomes[job];
        outcome.refused += 1;
        outcome.untrue += u32::from(started);
        let pause = self.setting.manner.pause(Some(after), &mut self.rng);
        self.agenda.after(pause, Event::Ask(job));
    }

    /// The caller has waited as long as it would: it closes, and asks again.
    fn time_out(&mut self, request: id::Request) {
        let Some(attempt) = self.tries.get_mut(&request) else { return };
        if !attempt.open {
            return;
        }
        attempt.open = false;
        let (job, started) = (attempt.job, attempt.started);
        if !started {
            self.policy.gone(request);
        }
        let pause = self.setting.manner.pause(None, &mut self.rng);
        self.agenda.after(pause, Event::Ask(job));
    }

    fn start_what_may(&mut self) {
        let now = self.agenda.now();
        while let Some((upstream, slowness)) = self.setting.pool.start() {
            let Some(request) = self.policy.next(now) else {
                self.setting.pool.finish(upstream);
                return;
            };
            let attempt = self.tries.get_mut(&request).expect("only known requests start");
            attempt.started = true;
            self.outcomes[attempt.job].runs += 1;
            let service = self.setting.jobs[attempt.job].service.mul_f64(slowness);
            self.agenda.after(service, Event::Finish { request, upstream, service });
        }
    }

    fn finish(&mut self, request: id::Request, upstream: usize, service: Duration) {
        self.setting.pool.finish(upstream);
        let attempt = self.tries.remove(&request).expect("only known requests end");
        let job = &self.setting.jobs[attempt.job];
        self.policy.finished(request, job, service);
        if !attempt.open {
            self.wasted += service;
            return;
        }
        let elapsed = self.agenda.elapsed() - job.asked;
        if self.agenda.now() <= attempt.deadline {
            self.useful += job.service;
        }
        let outcome = &mut self.outcomes[attempt.job];
        outcome.answered = Some(elapsed);
        outcome.in_time = elapsed <= job.window;
    }

    fn answer_given_up(&mut self) {
        for (request, after) in self.policy.given_up(self.agenda.now()) {
            let Some(attempt) = self.tries.remove(&request) else { continue };
            self.lapsed += 1;
            if attempt.open {
                self.refused(attempt.job, attempt.started, after);
            }
        }
    }

    fn plan_check(&mut self) {
        let Some(at) = self.policy.next_check() else { return };
        let at = at + Duration::from_nanos(1);
        if self.next_check.is_none_or(|planned| at < planned) {
            self.next_check = Some(at);
            self.agenda.at(at, Event::Check);
        }
    }
}
