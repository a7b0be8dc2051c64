//! One attempt: a request goes to one upstream or VM, and the head of the answer decides what it is worth.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time;
use tokio::time::Instant;

use super::Hub;
use super::adapter::Answer;
use super::adapter::Instructions;
use super::claim::Claim;
use super::claim::Target;
use super::headers;
use super::relay::Job;
use crate::decide::place::Outcome;
use crate::decide::place::Outlook;
use crate::http::client::Error;
use crate::http::client::Lease;
use crate::id;

/// A region that refuses and tells no outlook has no upstream that could take the request; what it tells counts for
/// seconds, in which others are asked first.
const NO_ROOM: Outlook = Outlook { wait: Duration::from_secs(1), running: 0 };

/// How an attempt ended.
pub enum Ended {
    /// Surely not run.
    NotRun {
        /// Why.
        why: &'static str,
        /// When the other side wants the request back.
        retry_after: Option<Duration>,
        /// How far it came.
        at: NotRunAt,
    },
    /// It may have run, and there is no answer that can be passed on.
    MayHaveRun {
        /// Why.
        why: &'static str,
    },
    /// An upstream's answer.
    Answered(Box<Opened>),
}

/// How far a request came that did not run.
pub enum NotRunAt {
    /// No byte of it left.
    Nowhere,
    /// An upstream refused it.
    Upstream,
    /// A region refused it.
    Region {
        /// Which.
        region: id::Region,
        /// Whether one of its upstreams had it and refused it.
        arrived: bool,
    },
}

/// What holds for one attempt.
pub struct Terms<'a> {
    /// How long the head of the answer is waited for.
    pub patience: Duration,
    /// The last event that the caller has, where the answer is to go on after it.
    pub resume_after: Option<&'a str>,
    /// Whether the request may have arrived at an upstream before.
    pub is_repeat: bool,
}

/// An answer that has begun.
pub struct Opened {
    /// Its head, without what concerns the connection.
    pub head: response::Parts,
    /// Its body.
    pub content: Content,
}

/// The body of an answer.
pub enum Content {
    /// All of it.
    Whole(Bytes),
    /// A stream that goes on.
    Stream(Box<Source>),
}

/// A stream of an upstream.
pub struct Source {
    /// What comes.
    pub incoming: Incoming,
    /// Its place.
    pub claim: Claim,
    lease: Lease,
    idle: Option<Duration>,
    closes: bool,
}

impl Source {
    /// The stream has ended whole: the connection can be used again.
    pub fn finish(self, hub: &Hub) {
        self.claim.end(Outcome::Answered);
        keep(hub, self.lease, self.idle, self.closes);
    }

    /// The stream broke off.
    pub fn fail(self) {
        self.claim.end(Outcome::Failed);
    }
}

/// Makes one attempt, and waits for the head of the answer for so long.
pub async fn run(
    hub: &Hub,
    job: &Job,
    (claim, address): (Claim, SocketAddr),
    terms: &Terms<'_>,
) -> Ended {
    let request = match build(hub, job, claim.target(), terms) {
        Ok(request) => request,
        Err(_) => return not_sent("it can't be written"),
    };
    let sent = time::timeout(terms.patience, hub.client().send(address, request)).await;
    let (response, lease) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(Error::Unsent(_))) => {
            claim.end(Outcome::Unreachable);
            return not_sent("it can't be reached");
        }
        Ok(Err(Error::Lost(_))) => {
            claim.end(Outcome::Failed);
            return Ended::MayHaveRun { why: "the connection broke off" };
        }
        Err(_) => {
            claim.end(Outcome::Failed);
            return Ended::MayHaveRun { why: "no answer began in time" };
        }
    };
    let answer = hub.adapter().answer(response.status(), response.headers());
    judge(hub, job, response, lease, claim, answer).await
}

fn not_sent(why: &'static str) -> Ended {
    Ended::NotRun { why, retry_after: None, at: NotRunAt::Nowhere }
}

fn build(
    hub: &Hub,
    job: &Job,
    target: &Target,
    terms: &Terms<'_>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let call = &job.call;
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.target.as_str())
        .body(Full::new(job.body.clone()))?;
    *request.headers_mut() = call.headers.clone();
    let upstream = match target {
        Target::Upstream(upstream) => Some(upstream),
        Target::Vm(..) => None,
    };
    let left = job.deadline.saturating_duration_since(Instant::now());
    let resume_after = terms.resume_after;
    let organisation = job.caller.name().filter(|_| upstream.is_some());
    let instructions = Instructions { left, upstream, rank: job.rank, organisation, resume_after };
    hub.adapter().instruct(&instructions, request.headers_mut());
    if upstream.is_none() {
        tell_vm(job, terms, request.headers_mut())?;
    }
    Ok(request)
}

