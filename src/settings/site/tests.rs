use std::path::Path;

use super::Site;

const GOOD: &str = "
vms:
  gulf-1:
    region: gulf
    data_centre: gulf-a
    entry:
      callers: 127.0.0.1:7101
      upstreams: 127.0.0.1:7102
      operators: 127.0.0.1:7103
      links: 127.0.0.1:7104
      forwards: 127.0.0.1:7105
    control:
      operators: 127.0.0.1:7106
      links: 127.0.0.1:7107
      folder: data/gulf-1
drain: 30s
";

#[test]
fn reads_a_site() {
    let site = Site::parse("site.yaml", GOOD, Path::new("/srv")).unwrap();
    let vm = &site.vms[&"gulf-1".parse().unwrap()];
    assert_eq!(vm.control.as_ref().unwrap().folder, Path::new("/srv/data/gulf-1"));
    assert_eq!(site.drain.as_secs(), 30);
    assert_eq!(site.book().len(), 2);
}

// An operator starts a daemon with a file that is wrong in five places. One start must tell all five, each
// with its line, or each mistake costs a restart of its own.
#[test]
fn reports_all_findings_together() {
    let text = GOOD
        .replace("drain: 30s", "drain: 30\nspeed: 3")
        .replace("127.0.0.1:7102", "localhost")
        .replace("127.0.0.1:7107", "127.0.0.1:7101")
        .replace("region: gulf", "region: gu lf");
    let findings = Site::parse("site.yaml", &text, Path::new(".")).unwrap_err();
    let told = findings.to_string();
    assert_eq!(findings.0.len(), 4, "{told}");
    for expected in [
        "site.yaml:4:13: vms.gulf-1.region: \"gu lf\" has the character ' '",
        "site.yaml:8:18: vms.gulf-1.entry.upstreams: \"localhost\" invalid socket address",
        "drain: \"30\" is not a whole number with one of the units",
        "speed: is not a known key",
    ] {
        assert!(told.contains(expected), "{expected} is missing in\n{told}");
    }
}

#[test]
fn a_region_needs_its_ledger_and_each_address_once() {
    let text = GOOD.replace("127.0.0.1:7107", "127.0.0.1:7101");
    let told = Site::parse("site.yaml", &text, Path::new(".")).unwrap_err().to_string();
    assert!(told.contains("127.0.0.1:7101 is used twice"), "{told}");
    let start = GOOD.find("    control:").unwrap();
    let end = GOOD.find("drain:").unwrap();
    let text = format!("{}{}", &GOOD[..start], &GOOD[end..]);
    let told = Site::parse("site.yaml", &text, Path::new(".")).unwrap_err().to_string();
    assert!(told.contains("region gulf has no control daemon"), "{told}");
}

#[test]
fn a_broken_file_is_one_finding() {
    let told = Site::parse("site.yaml", "vms: [", Path::new(".")).unwrap_err().to_string();
    assert!(told.starts_with("site.yaml:"), "{told}");
}
