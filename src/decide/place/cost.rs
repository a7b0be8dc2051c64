//! What it costs all callers that a request runs at an engine.
//!
//! **Load pattern.** Streams fill the engines of the regions at their peak, while others idle; beside them prompts are
//! read that make each step of all streams longer.
//!
//! **Without it.** A request is sent where it begins soonest. That is the same at an engine that runs 130 requests and at
//! one that runs four, though in the first its answer takes four times as long, and each stream beside it gets longer.
//!
//! **One measure.** All is counted as time that requests are in flight: the own request's to its end, and what it adds to
//! those that run beside it. A request in flight is lost when its engine, its VM or the line to its caller fails, and the
//! sooner the longer it is in flight. So the time is what callers lose, and an answer that would not come at all weighs as
//! the time in which it would be lost surely.

use std::time::Duration;

use super::model::Usual;

/// The weight of an answer that is lost, as time in flight.
pub const LOST: Duration = Duration::from_secs(20);

/// The weight of a refusal where engines are busy, whose caller comes back.
const REFUSED: Duration = Duration::from_secs(4);

/// Engines are busy while this share of their slots is taken. The fewer are, the more a refusal weighs: where they idle, as
/// much as a lost answer.
const BUSY: f64 = 0.5;

/// What reading a thousand tokens again weighs besides the time that it takes the engine: other parts yield their memory,
/// and are read again in their turn, in engines that are full by then.
const PER_KILOTOKEN: f64 = 0.5;

/// A request at an engine, as it stands.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Seconds until the first event, all that is read before it included.
    pub first: f64,
    /// Tokens that the engine reads of it.
    pub reads: f64,
    /// Of these, the ones that another engine holds. Other parts yield their memory to them, and are read again later.
    pub again: f64,
    /// The events that its answer will have.
    pub events: f64,
    /// The requests that run beside it.
    pub running: f64,
    /// How much longer its pauses are than those of its like while these read nothing.
    pub slowness: f64,
}

/// What is expected of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Seconds to the first event.
    pub first: f64,
    /// Seconds to the last event.
    pub whole: f64,
    /// Its cost to all callers, in seconds in flight.
    pub cost: f64,
}

/// The weight of a refusal, in seconds, where that share of the engines' slots is taken as a rule.
///
/// Failure: engines are full at a region's peak. At the weight of a lost answer, a prompt that its own engine has no time for
/// goes to another one that must read all of it, in the time of several prompts whose shared part is there; these are late or
/// refused in their turn, and have their parts read elsewhere. Beside idle engines, though, nobody is to be refused.
pub fn refusal(taken: f64) -> f64 {
    let busy = (taken / BUSY).clamp(0.0, 1.0);
    let (least, most) = (REFUSED.as_secs_f64(), LOST.as_secs_f64());
    most + (least - most) * busy
}

impl Case {
    /// The times and the cost. Where its first event would take longer than the longest wait, it would be refused.
    ///
    /// Failure: many ask for one part at once, and the engine that holds it falls behind. At the price of reading it again, the
    /// others would idle while all further requests were refused. The weight does not rise before the limit: that would move
    /// parts away from engines that would have been in time.
    pub fn estimate(&self, usual: &Usual, longest: Duration) -> Estimate {
        let speed = &usual.speed;
        let stream = self.events * speed.gap(self.running + 1.0) * self.slowness;
        let whole = self.first + stream;
        let longer = self.events * speed.gap_per_request() * self.slowness;
        let beside = self.running * (longer + speed.prefill(self.reads));
        let evicted = self.again / 1000.0 * PER_KILOTOKEN;
        let is_refused = self.first > longest.as_secs_f64();
        let refusal = if is_refused { refusal(usual.taken) } else { 0.0 };
        Estimate { first: self.first, whole, cost: whole + beside + evicted + refusal }
    }
}
