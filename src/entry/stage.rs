//! The stages of a request, each a type of its own: only a claimed request can be attempted.
//!
//! `Checked` (the ledger knows of no run) → `Placed` (a place on an upstream is held) → `Claimed` (no other attempt
//! will be granted) → attempted, and back to `Checked` where another attempt may be made.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use slog::debug;
use slog::warn;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::catalogue::Class;
use crate::decide::queue::Priority;
use crate::decide::retry::Answer;
use crate::decide::retry::Evidence;
use crate::decide::retry::Race;
use crate::decide::route::Outcome;
use crate::entry::Grant;
use crate::entry::Hub;
use crate::entry::Job;
use crate::entry::claim;
use crate::entry::claim::Claim;
use crate::entry::claim::Known;
use crate::entry::dispatch;
use crate::entry::transcript::Writer;
use crate::http::Ran;
use crate::http::Refusal;
use crate::http::answer::Failure;
use crate::http::answer::Fault;
use crate::http::answer::Patience;
use crate::http::answer::REGION;
use crate::http::answer::Sink;
use crate::http::engine;
use crate::http::engine::Order;
use crate::http::forward;
use crate::id;
use crate::ledger;
use crate::sync::Mutex;

/// A request that has run nowhere, as far as its ledger knows.
pub struct Checked {
    hub: Arc<Hub>,
    job: Arc<Job>,
    step: Option<ledger::Step>,
    must_claim: bool,
}

/// A request that holds a place on an upstream.
pub struct Placed {
    checked: Checked,
    held: Held,
}

/// A request that holds a place, and that no other attempt may run.
pub struct Claimed {
    checked: Checked,
    held: Held,
}

/// Why a claim did not come about.
pub enum Unclaimed {
    /// Another attempt was first.
    Known(Known),
    /// It is refused.
    Refused(Refusal),
}

/// A place on an upstream, given back whatever way the attempt ends, also when its task is dropped.
struct Held {
    hub: Arc<Hub>,
    job: Arc<Job>,
    grant: Grant,
    outcome: Outcome,
}

impl Held {
    fn new(hub: &Arc<Hub>, job: &Arc<Job>, grant: Grant) -> Self {
        Self { hub: hub.clone(), job: job.clone(), grant, outcome: Outcome::Cancelled }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.hub.dispatch().finished(&self.job, &self.grant, self.outcome, Instant::now());
    }
}

impl Checked {
    /// A request that its ledger doesn't know. `must_claim` tells whether it runs under a claim.
    pub fn new(hub: Arc<Hub>, job: Arc<Job>, must_claim: bool) -> Self {
        Self { hub, job, step: None, must_claim }
    }

    /// Waits for a place on an upstream that is none of those to be avoided.
    pub async fn place(self, avoid: &[id::Upstream]) -> Result<Placed, (Self, Refusal)> {
        let submitted = self.hub.dispatch().submit(&self.job, avoid.to_vec(), Instant::now());
        let answer = match submitted {
            Ok(answer) => answer,
            Err(refusal) => return Err((self, refusal)),
        };
        let mut waiting = Waiting { hub: &self.hub, job: &self.job, over: false };
        let granted = tokio::select! {
            biased;
            granted = time::timeout_at(self.job.deadline, answer) => granted,
            () = self.hub.cutoff().passed() => {
                drop(waiting);
                let refusal = self.hub.cutoff_refusal(Ran::No);
                return Err((self, refusal));
            }
        };
        waiting.over = matches!(granted, Ok(Ok(_)));
        drop(waiting);
        match granted {
            Ok(Ok(Ok(grant))) => {
                let held = Held::new(&self.hub, &self.job, grant);
                Ok(Placed { checked: self, held })
            }
            Ok(Ok(Err(refusal))) => Err((self, refusal)),
            Ok(Err(_)) | Err(_) => Err((self, dispatch::too_late())),
        }
    }

    /// Claims the request's key, and has a VM of another region run it.
    pub async fn hand_over(
        mut self,
        address: SocketAddr,
        out: &Writer,
    ) -> Result<(Self, Result<(), Failure>), Unclaimed> {
        self.claim().await?;
        let sink = Sink { marks: Vec::new(), ..sink(&self.hub, &self.job, out, &|| true) };
        let ended = tokio::select! {
            biased;
            ended = forward::ask_run(&self.hub, &self.job, address, &sink) => ended,
            () = self.hub.cutoff().passed() => Err(cut_off()),
        };
        Ok((self, ended))
    }

