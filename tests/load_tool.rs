//! The load tool against a site: what it reports must be what happened.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use fakes::Fault;
use fakes::Settings;
use fakes::Upstream;
use masticstream::load;
use masticstream::load::Options;
use masticstream::load::Report;
use masticstream::load::Scenario;

use crate::support::Local;

const LOOKUP: &str = "
name: lookup
owner: bayou
class: short
models: [small]
home: gulf
deadline: 20s
repeat: allowed
limits: { requests: 1000/s, tokens: 1000000/s, concurrency: 200 }
";

const DEBIT: &str = "
name: debit
owner: prehod
class: short
service: echo
home: gulf
bound: true
deadline: 20s
repeat: never
limits: { requests: 1000/s, tokens: 1000000/s, concurrency: 200 }
";

const DEBITS: &str = "
  debit:
    entry: debit
    region: gulf
    rate: 20/s
    deadline: 20s
    once: true
    service: {path: /debits}
";

const LOOKUPS: &str = "
  lookup:
    entry: lookup
    region: gulf
    rate: 30/s
    deadline: 20s
    engine: {model: small, answer_words: 6}
    burst: {every: 500ms, count: 5}
";

async fn run(vms: &[SocketAddr], upstreams: &[SocketAddr], callers: &str) -> Report {
    let text = format!("time: 1s\nvms: {vms:?}\nupstreams: {upstreams:?}\ncallers:{callers}");
    let scenario = Scenario::parse("scenario.yaml", &text).expect("a scenario");
    load::run(&scenario, &Options::new(1).with_quiet()).await.expect("a report")
}

#[tokio::test]
async fn a_load_with_faults_is_reported_as_it_was() {
    // One of two engines crashes in the middle and comes back. The lookups that it ran are run again elsewhere, and
    // their callers notice nothing but time.
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(LOOKUP).await;
    let entries = [site.upstreams("a"), site.upstreams("b")];
    let soon = Duration::from_millis(200);
    let crashing = Settings::engine("e1").with_entries(entries).with_restart(soon);
    let crashing = Upstream::start(crashing).await.unwrap();
    let steady = Upstream::start(Settings::engine("e2").with_entries(entries)).await.unwrap();
    site.upstreams_known("gulf", 2).await;

    crashing.fail_next(Fault::Crash);
    let upstreams = [crashing.address(), steady.address()];
    let report = run(&[site.callers("a"), site.callers("b")], &upstreams, LOOKUPS).await;

    let [lookup] = &report.rows[..] else { panic!("{report}") };
    assert!(report.is_clean(), "{report}");
    assert_eq!(lookup.in_time, lookup.sent, "{report}");
    assert!(lookup.sent > 10 && lookup.repeated > Some(0), "{report}");
    assert!(lookup.first.is_some() && lookup.between.is_some());
    assert!(report.to_string().contains("lookup"), "{report}");
    let folder = tempfile::tempdir().unwrap();
    let plot = folder.path().join("plot.svg");
    report.draw(&plot).unwrap();
    assert!(std::fs::read_to_string(plot).unwrap().contains("percentile"));
}

#[tokio::test]
async fn a_request_that_breaks_off_and_must_not_run_twice_is_told_apart() {
    // A service is cut off in the middle of a debit. Its caller is told that it isn't known what came of it, asks again,
    // and is told the same; the service's own log says that it ran once.
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(DEBIT).await;
    let entries = [site.upstreams("a"), site.upstreams("b")];
    let service = Upstream::start(Settings::service("s1").with_entries(entries)).await.unwrap();
    site.upstreams_known("gulf", 1).await;
    service.fail_next(Fault::CutAfter(0));
    let vms = [site.callers("a"), site.callers("b")];
    let report = run(&vms, &[service.address()], DEBITS).await;

    let [debit] = &report.rows[..] else { panic!("{report}") };
    assert!(report.is_clean(), "{report}");
    assert_eq!(debit.doubled, Some(0), "{report}");
    assert_eq!((debit.in_time, debit.late), (debit.sent - 1, 0), "{report}");
    assert_eq!(debit.refused.values().sum::<u64>(), 1, "{report}");
}
