//! Handles one request: sends attempts until one succeeds or none is allowed any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use slog::info;
use tokio::time;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use self::placement::Placement;
use self::stopping::Bounds;
use super::Call;
use super::Caller;
use super::State;
use super::attempt;
use super::attempt::AttemptResult;
use super::attempt::OpenResponse;
use super::attempt::Stage;
use super::receive::STARTUP_WAIT_FRACTION;
use super::reservation::Reservation;
use super::reservation::Target;
use super::state::CountGuard;
use super::state::Permit;
use super::state::Source;
use super::state::Ticket;
use crate::decide::place::InFlight;
use crate::decide::place::Work;
use crate::decide::quarantine::Digest;
use crate::decide::quarantine::Status;
use crate::decide::quota;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;
use crate::id;
use crate::routing::Route;

mod placement;
mod stopping;

/// No attempt is started with less time left, since its response would be late.
const MIN_REMAINING: Duration = Duration::from_millis(15);
/// Limit of attempts that were not executed. Where three upstreams refuse or can't be reached, a fourth will not do
/// better.
const MAX_NOT_EXECUTED: u32 = 3;
/// The timeout of a repeatable attempt is this multiple of the expected time plus the route's
/// objective.
const TIMEOUT_FACTOR: u32 = 3;
/// The age of a choice of an upstream beyond which it is made again.
const MAX_PLACEMENT_AGE: Duration = Duration::from_millis(1);
/// Minimum `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Maximum `Retry-After` that is estimated from latencies. Callers do not retry after delays of more
/// than a third of their timeout.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Fraction of the time left for which a request may wait for room.
const MAX_ROOM_WAIT_FRACTION: f64 = 0.5;

/// Interval of checks whether a suspect can run apart from others.
const APART_POLL: Duration = Duration::from_millis(20);
/// Fraction of a caller's timeout for which a suspect may wait for that.
const MAX_APART_WAIT_FRACTION: f64 = 0.5;

/// Interval of checks whether the cause of a lost attempt is known.
const EXAMINATION_POLL: Duration = Duration::from_millis(10);
/// How long a request waits for that under which one upstream has crashed, which others beside it may explain.
const MAX_EXAMINATION_WAIT: Duration = Duration::from_millis(400);

/// The position of this VM on the path of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hop {
    /// The VM that received the request from its caller.
    Ingress,
    /// A VM to which the request was forwarded. It does not forward it again, which prevents loops.
    Forwarded,
}

/// Why an attempt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Grant {
    /// No attempt of the request has reached an upstream.
    First,
    /// It is a retry, which was charged to the retry budget.
    Retry(Permit),
    /// The VM that it is forwarded to charges it.
    Forwarded,
}

impl Grant {
    /// The name for the log.
    const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry(permit) => match permit.source() {
                Source::Earned => "earned",
                Source::Issued => "issued",
            },
            Self::Forwarded => "forwarded",
        }
    }

    /// The time since the retry budget was charged.
    fn charge_age(self) -> Option<Duration> {
        match self {
            Self::Retry(permit) => Some(permit.age()),
            Self::First | Self::Forwarded => None,
        }
    }
}

/// The result of charging an attempt to the retry budget.
enum Charged {
    /// The attempt may be sent.
    Now(Grant),
    /// It may be sent, but charging it took a while.
    Later,
    /// The budget is used up.
    Refused,
}

/// Whether a request may go on to choose a target.
enum Checked {
    Now,
    Later,
}

/// What is held against a request.
enum Suspicion {
    None,
    /// One upstream crashed while running it.
    Weak(Vec<id::Upstream>),
    /// Several upstreams did.
    Strong(Vec<id::Upstream>),
}

/// An amount charged to an organisation's allowance.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// The organisation.
    pub organisation: quota::Key,
    /// The cost in the allowance's unit.
    pub cost: u64,
}

