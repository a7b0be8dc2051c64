//! The retry budgets of services.

use std::collections::HashMap;
use std::time::Duration;

use slog::info;
use tokio::time;
use tokio::time::Instant;

use super::State;
use crate::clock;
use crate::decide::retry::limit::ISSUE_LIFETIME;
use crate::id;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Role;

/// When a control VM that did not answer is asked again.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);

/// The shortest time until a control VM that has no repeats is asked again.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// The longest one, so that repeats that are added after a failure are soon used.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Permission to send one request to an upstream once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    source: Source,
    charged_at: Instant,
}

/// Where a permitted repeat comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Requests to the service have earned it.
    Earned,
    /// A control VM has issued it.
    Issued,
}

impl Permit {
    /// Whether it can still be used.
    pub fn is_valid(&self) -> bool {
        self.age() < ISSUE_LIFETIME
    }

    /// The time since the budget was charged, or the control VM was asked.
    pub fn age(&self) -> Duration {
        clock::now().saturating_duration_since(self.charged_at)
    }

    /// Where it comes from.
    pub const fn source(&self) -> Source {
        self.source
    }
}

/// The control VMs that have no repeats at present, and until when.
#[derive(Debug, Default)]
pub(super) struct Issuers {
    paused: HashMap<(String, id::Vm), Instant>,
}

impl Issuers {
    fn pause(&mut self, service: &str, vm: &id::Vm, pause: Duration, now: Instant) {
        self.paused.retain(|_, until| *until > now);
        let pause = pause.clamp(MIN_PAUSE, MAX_PAUSE);
        self.paused.insert((service.to_owned(), vm.clone()), now + pause);
    }

    fn is_paused(&self, service: &str, vm: &id::Vm, now: Instant) -> bool {
        let until = self.paused.get(&(service.to_owned(), vm.clone()));
        until.is_some_and(|until| *until > now)
    }
}

impl State {
    /// Permits the request to be repeated at an upstream of the service, if the retry budget allows it. Takes twice the
    /// lifetime of an issued repeat at most.
    pub async fn permit_retry(&self, service: &str, request: Option<&str>) -> Option<Permit> {
        if self.withdraw_earned(service, request) {
            return Some(Permit { source: Source::Earned, charged_at: clock::now() });
        }
        let started_at = clock::now();
        let has_time = || clock::now().saturating_duration_since(started_at) < ISSUE_LIFETIME;
        while has_time()
            && let Some(issuer) = self.choose_issuer(service)
        {
            let permit = Permit { source: Source::Issued, charged_at: clock::now() };
            let answer = self.ask_for_repeat(&issuer, service).await;
            if answer == Some(Ok(())) && permit.is_valid() {
                self.log_retry("issued", service, request, Some((&issuer, started_at)));
                return Some(permit);
            }
            let pause = match answer {
                Some(Err(next)) => next,
                Some(Ok(())) => Duration::ZERO,
                None => UNANSWERED_PAUSE,
            };
            self.issuers().pause(service, &issuer, pause, clock::now());
        }
        self.log_retry("refused", service, request, None);
        None
    }

    /// Records a request, which adds to the retry budget of the service.
    pub fn record_first_attempt(&self, service: &str) {
        let now = clock::now();
        self.earned_repeats().budget(service, now).deposit(now);
    }

    /// Takes a repeat that the requests to the service have earned, if there is one.
    pub(super) fn withdraw_earned(&self, service: &str, request: Option<&str>) -> bool {
        let now = clock::now();
        let has_token = self.earned_repeats().budget(service, now).try_withdraw(now).is_ok();
        if has_token {
            self.log_retry("earned", service, request, None);
        }
        has_token
    }

    /// The next control VM to be asked for a repeat, of this region if there is one.
    fn choose_issuer(&self, service: &str) -> Option<id::Vm> {
        if self.node.bounds.repeats.minimum < 1.0 {
            return None;
        }
        let merged = self.merged();
        let issuers = self.issuers();
        let now = clock::now();
        let able = merged.vms(Role::Control).filter(|vm| !issuers.is_paused(service, &vm.vm, now));
        let nearest = able.min_by_key(|vm| (vm.region != self.node.region, vm.vm.clone()));
        nearest.map(|vm| vm.vm.clone())
    }

    /// Asks a control VM for a repeat; `None` without an answer.
    async fn ask_for_repeat(&self, issuer: &id::Vm, service: &str) -> Option<Result<(), Duration>> {
        let peer = Peer::new(issuer.clone(), Role::Control);
        let request = Request::IssueRepeat { service: service.to_owned() };
        let call = self.mesh()?.call(&peer, request, ISSUE_LIFETIME);
        match time::timeout(ISSUE_LIFETIME, call).await {
            Ok(Ok(Reply::RepeatIssued(issued))) => Some(issued),
            _ => None,
        }
    }

    fn log_retry(
        &self,
        decision: &'static str,
        service: &str,
        request: Option<&str>,
        asked: Option<(&id::Vm, Instant)>,
    ) {
        self.metrics.record_repeat(decision);
        let now = clock::now();
        let tokens = self.earned_repeats().budget(service, now).tokens(now);
        info!(self.log, "retry.{}", decision; "request" => request, "service" => service,
            "earned" => tokens, "control" => asked.map(|(vm, _)| vm.to_string()),
            "asked_ms" => asked.map(|(_, at)| now.duration_since(at).as_millis() as u64),
            "up_ms" => self.started.elapsed().as_millis() as u64);
    }
}
