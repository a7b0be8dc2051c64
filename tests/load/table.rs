//! The table of all decisions under load.

use std::fmt::Write;
use std::time::Duration;

use crate::policy::Kind;
use crate::scenario::Scenario;
use crate::tally::Tally;
use crate::world;

/// One line of the table: what one group of callers received under one policy.
pub struct Row {
    pub pattern: String,
    pub policy: String,
    pub group: String,
    pub tally: Tally,
    /// The share in time of the owner that fares worst.
    pub worst_owner: f64,
    /// Slots that did useful work on average; a policy's figure, the same in each of its groups.
    pub goodput: f64,
    /// Slots that were busy for callers that had left.
    pub wasted: f64,
    /// Requests of all groups that were let in and given up on later.
    pub lapsed: u32,
}

const HEAD: &str = "\
| pattern | policy | callers | asked | in time | worst owner in time | late | no answer | doubled | refused tries | untrue | p50 s | p99 s | useful slots | wasted slots | let in, then refused |
|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|
";

/// The rows as Markdown.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = HEAD.to_owned();
    for Row { pattern, policy, group, tally, worst_owner, goodput, wasted, lapsed } in rows {
        let Tally { asked, late, unanswered, doubled, refused, untrue, .. } = tally;
        let in_time = 100.0 * tally.share_in_time();
        let worst = 100.0 * worst_owner;
        let (p50, p99) = (seconds(tally.quantile(0.5)), seconds(tally.quantile(0.99)));
        let _ = writeln!(
            text,
            "| {pattern} | {policy} | {group} | {asked} | {in_time:.1}% | {worst:.0}% | {late} | {unanswered} | {doubled} \
             | {refused} | {untrue} | {p50} | {p99} | {goodput:.1} | {wasted:.1} | {lapsed} |",
        );
    }
    text
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| format!("{:.2}", time.as_secs_f64()))
}

/// One scenario under each of these policies.
pub fn rows(scenario: &Scenario, kinds: &[Kind]) -> Vec<Row> {
    let mut rows = Vec::new();
    for &kind in kinds {
        let result = world::run(&scenario.setting, kind, scenario.seed);
        for group in result.groups() {
            rows.push(Row {
                pattern: scenario.name.to_owned(),
                policy: kind.name().to_owned(),
                group: group.to_owned(),
                tally: result.tally(group),
                worst_owner: result.worst_owner(group),
                goodput: result.goodput,
                wasted: result.wasted,
                lapsed: result.lapsed,
            });
        }
    }
    rows
}

/// Prints the whole table; nothing is judged here.
#[test]
fn table() {
    let kinds = [Kind::Fifo, Kind::FifoNoticing, Kind::Ours];
    let scenarios = Scenario::all();
    let rows: Vec<Row> = scenarios.iter().flat_map(|scenario| rows(scenario, &kinds)).collect();
    println!("{}", markdown(&rows));
}