    async fn claim(&mut self) -> Result<(), Unclaimed> {
        if !self.must_claim || self.step.is_some() {
            return Ok(());
        }
        let attempt = self.hub.random(id::Attempt::random);
        match claim::claim(&self.hub, &self.job, attempt).await {
            Ok(Claim::Granted(step)) => self.step = Some(step),
            Ok(Claim::Known(known)) => return Err(Unclaimed::Known(known)),
            Err(refusal) => return Err(Unclaimed::Refused(refusal)),
        }
        Ok(())
    }

    /// The claim that was granted, to be settled when the request ends.
    pub fn into_step(self) -> Option<ledger::Step> {
        self.step
    }
}

/// Leaves the queue when the wait ends without a place, also when its task is dropped.
struct Waiting<'a> {
    hub: &'a Hub,
    job: &'a Job,
    over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.over {
            self.hub.dispatch().cancel(self.job);
        }
    }
}

impl Placed {
    /// Claims the request's key, unless it is claimed already or runs without a claim.
    pub async fn claim(self) -> Result<Claimed, Unclaimed> {
        let Self { mut checked, held } = self;
        checked.claim().await?;
        Ok(Claimed { checked, held })
    }
}

impl Claimed {
    /// Makes one attempt, or two where the first is late and the request may be hedged.
    pub async fn attempt(self, out: &Writer) -> (Checked, id::Upstream, Result<(), Failure>) {
        let Self { checked, mut held } = self;
        let upstream = held.grant.upstream.id.clone();
        let ended = tokio::select! {
            biased;
            ended = hedged(&checked, &mut held, out) => ended,
            () = checked.hub.cutoff().passed() => Err(cut_off()),
        };
        (checked, upstream, ended)
    }
}

/// An attempt that ended with this VM. It may have run.
fn cut_off() -> Failure {
    Failure {
        evidence: Evidence::BytesSent,
        why: "this VM stopped before the request had ended".to_owned(),
        fault: Fault::Superseded,
    }
}

/// Which of a request's attempts answers its caller.
struct Gate {
    race: Mutex<Race>,
    winner: watch::Sender<Option<id::Attempt>>,
}

impl Gate {
    fn new(first: id::Attempt) -> Self {
        Self { race: Mutex::new(Race::new(first)), winner: watch::Sender::new(None) }
    }

    /// Whether this attempt may pass its answer on; one that has begun may go on.
    fn begins(&self, attempt: id::Attempt) -> bool {
        if *self.winner.borrow() == Some(attempt) {
            return true;
        }
        let answer = self.race.lock().answers(attempt);
        let wins = matches!(answer, Answer::Wins { .. });
        if wins {
            self.winner.send_replace(Some(attempt));
        }
        wins
    }

    fn hedged(&self, attempt: id::Attempt) -> bool {
        self.race.lock().hedged(attempt)
    }

