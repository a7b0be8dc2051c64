//! The life of one request: waiting, running, answered.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use crate::catalogue::Class;
use crate::decide::queue::Priority;
use crate::decide::route::Outcome;
use crate::entry::Grant;
use crate::entry::Hub;
use crate::entry::Job;
use crate::entry::dispatch;
use crate::entry::transcript::End;
use crate::entry::transcript::Writer;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;
use crate::http::engine;
use crate::http::engine::Evidence;
use crate::http::engine::Failure;
use crate::http::engine::Order;
use crate::http::engine::Patience;
use crate::id;

/// Names the region that answered.
pub const REGION: HeaderName = HeaderName::from_static("mastic-region");
/// Attempts at most for one request: the first, and one on each of two other upstreams.
const ATTEMPTS: usize = 3;

/// Runs a request to its end and writes its answer.
pub async fn run(hub: Arc<Hub>, job: Arc<Job>, out: Arc<Writer>) {
    let _stream = hub.enter();
    let ended = tokio::select! {
        ended = attempts(&hub, &job, &out) => ended,
        // Nobody reads, and a request without a key can't be asked for again under its name.
        () = out.abandoned(), if job.key.is_none() => {
            hub.dispatch().cancel(&job);
            hub.metrics.ended(job.entry.class, "abandoned");
            return;
        }
    };
    let latency = job.arrived.elapsed();
    match ended {
        Ok(()) => {
            hub.metrics.ended(job.entry.class, "whole");
            hub.metrics.latency(job.entry.class, latency);
            out.end(End::Whole);
        }
        Err(refusal) => {
            hub.metrics.ended(job.entry.class, refusal.reason.name());
            info!(hub.log, "request refused"; "request" => %job.request, "entry" => %job.entry.name,
                "reason" => refusal.reason.name(), "ran" => ?refusal.ran);
            out.end(End::Refused(refusal));
        }
    }
}

/// Attempts until one is whole, or until another may not be made.
async fn attempts(hub: &Arc<Hub>, job: &Arc<Job>, out: &Writer) -> Result<(), Refusal> {
    let mut avoid = Vec::new();
    let mut ran = Ran::No;
    let mut last = None;
    for _ in 0..ATTEMPTS {
        let grant = match place(hub, job, &avoid).await {
            Ok(grant) => grant,
            Err(refusal) => return Err(last.unwrap_or(refusal).with_ran(ran)),
        };
        let failure = match attempt(hub, job, &grant, out).await {
            Ok(()) => return Ok(()),
            Err(failure) => failure,
        };
        warn!(hub.log, "attempt failed"; "request" => %job.request, "upstream" => %grant.upstream.id,
            "why" => &failure.why, "evidence" => ?failure.evidence);
        if failure.evidence == Evidence::Sent {
            ran = Ran::Unknown;
        }
        let why = format!("the upstream failed: {}", failure.why);
        let refusal = Refusal::new(Reason::UpstreamFailed, why);
        let again = ran == Ran::No || (job.may_repeat() && !out.has_head());
        if !again {
            return Err(refusal.with_ran(ran));
        }
        last = Some(refusal.with_retry_after(Duration::from_secs(1)));
        avoid.push(grant.upstream.id);
    }
    Err(last.unwrap_or_else(dispatch::too_late).with_ran(ran))
}

/// Waits for a place on an upstream.
async fn place(hub: &Hub, job: &Arc<Job>, avoid: &[id::Upstream]) -> Result<Grant, Refusal> {
    let answer = hub.dispatch().submit(job, avoid.to_vec(), Instant::now())?;
    match time::timeout_at(job.deadline, answer).await {
        Ok(Ok(granted)) => granted,
        Ok(Err(_)) | Err(_) => {
            hub.dispatch().cancel(job);
            Err(dispatch::too_late())
        }
    }
}

/// Gives a place back whatever way the attempt ends, also when its task is dropped.
struct Held<'a> {
    hub: &'a Hub,
    job: &'a Job,
    grant: &'a Grant,
    outcome: Outcome,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.hub.dispatch().finished(self.job, self.grant, self.outcome, Instant::now());
    }
}

async fn attempt(hub: &Hub, job: &Job, grant: &Grant, out: &Writer) -> Result<(), Failure> {
    let mut held = Held { hub, job, grant, outcome: Outcome::Cancelled };
    let attempt = hub.random(id::Attempt::random);
    debug!(hub.log, "attempt"; "request" => %job.request, "attempt" => %attempt,
        "upstream" => %grant.upstream.id);
    let order = Order {
        attempt,
        address: grant.upstream.address,
        priority: Priority::of(job.entry.class).get(),
        offset: 0,
        patience: patience(job.entry.class),
        marks: marks(hub),
    };
    let ended = engine::run(&hub.client, job, &order, out).await;
    held.outcome = match &ended {
        Ok(()) => Outcome::Answered,
        Err(failure) if failure.full => Outcome::Full,
        Err(_) => Outcome::Failed,
    };
    ended
}

fn marks(hub: &Hub) -> Vec<(HeaderName, HeaderValue)> {
    let region = HeaderValue::from_str(hub.region().as_str());
    region.into_iter().map(|value| (REGION, value)).collect()
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
