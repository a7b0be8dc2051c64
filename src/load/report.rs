//! What a load has shown.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::Error;
use crate::load::plot;
use crate::load::table;

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Half of all are faster.
    pub p50: f64,
    /// 95 of 100 are faster.
    pub p95: f64,
    /// 99 of 100 are faster.
    pub p99: f64,
}

impl Latency {
    /// Of times in microseconds; none where there are none.
    pub(super) fn of(histogram: &Histogram<u64>) -> Option<Self> {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        (!histogram.is_empty()).then(|| Self { p50: at(0.5), p95: at(0.95), p99: at(0.99) })
    }
}

/// What one kind of caller received.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Row {
    /// The kind of caller.
    pub name: String,
    /// Whether its requests must not run twice.
    pub once: bool,
    /// Requests.
    pub sent: u64,
    /// Times that they were sent again.
    pub resent: u64,
    /// Whole answers within the deadline.
    pub in_time: u64,
    /// Whole answers after it.
    pub late: u64,
    /// Requests that ended in a refusal, by reason.
    pub refused: BTreeMap<String, u64>,
    /// All refusals, also of requests that were answered when they were sent again.
    pub refusals: BTreeMap<String, u64>,
    /// Requests that ended without answer and refusal.
    pub lost: u64,
    /// Requests with an answer that isn't their own.
    pub wrong: u64,
    /// Requests that ran twice and must not; none where it isn't known.
    pub doubled: Option<u64>,
    /// Requests that ran more than once, whether they may or not; none where it isn't known.
    pub repeated: Option<u64>,
    /// Requests that were refused as not run and ran; none where it isn't known.
    pub untrue: Option<u64>,
    /// Answers from another region than home.
    pub away: u64,
    /// From the first sending to the first piece of the answer, in milliseconds.
    pub first: Option<Latency>,
    /// Between pieces of an answer, in milliseconds.
    pub between: Option<Latency>,
    /// From the first sending to the end of the answer, in milliseconds.
    pub whole: Option<Latency>,
    /// Percentiles and times in milliseconds to the first piece.
    pub first_curve: Vec<(f64, f64)>,
}

/// What a load has shown.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// For how long it ran, in seconds.
    pub seconds: f64,
    /// A row for each kind of caller.
    pub rows: Vec<Row>,
    /// Upstreams that didn't tell what they ran.
    pub silent_upstreams: Vec<SocketAddr>,
}

impl Report {
    /// Whether nothing was lost, wrong, doubled or refused untruly, as far as it is known.
    pub fn is_clean(&self) -> bool {
        let bad = |row: &Row| {
            row.lost + row.wrong + row.doubled.unwrap_or(0) + row.untrue.unwrap_or(0) > 0
        };
        !self.rows.iter().any(bad)
    }

    /// As JSON.
    pub fn json(&self) -> String {
        // Plain structures with text keys can't fail.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Draws the times to the first piece as an SVG file.
    pub fn draw(&self, path: &Path) -> Result<(), Error> {
        plot::draw(self, path).map_err(|error| Error::Plot(error.to_string()))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        table::write(self, f)
    }
}
