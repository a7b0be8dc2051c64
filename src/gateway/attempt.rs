//! Sends a request once to an upstream or VM and classifies the response by its head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use super::State;
use super::adapter::AttemptMeta;
use super::adapter::ResponseMeta;
use super::crashes;
use super::headers;
use super::relay::Job;
use super::reservation::Reservation;
use super::reservation::Target;
use super::stream::next_data;
use crate::decide::place::Outcome;
use crate::decide::place::Outlook;
use crate::http::answer::is_framed;
use crate::http::client::Error;
use crate::http::client::Lease;
use crate::id;

/// Assumed for a region that refuses without reporting an outlook, so that other regions are
/// preferred for the next seconds.
const REJECTED_OUTLOOK: Outlook =
    Outlook { wait: Duration::from_secs(1), running: 0, room: Some(0) };

/// The part of an answer, in bytes, that is held until the answer is complete. An answer that breaks off before can be
/// replaced by another attempt's.
const MAX_HELD_BYTES: usize = 1 << 20;

/// The result of an attempt.
pub enum AttemptResult {
    /// The request was not executed and may be retried.
    NotExecuted {
        /// The cause, for the log.
        reason: &'static str,
        /// The delay before a retry that the other side asked for.
        retry_after: Option<Duration>,
        /// How far the request got.
        stage: Stage,
    },
    /// The request may have been executed, but no usable response was received.
    Indeterminate {
        /// The cause, for the log and the refusal.
        reason: &'static str,
    },
    /// A response from an upstream.
    Response(Box<OpenResponse>),
}

/// How far a request got that was not executed.
pub enum Stage {
    /// Nothing was sent.
    NotSent,
    /// An upstream refused it.
    Upstream,
    /// A VM of another region refused it.
    Region {
        /// The region.
        region: id::Region,
        /// Whether it had reached an upstream of that region.
        reached_upstream: bool,
    },
}

/// Options of one attempt.
pub struct Options<'a> {
    /// Timeout for the head of the response.
    pub response_timeout: Duration,
    /// The id of the last event delivered, when a stream is resumed.
    pub resume_after: Option<&'a str>,
    /// Whether the request may have reached an upstream before.
    pub is_retry: bool,
    /// Whether the VM that it is forwarded to counts it for the retry budget.
    pub is_counted_by_receiver: bool,
}

/// A response whose head has been received.
pub struct OpenResponse {
    /// The head, without hop-by-hop headers.
    pub head: response::Parts,
    /// The body.
    pub body: ResponseBody,
}

/// The body of a response.
pub enum ResponseBody {
    /// A complete body.
    Buffered(Bytes),
    /// A body that is too large to be held: its beginning, and the rest as it arrives.
    Partial(Box<Partial>),
    /// A body that is streamed.
    Streaming(Box<UpstreamStream>),
}

/// The body of an answer that is passed on before it is complete.
pub struct Partial {
    /// What has been read.
    pub begun: Vec<Bytes>,
    /// The rest.
    pub rest: UpstreamStream,
}

/// A response body streamed by an upstream.
pub struct UpstreamStream {
    /// The unread part of the body.
    pub incoming: Incoming,
    /// The capacity reserved for the request.
    pub reservation: Reservation,
    /// When the request was sent.
    pub started: Instant,
    lease: Lease,
    idle_timeout: Option<Duration>,
    closes_connection: bool,
    /// Whether the answer states its length or comes in chunks, so that its end is known.
    is_framed: bool,
}

impl UpstreamStream {
    /// Whether the answer that has ended is whole, as far as can be known.
    pub async fn is_whole(&self, state: &State) -> bool {
        self.is_framed || self.lease.has_written() && is_alive(state, &self.reservation).await
    }

    /// Ends a complete stream and returns its connection to the pool.
    pub fn finish(self, state: &State) {
        self.finish_with(state, Outcome::Answered);
    }

    /// The same with an outcome.
    pub fn finish_with(self, state: &State, outcome: Outcome) {
        self.reservation.complete(outcome);
        release(state, self.lease, self.idle_timeout, self.closes_connection);
    }

