//! How long a model engine takes for a whole answer, learned from what its streams show.
//!
//! **Load pattern.** An engine makes a token for each request that runs there in every step, and reads prompts between
//! the steps. A step gets longer with each request that runs and with each prompt that is read, so an answer in an engine
//! that runs 128 requests takes three times as long as in one that runs 15, though both begin it at once.
//!
//! **Without it.** Judged by the first event alone, two engines are equal until one of them has no slot left. Engines of
//! one region run 130 requests beside neighbours with four; long answers outlive their callers, and all that run there
//! are lost with it when it fails.
//!
//! **What is learned.** Two lines for each service: the time to the first event against the tokens to be read before it,
//! and the pause between events, as it is while no prompt is read, against the requests that run. Both are fitted through
//! running quantiles, so that a stalled stream or a wrong load report moves neither. [`Length`] tells how many events an answer
//! will have.

mod length;
mod line;
mod quantile;

use std::time::Duration;

pub use length::Length;
pub use length::Output;
pub use line::Fit;
pub use line::Line;
pub use quantile::Quantile;

/// The first guess: an idle engine begins after 50 ms and reads 50 tokens a millisecond. It is wrong by a factor of four
/// for some engines, and stands for the first seconds only.
const FIRST: Fit = Fit { base: 0.05, slope: 1.0 / 50_000.0 };

/// The first guess of the pause between events: 40 ms alone, doubled by sixty requests beside.
const PAUSE: Fit = Fit { base: 0.04, slope: 0.04 / 60.0 };

/// The share of pauses that lie below the line for them. A prompt that is read makes a step longer, and more of them are read
/// where more run: through the middle of the pauses, a running request would seem to add more than it does. A quarter of the
/// pauses have no reading in them even in an engine that reads for half of its time.
const UNDISTURBED: f64 = 0.25;

/// The engines of one service, as far as they are alike.
#[derive(Debug, Clone)]
pub struct Engine {
    first: Line,
    pause: Line,
}

impl Default for Engine {
    fn default() -> Self {
        Self { first: Line::new(FIRST, 0.5), pause: Line::new(PAUSE, UNDISTURBED) }
    }
}

impl Engine {
    /// A first event came after that time, with so many tokens to be read before it.
    pub fn began(&mut self, tokens: f64, took: Duration) {
        self.first.add(tokens, took.as_secs_f64());
    }

    /// Events of a stream came that far apart while so many requests ran.
    pub fn paced(&mut self, running: f64, pause: Duration) {
        self.pause.add(running, pause.as_secs_f64());
    }

    /// What was learned so far.
    pub fn speed(&self) -> Speed {
        Speed { first: self.first.fit(), pause: self.pause.fit() }
    }
}

/// How fast an engine is, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    first: Fit,
    pause: Fit,
}

impl Speed {
    /// From arrival to the first event, with so many tokens to be read before it.
    pub fn first(&self, tokens: f64) -> f64 {
        self.first.at(tokens)
    }

    /// The part of that which reading takes.
    pub fn reading(&self, tokens: f64) -> f64 {
        self.first.slope * tokens
    }

    /// The pause between events beside so many running requests while no prompt is read.
    pub fn pause(&self, running: f64) -> f64 {
        self.pause.at(running)
    }

    /// How much longer one more running request makes each pause of all others.
    pub const fn pause_per_request(&self) -> f64 {
        self.pause.slope
    }
}

#[cfg(test)]
mod tests;