/// A routed request with its complete body.
pub struct Job {
    /// The request.
    pub call: Call,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The sender.
    pub caller: Caller,
    /// The amount charged at this VM.
    pub charge: Option<Charge>,
    /// The target service.
    pub service: String,
    /// Priority among competing requests; 0 is the highest.
    pub rank: u8,
    /// Whether no other request to the service has a higher priority.
    pub urgent: bool,
    /// When the caller must have the whole response.
    pub deadline: Instant,
    /// When the request was received.
    pub received_at: Instant,
    /// The position of this VM on the request's path.
    pub hop: Hop,
    /// Whether the request may have reached an upstream before it was forwarded here.
    pub is_retry: bool,
    /// Whether this VM is to count the request for the retry budget, when it is sent.
    pub is_counted_here: bool,
    /// Identifies the request when it is resent; computed when it is first needed.
    pub digest: OnceLock<Digest>,
    /// Identifies the parts of the prompt that other requests may share; computed when they are first needed.
    pub parts: OnceLock<Arc<[Digest]>>,
}

impl Job {
    /// A hash of what identifies the request when it is resent; unlike the digest, it can be computed for each request.
    pub fn hash(&self) -> u64 {
        let call = &self.call;
        let mut hash = Xxh3::new();
        hash.update(call.host.as_bytes());
        hash.update(call.target.as_str().as_bytes());
        hash.update(&self.body);
        hash.digest()
    }

    /// Identifies the parts of the prompt that other requests may share.
    pub fn parts(&self) -> &Arc<[Digest]> {
        self.parts.get_or_init(|| {
            let parts = self.call.prompt.as_ref().and_then(|prompt| prompt.parts.split_last());
            let shared = parts.map(|(_, shared)| shared).unwrap_or_default();
            shared.iter().map(|(key, _)| Digest::of_part(*key)).collect()
        })
    }

    /// Identifies the request when it is resent.
    pub fn digest(&self) -> &Digest {
        self.digest.get_or_init(|| {
            let Call { method, host, target, .. } = &self.call;
            Digest::of_call(
                [method.as_str(), host, target.as_str()],
                self.caller.name(),
                &self.body,
            )
        })
    }
}

/// The state of a request in progress.
pub struct Relay {
    state: Arc<State>,
    job: Job,
    work: Work,
    tried: Vec<id::Upstream>,
    tried_vms: Vec<id::Vm>,
    /// Regions that refused the request.
    refused_regions: Vec<id::Region>,
    /// Whether it may have reached an upstream, so that the next attempt counts as a retry.
    reached_upstream: bool,
    /// Whether the retry budget has yet to count the request.
    is_uncounted: bool,
    suspicion: Suspicion,
    /// Upstreams that could not be connected to.
    unreachable: u32,
    /// Permission for the next retry.
    permit: Option<Permit>,
    /// Attempts that may have been executed.
    executed: u32,
    /// Attempts that were not executed.
    not_executed: u32,
    retry_after: Option<Duration>,
    /// An upstream's error response, returned if no other upstream succeeds.
    upstream_error: Option<OpenResponse>,
    /// Counts the request among those that wait for a turn at an upstream.
    waiting: Option<CountGuard>,
    /// Its place among the requests that wait for room at an upstream.
    ticket: Option<Ticket>,
    /// Until when it may wait for room.
    room_deadline: Option<Instant>,
    /// The time since its caller's first attempt, if this is not the first.
    since_first: Option<Duration>,
    /// Whether an attempt is in progress.
    is_attempting: bool,
    bounds: Bounds,
}

impl Relay {
    /// Creates a relay without any attempt.
    pub fn new(state: Arc<State>, job: Job) -> Self {
        let work = job.call.work();
        let stated = job.call.timeout.filter(|_| job.route.kind.is_stream());
        let since_first = stated.and_then(|timeout| state.record_timeout(&job.route.name, timeout));
        Self {
            state,
            work,
            tried: Vec::new(),
            tried_vms: Vec::new(),
            refused_regions: Vec::new(),
            reached_upstream: job.is_retry,
            is_uncounted: job.is_counted_here,
            suspicion: Suspicion::None,
            unreachable: 0,
            permit: None,
            job,
            executed: 0,
            not_executed: 0,
            retry_after: None,
            upstream_error: None,
            waiting: None,
            ticket: None,
            room_deadline: None,
            since_first,
            is_attempting: false,
            bounds: Bounds::Caller,
        }
    }

    /// The request.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// Whether the request may have reached an upstream.
    pub const fn has_reached_upstream(&self) -> bool {
        self.reached_upstream
    }

    /// The number of attempts so far.
    pub const fn attempts(&self) -> u32 {
        self.executed + self.not_executed
    }