    /// Ends a failed stream; its connection is dropped.
    pub fn fail(self, state: &Arc<State>, job: &Job, is_lost: bool) {
        if is_lost {
            record_run_end(state, job, &self.reservation, self.started, End::BrokeOff);
        }
        self.reservation.complete(Outcome::Failed);
    }
}

/// Sends the request and waits for the head of the response.
pub async fn run(
    state: &Arc<State>,
    job: &Job,
    (reservation, address): (Reservation, SocketAddr),
    options: &Options<'_>,
) -> AttemptResult {
    let request = match build(job, reservation.target(), options) {
        Ok(request) => request,
        Err(_) => return not_sent("the request headers can't be encoded"),
    };
    let started = Instant::now();
    let instruct = |request: &mut Request<Full<Bytes>>| {
        let meta = describe(job, reservation.target(), started, options);
        state.adapter().encode_attempt(&meta, request.headers_mut());
    };
    let sending = state.client().send_prepared(address, request, instruct);
    let sent = state.timeout(options.response_timeout, sending).await;
    let (response, lease) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(Error::Unsent(_))) => {
            record_no_answer(state, &reservation);
            reservation.complete(Outcome::Unreachable);
            return not_sent("the connection could not be established");
        }
        Ok(Err(Error::Lost(_))) => {
            record_run_end(state, job, &reservation, started, End::BrokeOff);
            reservation.complete(Outcome::Failed);
            return AttemptResult::Indeterminate { reason: "the connection broke off" };
        }
        Ok(Err(Error::Invalid(why))) => {
            warn!(state.log(), "answer.invalid"; "request" => &job.call.id,
                "target" => ?reservation.target(), "why" => why);
            record_run_end(state, job, &reservation, started, End::BrokeOff);
            reservation.complete(Outcome::Failed);
            return AttemptResult::Indeterminate { reason: "what came is no answer" };
        }
        Ok(Err(Error::HeadTooLarge(why))) => {
            warn!(state.log(), "answer.cut_off"; "request" => &job.call.id,
                "target" => ?reservation.target(), "why" => why);
            state.metrics().record_cut_off("head");
            reservation.complete(Outcome::Failed);
            return AttemptResult::Indeterminate { reason: "the head of the answer is too large" };
        }
        Err(_) => {
            record_run_end(state, job, &reservation, started, End::Late);
            reservation.complete(Outcome::Unanswered);
            return AttemptResult::Indeterminate { reason: "no answer began in time" };
        }
    };
    let meta = state.adapter().decode_response(response.status(), response.headers());
    classify(state, job, response, lease, (reservation, started), meta).await
}

/// Whether the upstream that an answer without a length came from still accepts connections.
///
/// A crash between two events looks like the end of such an answer.
async fn is_alive(state: &State, reservation: &Reservation) -> bool {
    match reservation.target() {
        Target::Upstream(upstream) => !crashes::refuses_connections(state, upstream).await,
        Target::Vm(..) => true,
    }
}

/// How a run ended that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The connection broke off.
    BrokeOff,
    /// No answer began in time.
    Late,
}

/// Records that a request had no answer, which may be due to this VM's path to the upstream.
fn record_no_answer(state: &State, reservation: &Reservation) {
    if let Target::Upstream(upstream) = reservation.target() {
        state.record_no_answer(upstream);
    }
}

/// Records how a run ended that was not answered.
fn record_run_end(
    state: &Arc<State>,
    job: &Job,
    reservation: &Reservation,
    started: Instant,
    end: End,
) {
    let Target::Upstream(upstream) = reservation.target() else { return };
    info!(state.log(), "run.ended"; "request" => &job.call.id, "end" => ?end,
        "upstream" => %upstream, "born" => state.upstream_born(upstream),
        "ran_ms" => started.elapsed().as_millis() as u64);
    record_no_answer(state, reservation);
    if end == End::BrokeOff {
        crashes::record_break(state, job, upstream, started);
    }
}

fn not_sent(reason: &'static str) -> AttemptResult {
    AttemptResult::NotExecuted { reason, retry_after: None, stage: Stage::NotSent }
}

