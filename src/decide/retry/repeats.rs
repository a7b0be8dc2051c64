//! How many requests may be sent to a service a second time, over a sliding window.
//!
//! Load pattern: all upstreams of a service fail a share of their requests for some seconds, under full load, and each of
//! many VMs sends what failed once more. Without a bound the service gets up to twice its load just then.
//!
//! The bound holds for all VMs together. Each one keeps to its part without asking: of the share that goes with the
//! requests, what its own requests earn; of the fixed number, one part in so many VMs. So no message is needed, and a
//! VM that is cut off keeps the bound as well.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The part of the bound that is used: windows of different VMs don't begin at the same moment, and VMs come and go.
const USED: f64 = 0.8;

/// The window is counted in so many steps.
const STEPS: u32 = 10;

/// The bound for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Repeats for each first request within the window.
    pub ratio: f64,
    /// Repeats within any window besides, over all VMs.
    pub least: f64,
    /// The window.
    pub window: Duration,
}

/// First requests and repeats of one step.
#[derive(Debug, Clone, Copy)]
struct Step {
    begun: Instant,
    firsts: u32,
    repeats: u32,
}

/// This VM's part of the repeats to one service.
#[derive(Debug)]
pub struct Repeats {
    bound: Bound,
    steps: VecDeque<Step>,
}

impl Repeats {
    /// No request yet.
    pub fn new(bound: Bound) -> Self {
        Self { bound, steps: VecDeque::new() }
    }

    /// A request is sent for the first time.
    pub fn first(&mut self, now: Instant) {
        self.step(now).firsts += 1;
    }

    /// Whether a request may be sent once more, where so many VMs share the bound; it is counted if so.
    pub fn take(&mut self, vms: u32, now: Instant) -> bool {
        self.step(now);
        let (firsts, repeats) = self
            .steps
            .iter()
            .fold((0, 0), |(firsts, repeats), step| (firsts + step.firsts, repeats + step.repeats));
        let earned = self.bound.ratio * f64::from(firsts);
        let allowed = USED * (earned + self.bound.least / f64::from(vms.max(1)));
        let may = f64::from(repeats + 1) <= allowed;
        if may {
            self.step(now).repeats += 1;
        }
        may
    }

    /// The step that counts now; what has left the window is forgotten.
    fn step(&mut self, now: Instant) -> &mut Step {
        let length = self.bound.window / STEPS;
        let age = |step: &Step| now.saturating_duration_since(step.begun);
        while self.steps.front().is_some_and(|step| age(step) > self.bound.window) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| age(step) >= length) {
            self.steps.push_back(Step { begun: now, firsts: 0, repeats: 0 });
        }
        self.steps.back_mut().expect("a step was just pushed where there was none")
    }
}