    /// Sends attempts until a response begins or the request fails. With `resume_after`, the stream
    /// is resumed after that event.
    pub async fn open(&mut self, resume_after: Option<&str>) -> Result<OpenResponse, Refusal> {
        let opened = self.make_attempts(resume_after).await;
        match (opened, self.upstream_error.take()) {
            (Err(_), Some(error)) => Ok(error),
            (opened, _) => opened,
        }
    }

    async fn make_attempts(&mut self, resume_after: Option<&str>) -> Result<OpenResponse, Refusal> {
        loop {
            self.bound_by_stop();
            let remaining = self.job.deadline.saturating_duration_since(Instant::now());
            if remaining < MIN_REMAINING {
                return Err(match self.bounds {
                    Bounds::Caller => self.refusal(Reason::TooLate, "no time is left"),
                    Bounds::Stop => self.stopping(),
                });
            }
            if self.state.wait_while_in_doubt(self.job.deadline).await {
                continue;
            }
            match self.check_quarantine(remaining).await? {
                Checked::Now => (),
                Checked::Later => continue,
            }
            let Some(placement) = self.choose_target() else {
                if self.waits_apart(remaining) {
                    time::sleep(APART_POLL).await;
                    continue;
                }
                if self.waits_for_room(remaining).await {
                    continue;
                }
                if self.can_wait() && self.state.wait_for_update(self.wait_deadline()).await {
                    continue;
                }
                self.log_no_room();
                return Err(self.refusal(Reason::NoUpstream, "no upstream can take it now"));
            };
            self.waiting = None;
            if self.outlasts_stop(&placement) {
                return Err(self.stopping());
            }
            let max_wait = remaining.min(self.max_wait());
            self.record_expected(&placement);
            if placement.expected() > max_wait {
                let excess = placement.expected() - max_wait;
                self.retry_after = Some(excess.min(MAX_RETRY_AFTER));
                self.log_too_late(&placement, max_wait);
                return Err(self.refusal(Reason::Overload, "it would be answered too late"));
            }
            if self.attempts() > 0 && !self.is_caller_still_authorized() {
                return Err(self.refusal(Reason::Outdated, "its key may have been taken away"));
            }
            if !self.has_attempts_left() {
                return Err(self.refusal(Reason::UpstreamFailed, "no more attempts may be made"));
            }
            let grant = match self.charge(&placement).await {
                Charged::Now(grant) => grant,
                // The target is chosen again: the turn at a cold or limited upstream may be over.
                Charged::Later => continue,
                Charged::Refused => {
                    let text = "the retry budget of the service is used up";
                    return Err(self.refusal(Reason::UpstreamFailed, text));
                }
            };
            let upstream = placement.upstream().cloned();
            match self.attempt(placement, grant, remaining, resume_after).await {
                AttemptResult::Response(opened) if self.should_try_another(&opened) => {
                    self.executed += 1;
                    self.reached_upstream = true;
                    self.upstream_error = Some(*opened);
                    self.log("attempt.error", "the upstream answered with an error");
                }
                AttemptResult::Response(opened) => {
                    self.executed += 1;
                    return Ok(*opened);
                }
                AttemptResult::NotExecuted { reason, retry_after, stage } => {
                    self.not_executed += 1;
                    match stage {
                        // The delay that an upstream asks for is not the caller's: others may have room.
                        Stage::Upstream => self.reached_upstream = true,
                        Stage::Region { region, reached_upstream } => {
                            self.refused_regions.push(region);
                            self.reached_upstream |= reached_upstream;
                            self.retry_after = retry_after.or(self.retry_after);
                        }
                        Stage::NotSent => self.unreachable += u32::from(upstream.is_some()),
                    }
                    self.log("attempt.not_run", reason);
                }
                AttemptResult::Indeterminate { reason } => {
                    self.executed += 1;
                    self.reached_upstream = true;
                    self.log("attempt.lost", reason);
                    if !self.job.route.kind.is_repeatable() || !self.may_repeat(upstream.as_ref()) {
                        return Err(self.refusal(Reason::UpstreamFailed, reason));
                    }
                    if let Some(upstream) = &upstream {
                        self.wait_for_examination(upstream).await;
                    }
                }
            }
        }
    }

