//! Streams a response to the caller in complete events, and resumes it at another upstream after a
//! failure.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use super::State;
use super::attempt::ResponseBody;
use super::attempt::UpstreamStream;
use super::events;
use super::events::EventBuffer;
use super::relay::Relay;
use super::state::CountGuard;
use crate::http::Body;
use crate::http::body::Broken;

/// A response that is streamed to a caller.
pub struct Stream {
    state: Arc<State>,
    relay: Relay,
    source: Option<UpstreamStream>,
    events: EventBuffer,
    /// The event after which the new upstream must resume.
    resumed_after: Option<String>,
    event_count: u64,
    outcome: &'static str,
    _progress: CountGuard,
}

/// The result of a read.
enum Next {
    Events(Bytes),
    End,
    Broken {
        reason: &'static str,
        /// Whether the connection broke off.
        is_lost: bool,
    },
}

impl Stream {
    /// Creates a stream whose response head has been sent.
    pub fn new(
        state: Arc<State>,
        relay: Relay,
        source: UpstreamStream,
        progress: CountGuard,
    ) -> Self {
        let events = EventBuffer::new(state.memory().reservation());
        Self {
            state,
            relay,
            source: Some(source),
            events,
            resumed_after: None,
            event_count: 0,
            // Remains if the caller disconnects and the stream is dropped.
            outcome: "abandoned",
            _progress: progress,
        }
    }

    /// Converts the stream to a response body.
    pub fn into_body(self) -> Body {
        let frames = futures::stream::unfold(self, |mut stream| async move {
            let frame = stream.next().await?;
            Some((frame.map(Frame::data), stream))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next complete events, or none at the end. An error aborts the connection, so
    /// that the caller can tell a truncated stream from a complete one.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            // Without a source the stream has ended or failed.
            self.source.as_ref()?;
            match self.read().await {
                Next::Events(bytes) if bytes.is_empty() => (),
                Next::Events(bytes) => return Some(Ok(bytes)),
                Next::End => {
                    self.outcome = "answered";
                    if let Some(source) = self.source.take() {
                        source.finish(&self.state);
                    }
                    return None;
                }
                Next::Broken { reason, is_lost } => {
                    if let Err(reason) = self.fail_over(reason, is_lost).await {
                        self.outcome = "broken";
                        return Some(Err(Broken(reason.to_owned())));
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Next {
        let deadline = self.relay.job().deadline;
        let Some(source) = &mut self.source else { return Next::End };
        let frame = time::timeout_at(deadline, next_data(&mut source.incoming)).await;
        let bytes = match frame {
            Err(_) => return broken("the request deadline has passed", false),
            Ok(Some(Err(_))) => return broken("the connection broke off", true),
            Ok(Some(Ok(bytes))) => bytes,
            Ok(None) if self.events.has_partial() => {
                return broken("the stream ended within an event", true);
            }
            Ok(None) if source.is_whole(&self.state).await => return Next::End,
            Ok(None) => return broken("the upstream crashed as the stream ended", true),
        };
        let whole = match self.events.push(bytes) {
            Ok(whole) => whole,
            Err(error) => return self.cut_off(error),
        };
        if whole.is_empty() {
            return Next::Events(whole);
        }
        source.reservation.record_event();
        self.event_count += 1;
        if let Some(after) = self.resumed_after.take()
            && !follows(&after, &whole)
        {
            return broken("the resumed stream does not continue after the last event", false);
        }
        Next::Events(whole)
    }

    /// Ends the answer of an upstream whose events exceed a limit.
    fn cut_off(&self, error: events::Error) -> Next {
        let (limit, reason) = match error {
            events::Error::TooLong => ("event", "an event exceeds the size limit"),
            events::Error::NoMemory(_) => ("memory", "there is no memory for an event at present"),
        };
        self.state.metrics().record_cut_off(limit);
        let target = self.source.as_ref().map(|source| source.reservation.target());
        warn!(self.state.log(), "answer.cut_off"; "request" => &self.relay.job().call.id,
            "target" => ?target, "why" => %error);
        broken(reason, false)
    }

    /// Resumes the stream at another upstream if the route allows it.
    async fn fail_over(&mut self, reason: &'static str, is_lost: bool) -> Result<(), &'static str> {
        self.relay.record_stream_failure(reason);
        // Closing the connection cancels the request at the upstream.
        if let Some(source) = self.source.take() {
            source.fail(&self.state, self.relay.job(), is_lost);
        }
        let job = self.relay.job();
        if !job.route.kind.is_repeatable() || Instant::now() >= job.deadline {
            return Err(reason);
        }
        self.events.discard_partial();
        let last_id = self.events.last_id().map(str::to_owned);
        let opened = self.relay.open(last_id.as_deref()).await.map_err(|_| reason)?;
        let ResponseBody::Streaming(source) = opened.body else { return Err(reason) };
        self.source = Some(*source);
        self.resumed_after = last_id;
        Ok(())
    }
}

fn broken(reason: &'static str, is_lost: bool) -> Next {
    Next::Broken { reason, is_lost }
}

/// Returns the next data frame of a body and skips trailers.
pub async fn next_data(incoming: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match incoming.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}

/// Whether the first event directly follows the given one. Ids that are not numbers are not
/// checked.
fn follows(after: &str, whole: &[u8]) -> bool {
    let first = events::first_id(whole).and_then(|id| id.parse::<u64>().ok());
    match (after.parse::<u64>(), first) {
        (Ok(after), Some(first)) => first == after + 1,
        _ => true,
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let job = self.relay.job();
        self.state.metrics().record_request(self.outcome);
        info!(self.state.log(), "request.ended"; "request" => &job.call.id, "outcome" => self.outcome,
            "attempts" => self.relay.attempts(), "events" => self.event_count,
            "last" => self.events.last_id(),
            "ms" => job.received_at.elapsed().as_millis() as u64);
    }
}
