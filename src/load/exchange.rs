//! One attempt of a caller: a request to one VM, redirects followed, and what came of it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time;
use tokio::time::Instant;

use crate::http::client::Client;
use crate::http::client::Lease;
use crate::http::refusal::Problem;
use crate::id;
use crate::load::question::Question;
use crate::load::stream;
use crate::load::stream::Event;
use crate::load::stream::Events;

/// Redirects that a caller follows; one leads home.
const REDIRECTS: usize = 3;
/// Names the region that an answer comes from.
const REGION: &str = "mastic-region";

/// What came of an attempt.
#[derive(Debug)]
pub enum Ended {
    /// A whole answer.
    Whole(Answer),
    /// A refusal.
    Refused(Box<Problem>),
    /// No whole answer and no refusal: the VM or the connection was lost.
    Lost,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its text.
    pub text: String,
    /// When its first piece came.
    pub first: Instant,
    /// Times between its pieces.
    pub gaps: Vec<Duration>,
    /// The region that it comes from.
    pub region: Option<id::Region>,
}

/// Sends a question to a VM and reads what comes, until `limit` at the latest.
pub async fn ask(client: &Client, vm: SocketAddr, question: &Question, limit: Instant) -> Ended {
    let attempt = follow(client, vm, question);
    time::timeout_at(limit, attempt).await.ok().flatten().unwrap_or(Ended::Lost)
}

async fn follow(client: &Client, mut vm: SocketAddr, question: &Question) -> Option<Ended> {
    let mut target: Option<String> = None;
    for _ in 0..=REDIRECTS {
        let request: Request<Full<Bytes>> =
            question.request(&vm.to_string(), target.as_deref()).ok()?;
        let (response, lease) = client.send(vm, request).await.ok()?;
        if response.status() != StatusCode::TEMPORARY_REDIRECT {
            return read(client, question, response, lease).await;
        }
        let location = response.headers().get(header::LOCATION)?.to_str().ok()?.to_owned();
        let rest = location.strip_prefix("http://")?;
        let (host, path) = rest.split_once('/')?;
        vm = host.parse().ok()?;
        target = Some(format!("/{path}"));
    }
    None
}

async fn read(
    client: &Client,
    question: &Question,
    response: Response<Incoming>,
    lease: Lease,
) -> Option<Ended> {
    let (status, headers) = (response.status(), response.headers().clone());
    let region = headers.get(REGION).and_then(|value| value.to_str().ok()?.parse().ok());
    if status.is_success() && question.stream && is_stream(&headers) {
        return events(client, response, lease, region).await;
    }
    let body = response.into_body().collect().await.ok()?.to_bytes();
    client.keep(lease);
    if !status.is_success() {
        let problem: Problem = serde_json::from_slice(&body).ok()?;
        return Some(Ended::Refused(Box::new(problem)));
    }
    let value: Value = serde_json::from_slice(&body).ok()?;
    let text = stream::text(&value)?;
    Some(Ended::Whole(Answer { text, first: Instant::now(), gaps: Vec::new(), region }))
}

fn is_stream(headers: &http::HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// Reads a stream to its end; it is whole only with its last event.
async fn events(
    client: &Client,
    mut response: Response<Incoming>,
    lease: Lease,
    region: Option<id::Region>,
) -> Option<Ended> {
    let mut events = Events::default();
    let mut text = String::new();
    let mut first = None;
    let mut last = Instant::now();
    let mut gaps = Vec::new();
    while let Some(frame) = response.body_mut().frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        events.push(&data);
        while let Some(event) = events.next_event() {
            let now = Instant::now();
            match event {
                Event::Piece(piece) => {
                    match first {
                        Some(_) => gaps.push(now - last),
                        None => first = Some(now),
                    }
                    last = now;
                    text.push_str(&piece);
                }
                Event::Done => {
                    // What follows is the end of the body, after which the connection can be used again.
                    if response.body_mut().frame().await.is_none() {
                        client.keep(lease);
                    }
                    let first = first.unwrap_or(now);
                    return Some(Ended::Whole(Answer { text, first, gaps, region }));
                }
                Event::Error(problem) => return problem.map(Ended::Refused),
            }
        }
    }
    None
}