fn build(
    job: &Job,
    target: &Target,
    options: &Options<'_>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let call = &job.call;
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.target.as_str())
        .body(Full::new(job.body.clone()))?;
    *request.headers_mut() = call.headers.clone();
    if matches!(target, Target::Vm(..)) {
        add_forwarding_headers(job, options, request.headers_mut())?;
    }
    Ok(request)
}

/// What the upstream or VM is told of an attempt that started at that time.
fn describe<'a>(
    job: &'a Job,
    target: &'a Target,
    started: Instant,
    options: &Options<'a>,
) -> AttemptMeta<'a> {
    let upstream = match target {
        Target::Upstream(upstream) => Some(upstream),
        Target::Vm(..) => None,
    };
    // A stream goes on after its head; any other run is of no use once this attempt is given up.
    let until = match job.route.kind.is_stream() {
        true => job.deadline,
        false => job.deadline.min(started + options.response_timeout),
    };
    AttemptMeta {
        remaining: until.saturating_duration_since(Instant::now()),
        upstream,
        rank: job.rank,
        organisation: job.caller.name().filter(|_| upstream.is_some()),
        resume_after: options.resume_after,
    }
}

/// Adds the headers that are exchanged between VMs only.
fn add_forwarding_headers(
    job: &Job,
    options: &Options<'_>,
    headers: &mut HeaderMap,
) -> Result<(), http::Error> {
    if options.is_retry {
        headers.insert(headers::RETRY, HeaderValue::from_static("1"));
    }
    if options.is_counted_by_receiver {
        headers.insert(headers::COUNTED_BY_RECEIVER, HeaderValue::from_static("1"));
    }
    if let Some(name) = job.caller.name() {
        headers.insert(headers::ORGANISATION, HeaderValue::from_str(name.as_str())?);
    }
    Ok(())
}

/// Classifies a response by its head and buffers its body unless it is streamed.
async fn classify(
    state: &Arc<State>,
    job: &Job,
    response: Response<Incoming>,
    lease: Lease,
    (reservation, started): (Reservation, Instant),
    meta: ResponseMeta,
) -> AttemptResult {
    match reservation.target() {
        Target::Upstream(upstream) => {
            if let Some(load) = meta.load {
                state.place().record_report(upstream, load, Instant::now());
            }
        }
        Target::Vm(region, _) if *region == state.node().region => (),
        Target::Vm(region, _) => record_outlook(state, region, job, &response),
    }
    // Guards against a late response on a reused connection, which would deliver another caller's
    // data.
    if meta.request_id.as_ref().is_some_and(|id| *id != job.call.id) {
        reservation.complete(Outcome::Failed);
        return AttemptResult::Indeterminate { reason: "the answer belongs to another request" };
    }
    // A different upstream that has taken over the address speaks for itself, not for this one.
    if !meta.is_misdirected && (meta.has_receipt || meta.is_not_executed) {
        reservation.record_feedback(&meta.feedback);
    }
    if !meta.is_misdirected
        && meta.is_not_executed
        && response.status() == StatusCode::SERVICE_UNAVAILABLE
        && let Some(load) = meta.load
    {
        reservation.record_rejection(load);
    }
    if meta.is_not_executed || is_vm_refusal(&reservation, &meta, response.status()) {
        let is_misdirected = meta.is_misdirected;
        let stage = match reservation.target() {
            Target::Upstream(_) => {
                if !is_misdirected {
                    state.metrics().record_refusal();
                }
                Stage::Upstream
            }
            Target::Vm(region, _) => {
                if *region != state.node().region {
                    state.metrics().record_forward("rejected");
                }
                Stage::Region {
                    region: region.clone(),
                    reached_upstream: response.headers().contains_key(headers::REACHED_UPSTREAM),
                }
            }
        };
        reservation.complete(if is_misdirected { Outcome::Unreachable } else { Outcome::Refused });
        drain_refusal_body(state, response, lease, &meta).await;
        return AttemptResult::NotExecuted {
            reason: "it was refused",
            retry_after: meta.retry_after,
            stage,
        };
    }
    if !meta.has_receipt {
        reservation.complete(Outcome::Failed);
        return AttemptResult::Indeterminate { reason: "the answer has no receipt" };
    }
    read_body(state, job, response, lease, (reservation, started), &meta).await
}