    /// Whether a request whose attempt was lost may be tried again, by what is held against it: another VM that sent it does not
    /// say whether its upstream crashed.
    const fn may_repeat(&self, upstream: Option<&id::Upstream>) -> bool {
        upstream.is_some() || !matches!(self.suspicion, Suspicion::Strong(_))
    }

    /// Delays the next attempt of a suspect until it is known whether the last one crashed its upstream, so that this counts.
    async fn wait_for_examination(&self, upstream: &id::Upstream) {
        let latest = self.job.deadline.checked_sub(MIN_REMAINING).unwrap_or(self.job.deadline);
        let until = match self.suspicion {
            Suspicion::None => return,
            Suspicion::Weak(_) => latest.min(Instant::now() + MAX_EXAMINATION_WAIT),
            Suspicion::Strong(_) => latest,
        };
        while self.state.is_under_examination(upstream) && Instant::now() < until {
            time::sleep(EXAMINATION_POLL).await;
        }
    }

    /// Refuses a request that crashes upstreams, and delays one whose last crash has not been evaluated yet.
    async fn check_quarantine(&mut self, remaining: Duration) -> Result<Checked, Refusal> {
        self.suspicion = Suspicion::None;
        match self.state.crash_status(&self.job) {
            Status::Clear => Ok(Checked::Now),
            Status::Suspect { avoid } if avoid.len() > 1 => {
                self.suspicion = Suspicion::Strong(avoid);
                Ok(Checked::Now)
            }
            Status::Suspect { avoid } => {
                self.suspicion = Suspicion::Weak(avoid);
                Ok(Checked::Now)
            }
            Status::Pending { time_left } if time_left + MIN_REMAINING < remaining => {
                self.log_held_back("pending", time_left);
                time::sleep(time_left).await;
                Ok(Checked::Later)
            }
            Status::Pending { time_left } => Err(self.quarantined("pending", time_left)),
            Status::Quarantined { time_left } => Err(self.quarantined("quarantined", time_left)),
        }
    }

    fn quarantined(&self, reason: &'static str, time_left: Duration) -> Refusal {
        self.log_held_back(reason, time_left);
        let text = "upstreams crashed while running this request, it is not run again for now";
        let refusal = Refusal::new(Reason::Quarantined, text).with_retry_after(time_left);
        if self.executed > 0 { refusal.with_ran(Ran::Unknown) } else { refusal }
    }

    fn log_held_back(&self, reason: &'static str, time_left: Duration) {
        self.state.metrics().record_held_back(reason);
        info!(self.state.log(), "request.held_back"; "request" => &self.job.call.id,
            "why" => reason, "digest" => %self.state.suspect(&self.job),
            "attempts" => self.attempts(),
            "left_ms" => time_left.as_millis() as u64);
    }

    /// Whether a request that crashed several upstreams waits until it can run apart from others like it.
    fn waits_apart(&self, remaining: Duration) -> bool {
        let timeout = self.job.deadline.saturating_duration_since(self.job.received_at);
        matches!(self.suspicion, Suspicion::Strong(_))
            && remaining > timeout.mul_f64(1.0 - MAX_APART_WAIT_FRACTION)
            && self.state.place().has_open(&self.job.service)
    }

    /// Waits for room at the upstreams, if that is all that keeps the request from being sent and the wait is worth it;
    /// returns whether to try again.
    async fn waits_for_room(&mut self, remaining: Duration) -> bool {
        let now = Instant::now();
        if !self.lacks_room(now) {
            return false;
        }
        let service = &self.job.service;
        let objective = self.job.route.objective;
        let longest = self
            .max_wait()
            .min(self.state.place().max_room_wait(service, objective, now))
            .min(remaining.mul_f64(MAX_ROOM_WAIT_FRACTION));
        let until = *self.room_deadline.get_or_insert(now + longest);
        if self.ticket.is_none() {
            if now + self.state.place().room_wait(service, now) >= until {
                return false;
            }
            self.ticket = Some(Ticket::new(&self.state, service, self.job.rank));
        }
        self.state.wait_for_room(until).await;
        Instant::now() < until
    }

    /// Records that a stream failed after its head was received.
    pub fn record_stream_failure(&mut self, reason: &'static str) {
        self.reached_upstream = true;
        self.log("stream.broke_off", reason);
    }

