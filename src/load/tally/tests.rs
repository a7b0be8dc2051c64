use super::*;
use crate::load::Scenario;

const TEXT: &str = "\
time: 5s
vms: [127.0.0.1:1]
callers:
  debit:
    entry: debit
    region: gulf
    rate: 1/s
    deadline: 1s
    once: true
    service: {path: /debits}
";

fn record(key: &str, fate: Fate, said_not_run: bool) -> Record {
    let key = key.parse().unwrap();
    Record { key, fate, sends: 1, refusals: Vec::new(), said_not_run }
}

fn answered(millis: u64, region: &str) -> Fate {
    let time = Duration::from_millis(millis);
    let region = Some(region.parse().unwrap());
    Fate::Answered { first: time, whole: time, gaps: vec![time], region }
}

#[test]
fn a_row_counts_what_the_caller_received_and_what_ran() {
    let scenario = Scenario::parse("a", TEXT).unwrap();
    let mut tally = Tally::new(&scenario.callers[0]);
    let refused = || Fate::Refused { reason: "overload".to_owned() };
    tally.add(record("in-time", answered(100, "gulf"), false));
    tally.add(record("late", answered(1200, "delta"), false));
    tally.add(record("honest", refused(), true));
    tally.add(record("untrue", refused(), true));
    tally.add(record("lost", Fate::Lost, false));
    tally.add(record("wrong", Fate::Wrong, false));
    let ran = [("in-time", 1), ("late", 2), ("untrue", 1)];
    let ran = ran.map(|(key, started)| (key.to_owned(), Runs { started })).into();
    let row = tally.row(Some(&ran));
    assert_eq!((row.sent, row.in_time, row.late, row.lost, row.wrong), (6, 1, 1, 1, 1));
    assert_eq!(row.refused["overload"], 2);
    assert_eq!((row.doubled, row.untrue, row.away), (Some(1), Some(1), 1));
}
