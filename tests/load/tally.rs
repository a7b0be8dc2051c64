//! What callers received.

use std::time::Duration;

/// The outcome of one job.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// How long after the first asking the answer came.
    pub answered: Option<Duration>,
    /// Whether that was within the window of the first try.
    pub in_time: bool,
    /// Tries that were refused.
    pub refused: u32,
    /// Refusals that said the request had not run although it had started.
    pub untrue: u32,
    /// Runs that were started.
    pub runs: u32,
}

/// The outcomes of all jobs of a group.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub asked: usize,
    /// Answered within the window of the first try.
    pub in_time: usize,
    /// Answered later than that.
    pub late: usize,
    /// No answer when the run ended.
    pub unanswered: usize,
    /// Run more than once.
    pub doubled: usize,
    pub refused: u64,
    pub untrue: u64,
    /// Times to the answer, sorted.
    times: Vec<Duration>,
}

impl Tally {
    pub fn new<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Self {
        let mut tally = Self::default();
        for outcome in outcomes {
            tally.add(outcome);
        }
        tally.times.sort();
        tally
    }

    fn add(&mut self, outcome: &Outcome) {
        self.asked += 1;
        self.in_time += usize::from(outcome.in_time);
        self.late += usize::from(outcome.answered.is_some() && !outcome.in_time);
        self.unanswered += usize::from(outcome.answered.is_none());
        self.doubled += usize::from(outcome.runs > 1);
        self.refused += u64::from(outcome.refused);
        self.untrue += u64::from(outcome.untrue);
        self.times.extend(outcome.answered);
    }

    /// The share answered in time.
    pub fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// The time within which this part of the answers came.
    pub fn quantile(&self, part: f64) -> Option<Duration> {
        let index = (self.times.len() as f64 * part) as usize;
        self.times.get(index.min(self.times.len().saturating_sub(1))).copied()
    }
}