    /// Whether the caller's key is still valid; it may have been revoked since the request arrived.
    fn is_caller_still_authorized(&self) -> bool {
        let Caller::Authenticated { .. } = self.job.caller else { return true };
        let table = self.state.routing().table;
        let is_known = table.is_some_and(|table| self.job.caller.is_known(&table));
        is_known && (self.job.hop == Hop::Forwarded || self.state.is_fresh())
    }

    /// Whether the request may wait for an upstream to appear. Forwarded requests are refused at
    /// once, since another region may have capacity, and so are those that upstreams will not take
    /// in time.
    fn can_wait(&mut self) -> bool {
        self.job.hop == Hop::Ingress
            && self.attempts() == 0
            && !self.lacks_places()
            && self.is_taken_in_time()
    }

    /// Whether all plain upstreams hold as many requests as they can.
    fn lacks_places(&self) -> bool {
        let now = Instant::now();
        let is_bounded = self.state.place().full_queue(&self.job.service, now).is_some();
        is_bounded && self.lacks_room(now)
    }

    /// Whether upstreams that are cold or limited will take the request while it may wait, after
    /// those that already wait. It is true if there are no upstreams yet.
    fn is_taken_in_time(&mut self) -> bool {
        let now = Instant::now();
        let Some(opening) = self.opening() else { return true };
        let span = self.wait_deadline().saturating_duration_since(now);
        if opening > span {
            return false;
        }
        if self.waiting.is_none() {
            let turns = self.state.place().turns_within(&self.job.service, span, now);
            if turns.is_some_and(|turns| turns < self.state.waiting_requests() as f64 + 1.0) {
                return false;
            }
            self.waiting = Some(self.state.track_waiting());
        }
        true
    }

    /// Until when a request may wait at a VM that is starting.
    fn wait_deadline(&self) -> Instant {
        let timeout = self.job.deadline.saturating_duration_since(self.job.received_at);
        self.job.received_at + timeout.mul_f64(STARTUP_WAIT_FRACTION)
    }

    /// Maximum expected time to the first event. It is unlimited for plain services, since a few
    /// slow responses would otherwise raise the mean enough to refuse requests, unless they are
    /// short of room.
    ///
    /// The choice of a target has the same limit, also in a shortage: with a higher one, an engine above the limit could be
    /// chosen, and the request refused, while others are below it.
    fn max_wait(&self) -> Duration {
        let (Job { route, service, urgent, .. }, now) = (&self.job, Instant::now());
        if route.kind.is_stream() {
            let objective = (route.objective, *urgent);
            return self.state.shortages().limit(service, objective, self.since_first, now);
        }
        let full_queue = self.state.place().full_queue(service, now);
        full_queue.map_or(Duration::MAX, |_| route.objective)
    }

    /// Records the expected time of an urgent request that has not been sent yet, which shows whether the service is short of
    /// capacity. What is expected of a peer is no estimate.
    fn record_expected(&self, placement: &Placement) {
        let Job { route, service, urgent, .. } = &self.job;
        let is_estimate = !matches!(placement, Placement::Peer { .. });
        if !is_estimate || !urgent || !route.kind.is_stream() || self.attempts() > 0 {
            return;
        }
        let (expected, now) = (placement.expected(), Instant::now());
        self.state.shortages().record_expected(service, expected, route.objective, now);
    }

    /// Maximum number of attempts. Only the VM that received the request from its caller retries;
    /// retries at each hop would multiply.
    fn max_attempts(&self) -> u32 {
        match self.job.hop {
            Hop::Ingress => self.job.route.attempts,
            Hop::Forwarded => 1,
        }
    }

    /// Whether the route allows another attempt.
    fn has_attempts_left(&self) -> bool {
        self.executed < self.max_attempts() && self.not_executed < MAX_NOT_EXECUTED
    }

    /// Counts the request, or charges a retry to the shared budget.
    ///
    /// The budget is charged by the VM that sends to the upstream, not by one that forwards the request.
    async fn charge(&mut self, placement: &Placement) -> Charged {
        let Placement::Local(_) = placement else { return Charged::Now(Grant::Forwarded) };
        if !self.reached_upstream {
            if std::mem::take(&mut self.is_uncounted) {
                self.state.record_first_attempt(&self.job.service);
            }
            return Charged::Now(Grant::First);
        }
        if let Some(permit) = self.permit.take().filter(Permit::is_valid) {
            return Charged::Now(Grant::Retry(permit));
        }
        let asked_at = Instant::now();
        match self.state.permit_retry(&self.job.service, Some(&self.job.call.id)).await {
            None => Charged::Refused,
            Some(permit) if asked_at.elapsed() < MAX_PLACEMENT_AGE => {
                Charged::Now(Grant::Retry(permit))
            }
            Some(permit) => {
                self.permit = Some(permit);
                Charged::Later
            }
        }
    }

