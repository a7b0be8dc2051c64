//! An upstream that crashes if it has to refuse more requests a second than it states.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Requests that run concurrently.
pub const SLOTS: usize = 8;
/// The duration of a request, in milliseconds.
const SERVICE_MS: std::ops::Range<u64> = 200..600;
/// The mean duration of a request.
pub const SERVICE_TIME: Duration = Duration::from_millis(400);
/// How long an upstream that has crashed is down.
pub const DOWN_TIME: Duration = Duration::from_secs(3);
/// The window in which refusals are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What an upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs or waits.
    Accepted,
    /// It is refused.
    Refused,
    /// It is refused, and the upstream crashes.
    Crashed,
    /// Nothing listens.
    Down,
}

/// One upstream.
#[derive(Debug, Default)]
pub struct Upstream {
    /// Its starts so far.
    pub incarnation: u64,
    /// Requests that run, and when each ends.
    running: Vec<(Duration, usize)>,
    waiting: VecDeque<usize>,
    refused: VecDeque<Duration>,
    /// When it is back.
    pub down_until: Option<Duration>,
    /// When it crashed for its refusals.
    pub crashes: Vec<Duration>,
}

impl Upstream {
    /// Offers a request. `room` is the number of requests that may wait, `limit` that of refusals within a second.
    pub fn offer(
        &mut self,
        request: usize,
        at: Duration,
        (room, limit): (usize, Option<f64>),
        rng: &mut SmallRng,
    ) -> Admission {
        if self.down_until.is_some() {
            return Admission::Down;
        }
        if self.running.len() < SLOTS {
            self.run(request, at, rng);
            return Admission::Accepted;
        }
        if self.waiting.len() < room {
            self.waiting.push_back(request);
            return Admission::Accepted;
        }
        self.refused.push_back(at);
        self.refused.retain(|earlier| *earlier + WINDOW > at);
        if limit.is_some_and(|limit| self.refused.len() as f64 > limit) {
            self.crashes.push(at);
            return Admission::Crashed;
        }
        Admission::Refused
    }

    fn run(&mut self, request: usize, at: Duration, rng: &mut SmallRng) {
        let ends = at + Duration::from_millis(rng.random_range(SERVICE_MS));
        self.running.push((ends, request));
    }

    /// Ends it; returns the requests that it held.
    pub fn crash(&mut self, at: Duration) -> Vec<usize> {
        self.down_until = Some(at + DOWN_TIME);
        self.refused.clear();
        let running = std::mem::take(&mut self.running);
        running.into_iter().map(|(_, request)| request).chain(self.waiting.drain(..)).collect()
    }

    /// Drops all requests, as those of callers that are gone.
    pub fn drop_requests(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    /// Returns the requests that have ended by now, and starts those that wait.
    pub fn advance(&mut self, at: Duration, rng: &mut SmallRng) -> Vec<usize> {
        let ended: Vec<(Duration, usize)> =
            self.running.extract_if(.., |(ends, _)| *ends <= at).collect();
        while self.running.len() < SLOTS
            && let Some(request) = self.waiting.pop_front()
        {
            self.run(request, at, rng);
        }
        ended.into_iter().map(|(_, request)| request).collect()
    }
}
