//! Counting what one kind of caller received.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::id;
use crate::load::life::Fate;
use crate::load::life::Record;
use crate::load::report::Latency;
use crate::load::report::Row;
use crate::load::scenario::Caller;

/// The longest time that is told apart, in microseconds: an hour.
const LONGEST: u64 = 3_600_000_000;
/// Significant digits of a time.
const DIGITS: u8 = 3;

/// What one kind of caller received so far.
#[derive(Debug)]
pub struct Tally {
    home: id::Region,
    deadline: Duration,
    row: Row,
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    whole: Histogram<u64>,
    /// Keys, and whether every refusal of the request said that it ran nowhere.
    keys: BTreeMap<id::Key, bool>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("the bounds are in order")
}

fn note(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

impl Tally {
    /// A tally of nothing yet.
    pub fn new(caller: &Caller) -> Self {
        Self {
            home: caller.home.clone(),
            deadline: caller.deadline,
            row: Row { name: caller.name.clone(), once: caller.once, ..Row::default() },
            first: histogram(),
            gaps: histogram(),
            whole: histogram(),
            keys: BTreeMap::new(),
        }
    }

    /// Counts a request.
    pub fn add(&mut self, record: Record) {
        self.row.sent += 1;
        self.row.resent += record.sends.saturating_sub(1);
        for refusal in record.refusals {
            *self.row.refusals.entry(refusal).or_default() += 1;
        }
        let refused = matches!(record.fate, Fate::Refused { .. });
        self.keys.insert(record.key, refused && record.said_not_run);
        match record.fate {
            Fate::Answered { first, whole, gaps, region } => {
                let in_time = whole <= self.deadline;
                let count = if in_time { &mut self.row.in_time } else { &mut self.row.late };
                *count += 1;
                self.row.away += u64::from(region.is_some_and(|region| region != self.home));
                note(&mut self.first, first);
                note(&mut self.whole, whole);
                gaps.into_iter().for_each(|gap| note(&mut self.gaps, gap));
            }
            Fate::Wrong => self.row.wrong += 1,
            Fate::Refused { reason } => *self.row.refused.entry(reason).or_default() += 1,
            Fate::Lost => self.row.lost += 1,
        }
    }

    /// The row, with what upstreams say that ran; none where they weren't asked.
    pub fn row(mut self, ran: Option<&BTreeMap<String, Runs>>) -> Row {
        if let Some(ran) = ran {
            let own = self
                .keys
                .iter()
                .filter_map(|(key, not_run)| Some((ran.get(key.as_str())?, not_run)));
            let (mut doubled, mut repeated, mut untrue) = (0, 0, 0);
            for (runs, not_run) in own {
                repeated += u64::from(runs.started > 1);
                doubled += u64::from(self.row.once && runs.started > 1);
                untrue += u64::from(*not_run && runs.started > 0);
            }
            self.row.doubled = Some(doubled);
            self.row.repeated = Some(repeated);
            self.row.untrue = Some(untrue);
        }
        self.row.first = Latency::of(&self.first);
        self.row.between = Latency::of(&self.gaps);
        self.row.whole = Latency::of(&self.whole);
        self.row.first_curve = curve(&self.first);
        self.row
    }
}

/// How often a key ran on all upstreams together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Runs {
    /// Runs that began.
    pub started: u64,
}

/// Percentiles and times in milliseconds, for the plot.
fn curve(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let points = [0.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 100.0];
    let at = |point: f64| (point, histogram.value_at_quantile(point / 100.0) as f64 / 1000.0);
    points.into_iter().filter(|_| !histogram.is_empty()).map(at).collect()
}

#[cfg(test)]
mod tests;