    /// Whether to try another upstream after an error response.
    fn should_try_another(&self, opened: &OpenResponse) -> bool {
        let is_error = opened.head.status.is_server_error();
        let remaining = self.job.deadline.saturating_duration_since(Instant::now());
        is_error
            && self.job.route.kind.is_repeatable()
            && self.executed + 1 < self.max_attempts()
            && remaining > MIN_REMAINING
    }

    async fn attempt(
        &mut self,
        placement: Placement,
        grant: Grant,
        remaining: Duration,
        resume_after: Option<&str>,
    ) -> AttemptResult {
        let response_timeout = self.attempt_timeout(placement.expected(), remaining);
        let reserved = self.reserve(&placement, grant);
        let is_forwarded = !matches!(placement, Placement::Local(_));
        let options = attempt::Options {
            response_timeout,
            resume_after,
            is_retry: self.reached_upstream,
            is_counted_by_receiver: is_forwarded && std::mem::take(&mut self.is_uncounted),
        };
        let started = Instant::now();
        self.is_attempting = true;
        let result = attempt::run(&self.state, &self.job, reserved, &options).await;
        self.is_attempting = false;
        let outcome = match &result {
            AttemptResult::NotExecuted { .. } => "not_run",
            AttemptResult::Indeterminate { .. } => "lost",
            AttemptResult::Response(_) => "answered",
        };
        self.state.metrics().record_attempt(outcome);
        // A request with one attempt that was answered is logged once, when it ends.
        if self.attempts() > 0 || outcome != "answered" {
            info!(self.state.log(), "attempt.ended"; "request" => &self.job.call.id,
                "attempt" => self.attempts() + 1, "outcome" => outcome,
                "ms" => started.elapsed().as_millis() as u64);
        }
        result
    }

    /// Reserves capacity at the target and records it as tried.
    fn reserve(&mut self, placement: &Placement, grant: Grant) -> (Reservation, SocketAddr) {
        let service = &self.job.service;
        self.ticket = None;
        let (target, held, address) = match placement {
            Placement::Local(fit) => {
                self.tried.push(fit.id.clone());
                let held = self.state.place().record_sent(fit, &self.work, Instant::now());
                self.log_cold_send(&held);
                (Target::Upstream(fit.id.clone()), Some(held), fit.address)
            }
            Placement::Remote { vm, address, .. } | Placement::Peer { vm, address, .. } => {
                self.tried_vms.push(vm.clone());
                if placement.is_for_room() {
                    self.state.metrics().record_forward("sent");
                }
                (placement.target(), None, *address)
            }
        };
        let remaining = self.job.deadline.saturating_duration_since(Instant::now());
        info!(self.state.log(), "request.placed"; "request" => &self.job.call.id,
            "attempt" => self.attempts() + 1, "target" => ?target, "grant" => grant.as_str(),
            "charged_ms" => grant.charge_age().map(|age| age.as_millis() as u64),
            "hop" => ?self.job.hop, "attempts_allowed" => self.max_attempts(),
            "left_ms" => remaining.as_millis() as u64,
            "expected_ms" => placement.expected().as_millis() as u64,
            "whole_ms" => placement.expected_total().as_millis() as u64,
            "beside" => placement.running(), "told_ms" => placement.load_age_ms(),
            "room" => placement.room().map(|room| room.places),
            "room_ms" => placement.room().map(|room| room.at.elapsed().as_millis() as u64),
            "reads" => placement.prompt_tokens(),
            "own" => self.work.suffix.get(),
            "shared" => self.work.prefix.map(|shared| format!("{:x}", shared.key)));
        // A VM that a request is forwarded to records its run and counts its answer.
        let (digest, hash) = match &target {
            Target::Upstream(upstream) => {
                (self.state.record_run(&self.job, upstream), Some(self.job.hash()))
            }
            Target::Vm(..) => (None, None),
        };
        let parts = hash.map(|_| self.job.parts().clone()).unwrap_or_default();
        let reservation = Reservation::new(self.state.clone(), target, service, held);
        (reservation.with_digest(digest).with_hash(hash).with_parts(parts), address)
    }

