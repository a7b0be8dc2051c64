//! Passes on an answer that is too large to be held, as fast as its caller reads it.
//!
//! The answer ends for the caller only once it is complete. One that breaks off, or that is not complete at the deadline,
//! aborts the caller's connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::stream;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Body as _;
use hyper::body::Frame;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::time;
use tokio::time::Instant;

use super::State;
use super::attempt;
use super::attempt::Partial;
use super::attempt::UpstreamStream;
use super::relay::Relay;
use super::state::CountGuard;
use super::stream::next_data;
use crate::http::Body;
use crate::http::body::Broken;

/// Small pieces are joined up to this size in bytes, so that an answer in tiny chunks is passed on in few.
const JOINED_BYTES: usize = 32 << 10;
/// How long a piece waits for others.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// What the caller's side receives. Without an [`End`](Self::End) the answer is not complete.
enum Part {
    Data(Bytes),
    End,
}

/// Why an answer was not passed on completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    CallerLeft,
    Deadline,
    BrokeOff,
}

/// An answer on its way from an upstream to a caller.
pub struct Transfer {
    state: Arc<State>,
    relay: Relay,
    status: StatusCode,
    out: mpsc::Sender<Part>,
    bytes: u64,
    _progress: CountGuard,
}

impl Transfer {
    /// Starts to pass an answer on and returns the body for its caller.
    pub fn start(
        state: Arc<State>,
        relay: Relay,
        status: StatusCode,
        partial: Partial,
        progress: CountGuard,
    ) -> Body {
        let (out, parts) = mpsc::channel(1);
        let transfer = Self { state, relay, status, out, bytes: 0, _progress: progress };
        tokio::spawn(transfer.run(partial));
        into_body(parts)
    }

    async fn run(mut self, partial: Partial) {
        let Partial { begun, mut rest } = partial;
        let deadline = self.relay.job().deadline;
        let passing = time::timeout_at(deadline, self.pass(begun, &mut rest)).await;
        let outcome = match passing.unwrap_or(Err(Failure::Deadline)) {
            Ok(()) => {
                rest.finish_with(&self.state, attempt::outcome_of(self.status));
                "answered"
            }
            Err(failure) => self.give_up(rest, failure),
        };
        let job = self.relay.job();
        self.state.metrics().record_request(outcome);
        info!(self.state.log(), "request.ended"; "request" => &job.call.id, "outcome" => outcome,
            "status" => self.status.as_u16(), "attempts" => self.relay.attempts(),
            "bytes" => self.bytes, "ms" => job.received_at.elapsed().as_millis() as u64);
    }

    async fn pass(&mut self, begun: Vec<Bytes>, rest: &mut UpstreamStream) -> Result<(), Failure> {
        for data in begun {
            self.send(data).await?;
        }
        let mut joined = BytesMut::new();
        let flush = time::sleep(FLUSH_DELAY);
        tokio::pin!(flush);
        loop {
            let next = tokio::select! {
                next = next_data(&mut rest.incoming) => next,
                () = &mut flush, if !joined.is_empty() => {
                    self.send(joined.split().freeze()).await?;
                    continue;
                }
                () = self.out.closed() => return Err(Failure::CallerLeft),
            };
            let Some(data) = next else { break };
            let data = data.map_err(|_| Failure::BrokeOff)?;
            if joined.is_empty() {
                flush.as_mut().reset(Instant::now() + FLUSH_DELAY);
            }
            joined.extend_from_slice(&data);
            // The caller's side is dropped once it has as many bytes as its head states.
            if rest.incoming.is_end_stream() {
                break;
            }
            if joined.len() >= JOINED_BYTES {
                self.send(joined.split().freeze()).await?;
            }
        }
        if !rest.is_whole(&self.state).await {
            return Err(Failure::BrokeOff);
        }
        self.send(joined.freeze()).await?;
        self.out.send(Part::End).await.ok();
        Ok(())
    }

    async fn send(&mut self, data: Bytes) -> Result<(), Failure> {
        if data.is_empty() {
            return Ok(());
        }
        self.bytes += data.len() as u64;
        self.out.send(Part::Data(data)).await.map_err(|_| Failure::CallerLeft)
    }

    /// Cancels the request at the upstream and returns the outcome.
    fn give_up(&self, rest: UpstreamStream, failure: Failure) -> &'static str {
        let job = self.relay.job();
        if failure == Failure::CallerLeft {
            return "abandoned";
        }
        if failure == Failure::Deadline {
            self.state.metrics().record_cut_off("deadline");
        }
        warn!(self.state.log(), "answer.cut_off"; "request" => &job.call.id,
            "target" => ?rest.reservation.target(), "why" => ?failure, "bytes" => self.bytes);
        rest.fail(&self.state, job, failure == Failure::BrokeOff);
        "broken"
    }
}

fn into_body(parts: mpsc::Receiver<Part>) -> Body {
    let frames = stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        match parts.recv().await {
            Some(Part::Data(data)) => Some((Ok(Frame::data(data)), Some(parts))),
            Some(Part::End) => None,
            None => Some((Err(Broken("the answer is not complete".to_owned())), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
