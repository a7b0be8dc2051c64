//! One request on its way: attempts until one answers or none may be made any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::info;
use tokio::time::Instant;

use super::Call;
use super::Caller;
use super::Hub;
use super::attempt;
use super::attempt::Ended;
use super::attempt::NotRunAt;
use super::attempt::Opened;
use super::claim::Claim;
use super::claim::Target;
use super::receive::WAITED;
use crate::decide::place::Holder;
use crate::decide::place::Placement;
use crate::decide::place::Query;
use crate::decide::place::RegionCandidate;
use crate::decide::place::RegionQuery;
use crate::decide::place::Work;
use crate::decide::place::wait;
use crate::decide::quota;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;
use crate::id;
use crate::routing::Route;

/// With less time left no attempt is made: its answer would come too late whatever happens.
const LEAST_LEFT: Duration = Duration::from_millis(15);
/// Attempts that did not run, at most. Where three upstreams refuse or can't be reached, the fourth will not do better.
const MOST_NOT_RUN: u32 = 3;
/// A request that may be repeated waits for an answer for so many times what was expected, and the objective besides,
/// before another upstream is tried.
const PATIENCE: u32 = 3;
/// The soonest that a refused caller is told to come back.
const SOONEST: Duration = Duration::from_millis(150);
/// The latest: callers that are told to stay away longer than a third of their time don't come back at all.
const LATEST: Duration = Duration::from_secs(2);

/// Which VM holds a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layer {
    /// The one that its caller asked.
    First,
    /// One that another VM passed it on to: it stays in this region, so that no request goes in circles.
    Forwarded,
}

/// What a request took off its organisation's allowance.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// The organisation.
    pub organisation: quota::Key,
    /// The cost in the allowance's unit.
    pub cost: u64,
}

/// A request that has been read whole and has a route.
pub struct Job {
    /// The request.
    pub call: Call,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// Who sent it.
    pub caller: Caller,
    /// What it took off an allowance at this VM.
    pub charge: Option<Charge>,
    /// The service that it goes to.
    pub service: String,
    /// Its rank among requests that compete; 0 goes first.
    pub rank: u8,
    /// Whether no other request to the service goes before it.
    pub urgent: bool,
    /// When its caller must have the whole answer.
    pub deadline: Instant,
    /// When it came.
    pub arrived: Instant,
    /// Which VM this is on its way.
    pub layer: Layer,
    /// Whether it may have arrived at an upstream before another VM passed it on.
    pub is_repeat: bool,
}

/// A request on its way.
pub struct Relay {
    hub: Arc<Hub>,
    job: Job,
    work: Work,
    tried: Vec<id::Upstream>,
    tried_vms: Vec<id::Vm>,
    /// Regions that had no room for it.
    refused: Vec<id::Region>,
    /// Whether it may have arrived at an upstream, so that sending it once more counts as a repeat.
    arrived: bool,
    /// Attempts that may have run.
    ran: u32,
    /// Attempts that surely did not.
    not_run: u32,
    retry_after: Option<Duration>,
    /// An upstream's own error, which its caller gets where no other upstream does better.
    error: Option<Opened>,
}

/// Where the next attempt goes.
enum Chosen {
    Here(Placement),
    There { vm: id::Vm, address: SocketAddr, offer: RegionCandidate },
}

impl Chosen {
    const fn expected(&self) -> Duration {
        match self {
            Self::Here(fit) => fit.first_event,
            Self::There { offer, .. } => offer.first_event,
        }
    }

    /// The expected time to the last event.
    const fn whole(&self) -> Duration {
        match self {
            Self::Here(fit) => fit.last_event,
            Self::There { offer, .. } => offer.last_event,
        }
    }

    /// The tokens that an upstream is taken to read for it; none where another VM decides that.
    fn reads(&self) -> Option<u64> {
        match self {
            Self::Here(fit) => Some(fit.prefill.get()),
            Self::There { .. } => None,
        }
    }

    /// The requests that run beside it; none where another VM decides that.
    fn beside(&self) -> Option<u32> {
        match self {
            Self::Here(fit) => Some(fit.running),
            Self::There { .. } => None,
        }
    }