/// Tells another VM what only VMs tell each other.
fn tell_vm(job: &Job, terms: &Terms<'_>, told: &mut HeaderMap) -> Result<(), http::Error> {
    if terms.is_repeat {
        told.insert(headers::REPEAT, HeaderValue::from_static("1"));
    }
    if let Some(name) = job.caller.name() {
        told.insert(headers::ORGANISATION, HeaderValue::from_str(name.as_str())?);
    }
    Ok(())
}

/// Decides what an answer is worth by its head, and reads it whole unless it is a stream.
async fn judge(
    hub: &Hub,
    job: &Job,
    response: Response<Incoming>,
    lease: Lease,
    claim: Claim,
    answer: Answer,
) -> Ended {
    match claim.target() {
        Target::Upstream(upstream) => {
            if let Some(load) = answer.load {
                hub.place().record_report(upstream, load, Instant::now());
            }
        }
        Target::Vm(region, _) => note_outlook(hub, region, job, &response),
    }
    // Failure: an answer comes late on a connection that carries another request by now, and a caller reads somebody
    // else's mandates. The echoed id is compared before any byte is passed on.
    if answer.request.as_ref().is_some_and(|id| *id != job.call.id) {
        claim.end(Outcome::Failed);
        return Ended::MayHaveRun { why: "the answer belongs to another request" };
    }
    if answer.is_not_run || is_refusal_of_vm(&claim, &answer, response.status()) {
        let is_gone = answer.is_misdirected;
        let at = match claim.target() {
            Target::Upstream(_) => NotRunAt::Upstream,
            Target::Vm(region, _) => NotRunAt::Region {
                region: region.clone(),
                arrived: response.headers().contains_key(headers::ARRIVED),
            },
        };
        claim.end(if is_gone { Outcome::Unreachable } else { Outcome::Refused });
        reuse_after_body(hub, response, lease, &answer).await;
        return Ended::NotRun { why: "it was refused", retry_after: answer.retry_after, at };
    }
    if !answer.is_receipted {
        claim.end(Outcome::Failed);
        return Ended::MayHaveRun { why: "the answer has no receipt" };
    }
    read(hub, job, response, lease, claim, &answer).await
}

/// Another VM refuses with a status of its own; upstreams' answers that it passes on have a receipt.
fn is_refusal_of_vm(claim: &Claim, answer: &Answer, status: StatusCode) -> bool {
    let is_vm = matches!(claim.target(), Target::Vm(..));
    let promises = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    is_vm && !answer.is_receipted && promises.contains(&status)
}

fn note_outlook(hub: &Hub, region: &id::Region, job: &Job, response: &Response<Incoming>) {
    let refuses = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let outlook = headers::outlook(response.headers()).or(refuses.then_some(NO_ROOM));
    if let Some(outlook) = outlook {
        let about = (job.service.as_str(), job.urgent);
        hub.regions().record_outlook(region, about, outlook, Instant::now());
    }
}

async fn read(
    hub: &Hub,
    job: &Job,
    response: Response<Incoming>,
    lease: Lease,
    mut claim: Claim,
    answer: &Answer,
) -> Ended {
    let (mut head, incoming) = response.into_parts();
    headers::strip(&mut head.headers);
    let (idle, closes) = (answer.idle, answer.closes);
    if job.route.kind.is_stream() && head.status.is_success() {
        let content = Content::Stream(Box::new(Source { incoming, claim, lease, idle, closes }));
        return Ended::Answered(Box::new(Opened { head, content }));
    }
    let whole = time::timeout_at(job.deadline, incoming.collect()).await;
    let Ok(Ok(whole)) = whole else {
        claim.end(Outcome::Failed);
        return Ended::MayHaveRun { why: "the answer broke off" };
    };
    claim.event();
    let is_error = head.status.is_server_error();
    claim.end(if is_error { Outcome::Error } else { Outcome::Answered });
    keep(hub, lease, idle, closes);
    Ended::Answered(Box::new(Opened { head, content: Content::Whole(whole.to_bytes()) }))
}

/// The body of a refusal is short; it is read so that the connection can be used again.
async fn reuse_after_body(hub: &Hub, response: Response<Incoming>, lease: Lease, answer: &Answer) {
    const MOMENT: Duration = Duration::from_millis(20);
    if let Ok(Ok(_)) = time::timeout(MOMENT, response.into_body().collect()).await {
        keep(hub, lease, answer.idle, answer.closes);
    }
}

fn keep(hub: &Hub, lease: Lease, idle: Option<Duration>, closes: bool) {
    if !closes {
        hub.client().keep_for(lease, idle.unwrap_or(Duration::MAX));
    }
}