/// A VM's own refusal has no receipt; a forwarded response of an upstream has one.
fn is_vm_refusal(reservation: &Reservation, meta: &ResponseMeta, status: StatusCode) -> bool {
    let is_vm = matches!(reservation.target(), Target::Vm(..));
    let refusals = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    is_vm && !meta.has_receipt && refusals.contains(&status)
}

fn record_outlook(state: &State, region: &id::Region, job: &Job, response: &Response<Incoming>) {
    let refuses = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let outlook =
        headers::parse_outlook(response.headers()).or(refuses.then_some(REJECTED_OUTLOOK));
    if let Some(outlook) = outlook {
        let about = (job.service.as_str(), job.urgent);
        state.regions().record_outlook(region, about, outlook, Instant::now());
    }
}

async fn read_body(
    state: &Arc<State>,
    job: &Job,
    response: Response<Incoming>,
    lease: Lease,
    (reservation, started): (Reservation, Instant),
    meta: &ResponseMeta,
) -> AttemptResult {
    let is_framed = is_framed(&response);
    let (mut head, incoming) = response.into_parts();
    headers::strip_hop_by_hop(&mut head.headers);
    let (idle_timeout, closes_connection) = (meta.idle_timeout, meta.closes_connection);
    let mut stream = UpstreamStream {
        incoming,
        reservation,
        started,
        lease,
        idle_timeout,
        closes_connection,
        is_framed,
    };
    if job.route.kind.is_stream() && head.status.is_success() {
        let body = ResponseBody::Streaming(Box::new(stream));
        return AttemptResult::Response(Box::new(OpenResponse { head, body }));
    }
    let read = time::timeout_at(job.deadline, hold(state, &mut stream.incoming)).await;
    let body = match read {
        Ok(Ok(Held::Complete(bytes))) if stream.is_whole(state).await => {
            stream.reservation.record_event();
            stream.finish_with(state, outcome_of(head.status));
            ResponseBody::Buffered(bytes)
        }
        Ok(Ok(Held::Begun(begun))) => {
            state.metrics().record_passed_on();
            info!(state.log(), "answer.passed_on"; "request" => &job.call.id,
                "target" => ?stream.reservation.target(), "status" => head.status.as_u16());
            stream.reservation.record_event();
            ResponseBody::Partial(Box::new(Partial { begun, rest: stream }))
        }
        _ => {
            stream.fail(state, job, true);
            return AttemptResult::Indeterminate { reason: "the answer broke off" };
        }
    };
    AttemptResult::Response(Box::new(OpenResponse { head, body }))
}

/// The outcome of an upstream's complete answer.
pub fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() { Outcome::Error } else { Outcome::Answered }
}

/// The beginning of an answer, or all of it.
enum Held {
    Complete(Bytes),
    Begun(Vec<Bytes>),
}

/// Reads an answer as far as it is held: up to [`MAX_HELD_BYTES`], or while there is memory.
async fn hold(state: &State, incoming: &mut Incoming) -> Result<Held, hyper::Error> {
    let mut reservation = state.memory().reservation();
    let mut bytes = BytesMut::new();
    while let Some(data) = next_data(incoming).await {
        let data = data?;
        let length = bytes.len() + data.len();
        if length > MAX_HELD_BYTES || !reservation.grow_to(length.next_power_of_two()) {
            return Ok(Held::Begun(vec![reservation.attach(bytes.freeze()), data]));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Held::Complete(reservation.attach(bytes.freeze())))
}

/// Reads the short body of a refusal so that the connection can be reused.
async fn drain_refusal_body(
    state: &State,
    response: Response<Incoming>,
    lease: Lease,
    meta: &ResponseMeta,
) {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
    const MAX_REFUSAL_BYTES: usize = 16 << 10;
    let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES);
    if let Ok(Ok(_)) = time::timeout(DRAIN_TIMEOUT, body.collect()).await {
        release(state, lease, meta.idle_timeout, meta.closes_connection);
    }
}

fn release(state: &State, lease: Lease, idle_timeout: Option<Duration>, closes_connection: bool) {
    if !closes_connection {
        state.client().keep_for(lease, idle_timeout.unwrap_or(Duration::MAX));
    }
}