    /// Logs a request to a cold upstream: how it came here, and which turn it takes.
    fn log_cold_send(&self, held: &InFlight) {
        let Some(send) = &held.cold_send else { return };
        info!(self.state.log(), "upstream.cold_send"; "request" => &self.job.call.id,
            "upstream" => %held.id, "hop" => ?self.job.hop, "attempt" => self.attempts() + 1,
            "waited_ms" => self.job.received_at.elapsed().as_millis() as u64,
            "vms" => send.vms, "turn" => send.turn.map(|turn| turn.index),
            "turn_age_ms" => send.turn.map(|turn| turn.begins.elapsed().as_millis() as u64),
            "cold_left_ms" => send.left.as_millis() as u64);
    }

    /// The timeout for the head of the response. It is limited only if another attempt is possible,
    /// so that a hanging upstream does not use up the caller's time.
    fn attempt_timeout(&self, expected: Duration, remaining: Duration) -> Duration {
        let has_another = self.executed + 1 < self.max_attempts();
        if !self.job.route.kind.is_repeatable() || !has_another {
            return remaining;
        }
        (expected * TIMEOUT_FACTOR + self.job.route.objective).min(remaining)
    }

    /// Builds the refusal of a failed request. It states that the request did not run only if no
    /// attempt can have been executed.
    fn refusal(&self, reason: Reason, detail: &str) -> Refusal {
        if self.executed > 0 {
            let reason = match reason {
                Reason::TooLate => Reason::TooLate,
                _ => Reason::UpstreamFailed,
            };
            return Refusal::new(reason, detail).with_ran(Ran::Unknown);
        }
        let reason = if reason == Reason::UpstreamFailed { Reason::Overload } else { reason };
        let after = self.retry_after.into_iter().chain(self.opening()).min();
        let after = after.unwrap_or_default().max(MIN_RETRY_AFTER);
        let spread = 1.0 + (self.state.random() % 256) as f64 / 1024.0;
        Refusal::new(reason, detail).with_retry_after(after.mul_f64(spread))
    }

    /// When an upstream of this region accepts requests again, if restrictions exclude them on all.
    fn opening(&self) -> Option<Duration> {
        let is_home = self.job.caller.allows(&self.job.route, &self.state.node().region);
        let opening = || self.state.place().next_opening(&self.job.service, Instant::now());
        is_home.then(opening).flatten()
    }

    /// Logs the estimate that led to a refusal.
    fn log_too_late(&self, placement: &Placement, max_wait: Duration) {
        let route = &self.job.route;
        info!(self.state.log(), "request.too_late"; "request" => &self.job.call.id,
            "route" => &route.name, "rank" => self.job.rank, "target" => ?placement.target(),
            "expected_ms" => placement.expected().as_millis() as u64,
            "longest_ms" => max_wait.as_millis() as u64,
            "own_tokens" => self.work.suffix.get(),
            "shared_tokens" => self.work.prefix.map(|shared| shared.tokens.get()));
    }

    /// Logs what is known of the room at plain upstreams, if that led to a refusal.
    fn log_no_room(&self) {
        let (now, service) = (Instant::now(), &self.job.service);
        let place = self.state.place();
        let Some(full_queue) = place.full_queue(service, now) else { return };
        info!(self.state.log(), "request.no_room"; "request" => &self.job.call.id,
            "bounds" => place.bounds(service, now), "free" => place.free_places(service, now),
            "full_queue_ms" => full_queue.as_millis() as u64,
            "room_wait_ms" => place.room_wait(service, now).as_millis() as u64,
            "waited_ms" => self.job.received_at.elapsed().as_millis() as u64);
    }

    fn log(&self, event: &'static str, reason: &'static str) {
        let remaining = self.job.deadline.saturating_duration_since(Instant::now());
        info!(self.state.log(), "{}", event; "request" => &self.job.call.id,
            "attempt" => self.attempts(), "why" => reason,
            "left_ms" => remaining.as_millis() as u64);
    }
}
