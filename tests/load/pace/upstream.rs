//! Upstreams that are slower for some time: plain ones with a queue, and engines.

use std::collections::VecDeque;
use std::time::Duration;

use fakes::steps::Ask;
use fakes::steps::Settings;
use fakes::steps::Shown;
use fakes::steps::Steps;
use rand::Rng;
use rand::rngs::SmallRng;

/// The slots of a plain upstream, and the requests that may wait there.
pub const PLAIN_SLOTS: usize = 6;
const PLAIN_ROOM: usize = 24;

/// An engine of the first deployment.
pub const ENGINE: Settings = Settings {
    slots: 12,
    memory: 305_617,
    base: 0.00518,
    per_request: 0.00003,
    per_token: 1.0 / 49_600.0,
    chunk: 4096,
    event: 5,
};

/// How much longer work takes in a slow phase, how long that lasts, and the mean time between two.
const SLOW: f64 = 2.5;
const SLOW_SPAN: Duration = Duration::from_millis(600);
const USUAL_SPAN: Duration = Duration::from_millis(3400);

/// How an upstream runs requests.
#[derive(Debug)]
enum Queue {
    /// The work that is left of those which run, in seconds at the usual speed, and those that wait.
    Plain {
        running: Vec<(f64, usize)>,
        waiting: VecDeque<(f64, usize)>,
    },
    Engine(Steps),
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    queue: Queue,
    /// When slow phases begin.
    phases: Vec<Duration>,
}

impl Upstream {
    pub fn plain(phases: Vec<Duration>) -> Self {
        let (running, waiting) = (Vec::new(), VecDeque::new());
        Self { queue: Queue::Plain { running, waiting }, phases }
    }

    pub fn engine(phases: Vec<Duration>) -> Self {
        Self { queue: Queue::Engine(Steps::new(ENGINE)), phases }
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn pace(&self, at: Duration) -> f64 {
        let is_slow = self.phases.iter().any(|from| (*from..*from + SLOW_SPAN).contains(&at));
        if is_slow { SLOW } else { 1.0 }
    }

    /// Returns its running and waiting requests.
    pub fn load(&self) -> (u32, u32) {
        match &self.queue {
            Queue::Plain { running, waiting } => (running.len() as u32, waiting.len() as u32),
            Queue::Engine(steps) => steps.load(),
        }
    }

    /// Offers a request; returns whether it is accepted.
    pub fn offer(&mut self, request: usize, ask: Ask, seconds: f64, at: Duration) -> bool {
        match &mut self.queue {
            Queue::Plain { running, waiting } => {
                if running.len() < PLAIN_SLOTS {
                    running.push((seconds, request));
                } else if waiting.len() < PLAIN_ROOM {
                    waiting.push_back((seconds, request));
                } else {
                    return false;
                }
            }
            Queue::Engine(steps) => steps.take(ask, at.as_secs_f64()),
        }
        true
    }

    /// Goes on until a time; returns the events of requests.
    pub fn advance(&mut self, step: Duration, at: Duration) -> Vec<(usize, Shown)> {
        let pace = self.pace(at);
        match &mut self.queue {
            Queue::Plain { running, waiting } => {
                for (left, _) in running.iter_mut() {
                    *left -= step.as_secs_f64() / pace;
                }
                let ended: Vec<_> = running.extract_if(.., |(left, _)| *left <= 0.0).collect();
                while running.len() < PLAIN_SLOTS
                    && let Some(next) = waiting.pop_front()
                {
                    running.push(next);
                }
                ended.into_iter().map(|(_, request)| (request, Shown::End)).collect()
            }
            Queue::Engine(steps) => {
                steps.set_pace(pace);
                let shown = steps.run(at.as_secs_f64());
                shown.into_iter().map(|(_, id, shown)| (id as usize, shown)).collect()
            }
        }
    }
}

/// Draws when slow phases begin: they are independent of each other and of the load.
pub fn phases(span: Duration, rng: &mut SmallRng) -> Vec<Duration> {
    let mut phases = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += USUAL_SPAN.mul_f64(-(1.0 - rng.random::<f64>()).ln());
        if at > span {
            return phases;
        }
        phases.push(at);
        at += SLOW_SPAN;
    }
}
