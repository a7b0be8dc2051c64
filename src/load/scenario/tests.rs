use super::*;

const GOOD: &str = "\
time: 5s
vms: [127.0.0.1:7101]
callers:
  lookup:
    entry: lookup
    region: gulf
    rate: 5/s
    deadline: 2s
    engine: {model: small, answer_words: 8}
    burst: {every: 2s, count: 10}
  debit:
    entry: debit
    region: gulf
    home: delta
    rate: 1/s
    deadline: 10s
    once: true
    service: {path: /debits}
    fault: {marker: crash, every: 50}
";

#[test]
fn a_scenario_is_read_with_its_defaults() {
    let scenario = Scenario::parse("good.yaml", GOOD).unwrap();
    let [lookup, debit] = &scenario.callers[..] else { panic!("{scenario:?}") };
    assert_eq!(lookup.home, lookup.region);
    assert_eq!(lookup.give_up, Duration::from_secs(4));
    assert_eq!(lookup.burst, Some(Burst { every: Duration::from_secs(2), count: 10 }));
    assert!(debit.once && debit.home.as_str() == "delta");
    assert_eq!(debit.marker, Some(Marker { fault: "crash".to_owned(), every: 50 }));
    assert_eq!(debit.ask, Ask::Service { path: "/debits".to_owned(), body: 200 });
}

#[test]
fn all_findings_come_at_once_with_their_lines() {
    let text = "\
time: 5 parsecs
vms: []
callers:
  lookup:
    entry: lookup
    region: gulf
    rate: 0/s
    deadline: 2s
    colour: red
";
    let findings = Scenario::parse("bad.yaml", text).unwrap_err().0;
    let lines: Vec<_> = findings.iter().map(|finding| finding.line).collect();
    assert!(findings.len() >= 5, "{findings:?}");
    assert!(lines.contains(&1) && lines.contains(&2) && lines.contains(&9), "{findings:?}");
}