    /// The age of what the region's other VMs told of it, in milliseconds; none where this VM decides by its own view.
    fn told_ms(&self) -> Option<u64> {
        match self {
            Self::Here(fit) => fit.load_age.map(|age| age.as_millis() as u64),
            Self::There { .. } => None,
        }
    }

    /// Who it is, for the log.
    fn target(&self) -> Target {
        match self {
            Self::Here(fit) => Target::Upstream(fit.id.clone()),
            Self::There { vm, offer, .. } => Target::Vm(offer.region.clone(), vm.clone()),
        }
    }
}

impl Relay {
    /// A request that was sent nowhere yet.
    pub fn new(hub: Arc<Hub>, job: Job) -> Self {
        let work = job.call.work();
        Self {
            hub,
            work,
            tried: Vec::new(),
            tried_vms: Vec::new(),
            refused: Vec::new(),
            arrived: job.is_repeat,
            job,
            ran: 0,
            not_run: 0,
            retry_after: None,
            error: None,
        }
    }

    /// The request.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// Whether it may have arrived at an upstream.
    pub const fn has_arrived(&self) -> bool {
        self.arrived
    }

    /// The attempts that were made.
    pub const fn attempts(&self) -> u32 {
        self.ran + self.not_run
    }

    /// Makes attempts until an answer has begun, or gives up. With `resume_after`, the answer goes on after that event.
    pub async fn open(&mut self, resume_after: Option<&str>) -> Result<Opened, Refusal> {
        let opened = self.make_attempts(resume_after).await;
        match (opened, self.error.take()) {
            (Err(_), Some(error)) => Ok(error),
            (opened, _) => opened,
        }
    }

    async fn make_attempts(&mut self, resume_after: Option<&str>) -> Result<Opened, Refusal> {
        loop {
            let left = self.job.deadline.saturating_duration_since(Instant::now());
            if left < LEAST_LEFT {
                return Err(self.give_up(Reason::TooLate, "no time is left"));
            }
            let Some(chosen) = self.choose() else {
                if self.may_wait() && self.hub.hears_more(self.waits_until()).await {
                    continue;
                }
                return Err(self.give_up(Reason::NoUpstream, "no upstream can take it now"));
            };
            let most = left.min(self.longest_wait());
            if chosen.expected() > most {
                self.retry_after = Some(chosen.expected() - most);
                self.log_too_late(&chosen, most);
                return Err(self.give_up(Reason::Overload, "it would be answered too late"));
            }
            if self.attempts() > 0 && !self.is_still_allowed() {
                return Err(self.give_up(Reason::Outdated, "its key may have been taken away"));
            }
            if !self.may_send(&chosen) {
                return Err(self.give_up(Reason::UpstreamFailed, "no more attempts may be made"));
            }
            match self.attempt(chosen, left, resume_after).await {
                Ended::Answered(opened) if self.is_worth_another(&opened) => {
                    self.ran += 1;
                    self.arrived = true;
                    self.error = Some(*opened);
                    self.log("attempt.error", "the upstream answered with an error");
                }
                Ended::Answered(opened) => {
                    self.ran += 1;
                    return Ok(*opened);
                }
                Ended::NotRun { why, retry_after, at } => {
                    self.not_run += 1;
                    match at {
                        NotRunAt::Upstream => self.arrived = true,
                        NotRunAt::Region { region, arrived } => {
                            self.refused.push(region);
                            self.arrived |= arrived;
                        }
                        NotRunAt::Nowhere => (),
                    }
                    self.retry_after = retry_after.or(self.retry_after);
                    self.log("attempt.not_run", why);
                }
                Ended::MayHaveRun { why } => {
                    self.ran += 1;
                    self.arrived = true;
                    self.log("attempt.lost", why);
                    if !self.job.route.kind.is_repeatable() {
                        return Err(self.give_up(Reason::UpstreamFailed, why));
                    }
                }
            }
        }
    }

    /// A stream broke off after it had begun.
    pub fn broke_off(&mut self, why: &'static str) {
        self.arrived = true;
        self.log("stream.broke_off", why);
    }

    /// Whether the request may still be sent, as far as its caller goes: its key may have been taken away since it came.
    fn is_still_allowed(&self) -> bool {
        let Caller::Of { .. } = self.job.caller else { return true };
        let table = self.hub.routing().table;
        let is_known = table.is_some_and(|table| self.job.caller.is_known(&table));
        is_known && (self.job.layer == Layer::Forwarded || self.hub.is_current())
    }

