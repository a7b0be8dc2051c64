//! The report as a table for people.

use std::fmt;

use crate::load::report::Latency;
use crate::load::report::Report;
use crate::load::report::Row;

const HEADS: [&str; 13] = [
    "callers",
    "sent",
    "in time",
    "late",
    "refused",
    "lost",
    "wrong",
    "doubled",
    "away",
    "resent",
    "first p50/p95/p99 ms",
    "between p50/p95/p99 ms",
    "whole p50/p95/p99 ms",
];

fn count(count: Option<u64>) -> String {
    count.map_or_else(|| "?".to_owned(), |count| count.to_string())
}

fn latency(latency: Option<Latency>) -> String {
    let Some(Latency { p50, p95, p99 }) = latency else { return "-".to_owned() };
    format!("{p50:.1}/{p95:.1}/{p99:.1}")
}

fn cells(row: &Row) -> [String; 13] {
    [
        row.name.clone(),
        row.sent.to_string(),
        row.in_time.to_string(),
        row.late.to_string(),
        row.refused.values().sum::<u64>().to_string(),
        row.lost.to_string(),
        row.wrong.to_string(),
        if row.once { count(row.doubled) } else { "-".to_owned() },
        row.away.to_string(),
        row.resent.to_string(),
        latency(row.first),
        latency(row.between),
        latency(row.whole),
    ]
}

/// Writes the table, and below it what doesn't fit into a column.
pub fn write(report: &Report, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let rows: Vec<_> = report.rows.iter().map(cells).collect();
    let width = |i: usize| rows.iter().map(|row| row[i].len()).chain([HEADS[i].len()]).max();
    let widths: Vec<usize> = (0..HEADS.len()).map(|i| width(i).unwrap_or(0)).collect();
    let heads = HEADS.map(str::to_owned);
    for row in [&heads].into_iter().chain(&rows) {
        let cell = |(text, width): (&String, &usize)| format!("{text:>width$}");
        let line: Vec<_> = row.iter().zip(&widths).map(cell).collect();
        writeln!(f, "{}", line.join("  "))?;
    }
    for row in &report.rows {
        let list = |counts: &std::collections::BTreeMap<String, u64>| {
            let parts: Vec<_> = counts.iter().map(|(name, n)| format!("{name} {n}")).collect();
            parts.join(", ")
        };
        if !row.refusals.is_empty() {
            let (all, last) = (list(&row.refusals), list(&row.refused));
            writeln!(f, "{}: refusals on the way: {all}; at the end: {last}", row.name)?;
        }
        if let Some(repeated) = row.repeated.filter(|repeated| *repeated > 0) {
            writeln!(f, "{}: {repeated} requests ran more than once", row.name)?;
        }
        if let Some(untrue) = row.untrue.filter(|untrue| *untrue > 0) {
            writeln!(f, "{}: {untrue} requests were refused as not run, and ran", row.name)?;
        }
    }
    for upstream in &report.silent_upstreams {
        writeln!(f, "{upstream} didn't tell what it ran: doubled may be too low")?;
    }
    Ok(())
}
