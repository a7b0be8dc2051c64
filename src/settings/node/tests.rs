use std::path::Path;
use std::time::Duration;

use super::Node;

const ENTRY: &str = "
ip: 10.0.0.1
region: r
data_centre: a
data_centres: [a=r, b=s]
seeds: [\"10.0.0.2:90\", \"10.0.0.3:90\"]
link_port: 70
network: closed
check_in: 1200ms
entry:
  callers: 10.0.0.1:80
  operators: 10.0.0.1:81
  forwards: 10.0.0.1:82
  grace: 8s
";

fn findings(text: &str) -> Vec<String> {
    let found = Node::parse("node.yaml", text, Path::new(".")).unwrap_err();
    found.0.into_iter().map(|finding| finding.text).collect()
}

#[test]
fn an_entry_daemon_knows_itself_and_its_seeds() {
    let node = Node::parse("node.yaml", ENTRY, Path::new(".")).unwrap();
    assert_eq!(node.vm().as_str(), "10.0.0.1");
    assert_eq!(node.check_in, Duration::from_millis(1200));
    let links: Vec<String> = node.seed_links().map(|(_, link)| link.to_string()).collect();
    assert_eq!(links, ["10.0.0.2:70", "10.0.0.3:70"]);
    assert_eq!(node.region_of(&"b".parse().unwrap()).unwrap().as_str(), "s");
    assert!(node.control.is_none());
}

#[test]
fn all_findings_are_reported_together() {
    let text = ENTRY.replace("network: closed", "unknown: 1").replace("10.0.0.1:81", "nowhere");
    let found = findings(&text);
    assert_eq!(found.len(), 3, "{found:?}");
}

#[test]
fn a_process_has_one_role() {
    let text = ENTRY.split("entry:").next().unwrap();
    assert!(findings(text)[0].contains("either an entry or a control daemon"));
}

#[test]
fn the_time_in_which_keys_are_taken_away_is_checked() {
    let with = |time: &str| format!("{ENTRY}bounds:\n  revocation: {time}\n");
    let node = Node::parse("node.yaml", &with("5000ms"), Path::new(".")).unwrap();
    assert_eq!(node.bounds.revocation, Some(Duration::from_secs(5)));
    assert!(findings(&with("1s"))[0].contains("bounds.revocation"));
}

#[test]
fn what_may_be_asked_for_beyond_an_allowance_is_checked() {
    let with = |text: &str| format!("{ENTRY}bounds:\n{text}");
    let text = "  allowance_excess: 0.1\n  allowance_slack: 190000\n";
    let node = Node::parse("node.yaml", &with(text), Path::new(".")).unwrap();
    assert_eq!((node.bounds.excess.share, node.bounds.excess.units), (0.1, 190_000.0));
    for bad in ["  allowance_excess: 1.5\n", "  allowance_excess: NaN\n", "  allowance_slack: -1\n"]
    {
        assert!(findings(&with(bad))[0].contains("bounds.allowance_excess"), "{bad}");
    }
}

#[test]
fn the_memory_of_a_process_bounds_its_bodies() {
    let bodies = |text: &str| {
        let node = Node::parse("node.yaml", text, Path::new(".")).unwrap();
        node.memory.bodies().get()
    };
    assert_eq!(bodies(ENTRY), 64 << 20);
    assert_eq!(bodies(&format!("{ENTRY}memory: 260MiB\n")), 65 << 20);
    let found = findings(&format!("{ENTRY}memory: 16MiB\n"));
    assert_eq!(found, ["memory: must be 32MiB or more"]);
    assert!(findings(&format!("{ENTRY}memory: 260MB\n"))[0].contains("256MiB"));
}