    /// Whether it may wait for an upstream to be heard of. The VM that its caller asked waits; one that it was passed on to
    /// refuses at once, since there may be room elsewhere.
    fn may_wait(&self) -> bool {
        self.job.layer == Layer::First && self.attempts() == 0
    }

    /// Until when a VM that has just started may wait for an upstream.
    fn waits_until(&self) -> Instant {
        let patience = self.job.deadline.saturating_duration_since(self.job.arrived);
        self.job.arrived + patience.mul_f64(WAITED)
    }

    /// How long the request may be expected to wait for its first event. Plain services answer in a fraction of their
    /// objective; a mean that a few slow ones have raised says nothing of the next one.
    fn longest_wait(&self) -> Duration {
        let route = &self.job.route;
        match route.kind.is_stream() {
            true => wait::limit(route.objective, self.job.urgent),
            false => Duration::MAX,
        }
    }

    /// The attempts that may run. Of the VMs that a request goes through, the one that its caller asked makes further
    /// attempts: if each did, a request would run on more upstreams than its route allows, and the failing upstreams
    /// would get the product of all layers' attempts.
    fn allowed(&self) -> u32 {
        match self.job.layer {
            Layer::First => self.job.route.attempts,
            Layer::Forwarded => 1,
        }
    }

    /// Whether one attempt more is allowed by the route and by the budget that all VMs share.
    ///
    /// The budget is charged where a request is sent to an upstream: a VM that passes it on sends nothing itself.
    fn may_send(&self, chosen: &Chosen) -> bool {
        if self.ran >= self.allowed() || self.not_run >= MOST_NOT_RUN {
            return false;
        }
        match chosen {
            Chosen::There { .. } => true,
            Chosen::Here(_) if self.arrived => self.hub.may_repeat(&self.job.service),
            Chosen::Here(_) => {
                self.hub.first_sent(&self.job.service);
                true
            }
        }
    }

    /// An upstream's own error is passed on, unless another upstream may still do better.
    fn is_worth_another(&self, opened: &Opened) -> bool {
        let is_error = opened.head.status.is_server_error();
        let left = self.job.deadline.saturating_duration_since(Instant::now());
        is_error
            && self.job.route.kind.is_repeatable()
            && self.ran + 1 < self.allowed()
            && left > LEAST_LEFT
    }

    async fn attempt(
        &mut self,
        chosen: Chosen,
        left: Duration,
        resume_after: Option<&str>,
    ) -> Ended {
        let patience = self.patience(chosen.expected(), left);
        let placed = self.claim(&chosen);
        let terms = attempt::Terms { patience, resume_after, is_repeat: self.arrived };
        let ended = attempt::run(&self.hub, &self.job, placed, &terms).await;
        let outcome = match &ended {
            Ended::NotRun { .. } => "not_run",
            Ended::MayHaveRun { .. } => "lost",
            Ended::Answered(_) => "answered",
        };
        self.hub.metrics().attempted(outcome);
        ended
    }

    /// Takes the place and notes that it was tried.
    fn claim(&mut self, chosen: &Chosen) -> (Claim, SocketAddr) {
        let service = &self.job.service;
        let (target, held, address) = match chosen {
            Chosen::Here(fit) => {
                self.tried.push(fit.id.clone());
                let held = self.hub.place().record_sent(fit, &self.work, Instant::now());
                (Target::Upstream(fit.id.clone()), Some(held), fit.address)
            }
            Chosen::There { vm, address, .. } => {
                self.tried_vms.push(vm.clone());
                (chosen.target(), None, *address)
            }
        };
        info!(self.hub.log(), "request.placed"; "request" => &self.job.call.id,
            "attempt" => self.attempts() + 1, "target" => ?target,
            "expected_ms" => chosen.expected().as_millis() as u64,
            "whole_ms" => chosen.whole().as_millis() as u64,
            "beside" => chosen.beside(), "told_ms" => chosen.told_ms(), "reads" => chosen.reads(),
            "own" => self.work.suffix.get(),
            "shared" => self.work.prefix.map(|shared| format!("{:x}", shared.key)));
        (Claim::new(self.hub.clone(), target, service, held), address)
    }

