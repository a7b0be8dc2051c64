use super::sim::Policy;
use super::sim::Result;
use super::sim::Setting;
use super::sim::run;

struct Row {
    ours: Result,
    shared: Result,
    round_robin: Result,
    least_reported: Result,
}

fn row(name: &str, setting: &Setting) -> Row {
    let row = Row {
        ours: run(setting, Policy::Ours),
        shared: run(setting, Policy::Shared),
        round_robin: run(setting, Policy::RoundRobin),
        least_reported: run(setting, Policy::LeastReported),
    };
    print(name, "ours", &row.ours);
    print(name, "ours, shared slots", &row.shared);
    print(name, "round robin", &row.round_robin);
    print(name, "least reported", &row.least_reported);
    row
}

/// A row of the table in docs/MEASUREMENTS.md; `--nocapture` shows it.
fn print(name: &str, policy: &str, got: &Result) {
    let Result { sent, late, failed, median, p99, recomputed, busiest_share, fullest } = got;
    println!(
        "| {name} | {policy} | {sent} | {late} | {failed} | {median:.2} | {p99:.2} | {recomputed} | {busiest_share:.3} | {fullest} |"
    );
}

// One of twelve engines takes ten times as long while it renews its lease as ever. Callers that round robin
// sends there wait for minutes; it must be noticed by its latencies and left alone.
#[test]
fn one_slow_upstream() {
    let row = row("slow", &Setting { slow: 10.0, ..Setting::default() });
    assert!(row.ours.late * 5 < row.round_robin.late);
    assert!(row.ours.late * 20 < row.least_reported.late);
    assert!(row.ours.p99 < 3.0);
}

// One engine fails each request within 10 ms, and so is always the least loaded one. What isn't kept off it
// fails for nearly all callers.
#[test]
fn one_failing_upstream() {
    let row = row("broken", &Setting { broken: true, ..Setting::default() });
    assert!(row.ours.failed * 5 < row.round_robin.failed);
    assert!(row.ours.failed * 20 < row.least_reported.failed);
}

// Eight VMs see the same reports, 5 s old. Where each sends to whatever was least loaded then, all run after one
// engine at a time, and callers wait in its queue while others stand idle.
#[test]
fn stale_reports_cause_no_herding() {
    let row = row("lag", &Setting { report_lag: 5.0, ..Setting::default() });
    assert!(row.ours.late * 100 < row.least_reported.late);
    // Round robin needs no report and spreads an even load best; the price for knowing more must stay small.
    assert!(row.ours.late * 100 < row.ours.sent);
    assert!(row.ours.p99 < row.round_robin.p99 * 1.25);
}

// Half of all requests share one prompt prefix, which takes twice as long as the answer. Spread at random it is
// computed on each engine over and over; sent to one engine it would make all of them late.
#[test]
fn a_hot_prefix() {
    let setting = Setting {
        prefixes: 200,
        hot: 0.5,
        prefill: 1.0,
        service: 0.5,
        rate: 40.0,
        ..Setting::default()
    };
    let row = row("hot", &setting);
    assert!(row.ours.recomputed * 2 < row.round_robin.recomputed);
    assert!(row.ours.late < row.round_robin.late);
    assert!(row.ours.busiest_share < 0.25);
}

// A new engine joins, five times as slow until it has run 30 requests. A full share at once makes these late.
#[test]
fn slow_start_of_a_new_upstream() {
    let late = |known_new: bool| -> usize {
        let setting = Setting {
            slow: 5.0,
            warm_after: Some(30),
            known_new,
            rate: 34.0,
            ..Setting::default()
        };
        (1..=8).map(|seed| run(&Setting { seed, ..setting.clone() }, Policy::Ours).late).sum()
    };
    let (with, without) = (late(true), late(false));
    println!("late with slow start {with}, without {without}");
    assert!(with < without);
}

#[test]
fn skew() {
    row("calm", &Setting::default());
    row("skew", &Setting { skew: 0.5, ..Setting::default() });
    row("skew lag5", &Setting { skew: 0.5, report_lag: 5.0, ..Setting::default() });
    row("95%", &Setting { rate: 0.95 * 48.0, ..Setting::default() });
}
