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
    /// Slots that did useful work on average; a policy's figure, the same in each of its groups.
    pub goodput: f64,
}

const HEAD: &str = "\
| pattern | policy | callers | asked | in time | late | no answer | doubled | refused tries | untrue | p50 s | p99 s | useful slots |
|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|
";

/// The rows as Markdown.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = HEAD.to_owned();
    for Row { pattern, policy, group, tally, goodput } in rows {
        let Tally { asked, late, unanswered, doubled, refused, untrue, .. } = tally;
        let in_time = 100.0 * tally.share_in_time();
        let (p50, p99) = (seconds(tally.quantile(0.5)), seconds(tally.quantile(0.99)));
        let _ = writeln!(
            text,
            "| {pattern} | {policy} | {group} | {asked} | {in_time:.1}% | {late} | {unanswered} | {doubled} \
             | {refused} | {untrue} | {p50} | {p99} | {goodput:.1} |",
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
                goodput: result.goodput,
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