    /// A request that may run once waits to its end for the answer; another one for a while, so that an upstream that
    /// hangs costs its caller no more than that.
    fn patience(&self, expected: Duration, left: Duration) -> Duration {
        let has_another = self.ran + 1 < self.allowed();
        if !self.job.route.kind.is_repeatable() || !has_another {
            return left;
        }
        (expected * PATIENCE + self.job.route.objective).min(left)
    }

    /// The place with the least cost, here or in another region.
    fn choose(&self) -> Option<Chosen> {
        let now = Instant::now();
        let (service, route) = (self.job.service.as_str(), &self.job.route);
        let caller = &self.job.caller;
        let is_home = |region: &id::Region| caller.allows(route, region);
        let allows = |region: &id::Region| is_home(region) && !self.refused.contains(region);
        let urgent = self.job.urgent;
        let longest = self.job.deadline.saturating_duration_since(now).min(self.longest_wait());
        let (work, bytes) = (self.work, self.job.body.len());
        let passage =
            RegionQuery { service, work, urgent, bytes, max_wait: longest, allows: &allows };
        let is_home = is_home(&self.hub.node().region);
        let shared = self.work.prefix.filter(|_| is_home);
        let weight = shared.and_then(|shared| self.hub.place().rendezvous_weight(service, &shared));
        let holder = self.hub.regions().holder(&passage, weight, now);
        let holds_prefix = holder == Holder::Local;
        let tried = &self.tried;
        let demand = Query { service, work, tried, holds_prefix, urgent, max_wait: longest };
        let here = if is_home { self.hub.place().choose(&demand, now) } else { None };
        let offers = match self.job.layer {
            Layer::First => {
                let spread = || Duration::from_micros(self.hub.draw() % SPREAD_MICROS);
                let usual = self.hub.place().profile(service);
                self.hub.regions().candidates(&passage, &holder, &usual, spread, now)
            }
            Layer::Forwarded => Vec::new(),
        };
        let cost = here.as_ref().map_or(Duration::MAX, |fit| fit.cost);
        let better = offers.into_iter().take_while(|offer| offer.cost < cost);
        self.pass_on_to(better).or(here.map(Chosen::Here))
    }

    /// The first region of these that has a VM which takes requests.
    fn pass_on_to(&self, mut offers: impl Iterator<Item = RegionCandidate>) -> Option<Chosen> {
        offers.find_map(|offer| {
            let (vm, address) = self.hub.vm_in(&offer.region, &self.tried_vms)?;
            Some(Chosen::There { vm, address, offer })
        })
    }

    /// The final answer to a request that is given up. It says that nothing ran only where no attempt can have run.
    fn give_up(&self, reason: Reason, why: &str) -> Refusal {
        if self.ran > 0 {
            let reason = match reason {
                Reason::TooLate => Reason::TooLate,
                _ => Reason::UpstreamFailed,
            };
            return Refusal::new(reason, why).with_ran(Ran::Unknown);
        }
        let reason = if reason == Reason::UpstreamFailed { Reason::Overload } else { reason };
        let after = self.retry_after.unwrap_or(SOONEST).clamp(SOONEST, LATEST);
        let spread = 1.0 + (self.hub.draw() % 256) as f64 / 1024.0;
        Refusal::new(reason, why).with_retry_after(after.mul_f64(spread))
    }

    /// What a refusal of a request that can't be in time was decided by.
    fn log_too_late(&self, chosen: &Chosen, longest: Duration) {
        let route = &self.job.route;
        info!(self.hub.log(), "request.too_late"; "request" => &self.job.call.id,
            "route" => &route.name, "rank" => self.job.rank, "target" => ?chosen.target(),
            "expected_ms" => chosen.expected().as_millis() as u64,
            "longest_ms" => longest.as_millis() as u64,
            "own_tokens" => self.work.suffix.get(),
            "shared_tokens" => self.work.prefix.map(|shared| shared.tokens.get()));
    }

    fn log(&self, event: &'static str, why: &'static str) {
        info!(self.hub.log(), "{}", event; "request" => &self.job.call.id,
            "attempt" => self.attempts(), "why" => why,
            "left_ms" => self.job.deadline.saturating_duration_since(Instant::now()).as_millis() as u64);
    }
}

/// Regions that are equally good within this are drawn at random.
const SPREAD_MICROS: u64 = 20_000;