    /// Waits until another attempt answers.
    async fn superseded(&self, attempt: id::Attempt) {
        let mut winner = self.winner.subscribe();
        let other = |winner: &Option<id::Attempt>| winner.is_some_and(|winner| winner != attempt);
        if winner.wait_for(other).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn hedged(checked: &Checked, held: &mut Held, out: &Writer) -> Result<(), Failure> {
    let (hub, job) = (&checked.hub, &checked.job);
    let first = hub.random(id::Attempt::random);
    let gate = Gate::new(first);
    let after = match checked.step {
        None => hub.dispatch().hedge_after(job, Instant::now()),
        // A claim stands for one run; a second attempt would be another.
        Some(_) => None,
    };
    let busy = held.grant.upstream.id.clone();
    let mut one = Box::pin(attempt(held, out, first, &gate));
    let Some(after) = after else { return one.await };
    tokio::select! {
        ended = &mut one => return ended,
        () = time::sleep(after) => (),
    }
    let second = hub.random(id::Attempt::random);
    let grant = hub.dispatch().hedge(job, &busy, Instant::now());
    let Some(grant) = grant else { return one.await };
    debug!(hub.log, "hedged"; "request" => %job.request, "upstream" => %grant.upstream.id);
    let mut other = Held::new(hub, job, grant);
    if !gate.hedged(second) {
        return one.await;
    }
    let mut two = Box::pin(attempt(&mut other, out, second, &gate));
    tokio::select! {
        ended = &mut one => match ended {
            Ok(()) => Ok(()),
            Err(failure) => two.await.map_err(|second| worse(failure, second)),
        },
        ended = &mut two => match ended {
            Ok(()) => Ok(()),
            Err(failure) => one.await.map_err(|first| worse(first, failure)),
        },
    }
}

/// Of two failed attempts, the one that says more about what ran.
fn worse(one: Failure, two: Failure) -> Failure {
    let (mild, grave) = if one.evidence.is_surely_not_run() { (one, two) } else { (two, one) };
    let passed = [&mild, &grave].iter().any(|failure| failure.evidence == Evidence::PassedOn);
    let evidence = if passed { Evidence::PassedOn } else { grave.evidence };
    Failure { evidence, ..grave }
}

async fn attempt(
    held: &mut Held,
    out: &Writer,
    attempt: id::Attempt,
    gate: &Gate,
) -> Result<(), Failure> {
    let (hub, job) = (held.hub.clone(), held.job.clone());
    debug!(hub.log, "attempt"; "request" => %job.request, "attempt" => %attempt,
        "upstream" => %held.grant.upstream.id);
    let begins = || gate.begins(attempt);
    let sink = sink(&hub, &job, out, &begins);
    let ended = tokio::select! {
        ended = resumed(&hub, &job, &held.grant, attempt, &sink) => ended,
        () = gate.superseded(attempt) => Err(Failure {
            evidence: Evidence::BytesSent,
            why: "another attempt answers".to_owned(),
            fault: Fault::Superseded,
        }),
    };
    suspect(&hub, &job, &held.grant, &ended).await;
    held.outcome = match &ended {
        Ok(()) => Outcome::Answered,
        Err(failure) => match failure.fault {
            Fault::Full | Fault::Limited { .. } => Outcome::Full,
            Fault::Superseded => Outcome::Cancelled,
            Fault::Silent | Fault::Ended | Fault::Failed => Outcome::Failed,
        },
    };
    ended
}

/// Finds out whether the upstream died of what ran there, and charges it to those requests.
async fn suspect(hub: &Hub, job: &Job, grant: &Grant, ended: &Result<(), Failure>) {
    let now = Instant::now();
    let report = match ended {
        Ok(()) => hub.dispatch().cleared(job, &grant.upstream.id, now),
        Err(failure) if failure.fault == Fault::Failed && !failure.evidence.is_surely_not_run() => {
            if engine::probe(&hub.client, grant.upstream.address).await {
                return;
            }
            warn!(hub.log, "an upstream died"; "upstream" => %grant.upstream.id);
            hub.dispatch().died(&grant.upstream, Instant::now())
        }
        Err(_) => return,
    };
    hub.tell(&report);
}

/// Where the answer of an attempt goes.
pub fn sink<'a>(
    hub: &Hub,
    job: &Job,
    out: &'a Writer,
    begins: &'a (dyn Fn() -> bool + Send + Sync),
) -> Sink<'a> {
    let region = HeaderValue::from_str(hub.region().as_str());
    Sink {
        out,
        marks: region.into_iter().map(|value| (REGION, value)).collect(),
        begins,
        events: job.events,
        patience: patience(job.entry.class),
        deadline: job.deadline,
    }
}

/// An attempt, and where its connection goes silent while a fresh one works, the same once more from where it was.
async fn resumed(
    hub: &Hub,
    job: &Job,
    grant: &Grant,
    attempt: id::Attempt,
    sink: &Sink<'_>,
) -> Result<(), Failure> {
    let address = grant.upstream.address;
    let priority = Priority::of(job.entry.class).get();
    let order = Order { attempt, address, priority, offset: 0 };
    let ended = engine::run(&hub.client, job, &order, sink).await;
    let Err(failure) = ended else { return ended };
    // An answer that did not come by its deadline is of no use any more, and says nothing about its upstream.
    if failure.fault == Fault::Silent && Instant::now() >= job.deadline {
        let why = "the answer was not whole by the deadline".to_owned();
        return Err(Failure { why, fault: Fault::Superseded, ..failure });
    }
    // Failure: something between the two ends loses track of a connection; it is silent for good, while new ones
    // work and the engine is well. A stream that the caller has half of can only go on here, at its offset; what
    // may not run twice is never sent twice.
    if failure.fault != Fault::Silent || !job.may_repeat() || !job.events {
        return Err(failure);
    }
    if !engine::probe(&hub.client, address).await {
        return Err(failure);
    }
    debug!(hub.log, "resumed"; "request" => %job.request, "offset" => sink.out.pushed());
    let order = Order { offset: sink.out.pushed(), ..order };
    engine::run(&hub.client, job, &order, sink).await
}

/// How long an upstream may keep silent. An alert's caller is better served by a second attempt after 5 s than by
/// a first one after 10; a batch prompt of megabytes takes minutes before its first token.
fn patience(class: Class) -> Patience {
    let (first, between) = match class {
        Class::Alert => (5, 3),
        Class::Short => (10, 5),
        Class::Long => (60, 15),
        Class::Batch => (300, 60),
    };
    Patience { first: Duration::from_secs(first), between: Duration::from_secs(between) }
}
