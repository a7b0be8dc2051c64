use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::Holder;
use super::Outlook;
use super::RegionCandidate;
use super::RegionQuery;
use super::Regions;
use crate::decide::engine::Output;
use crate::decide::place::Outcome;
use crate::decide::place::Prefix;
use crate::decide::place::Work;
use crate::decide::place::service::ServiceStats;
use crate::decide::route::rendezvous;
use crate::id;
use crate::unit::Tokens;

const ENGINES: [(&str, &[&str]); 3] =
    [("r", &["r1", "r2", "r3"]), ("q", &["q1", "q2"]), ("p", &["p1"])];

fn region(name: &str) -> id::Region {
    name.parse().unwrap()
}

fn engines(names: &[&str]) -> Vec<id::Upstream> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Returns the state of the other regions, from the view of a VM in region `own`.
fn other_regions(own: &str) -> Regions {
    let others = ENGINES.iter().filter(|(name, _)| *name != own);
    let open = others.map(|(name, names)| (region(name), engines(names))).collect();
    let mut regions = Regions::default();
    regions.sync(HashMap::from([("s".to_owned(), open)]));
    regions
}

/// Returns the highest rendezvous weight of the own region's engines.
fn weight_here(own: &str, key: u64) -> Option<u64> {
    let (_, names) = ENGINES.iter().find(|(name, _)| *name == own)?;
    names.iter().map(|name| rendezvous::weight(key, name)).max()
}

fn work(key: u64) -> Work {
    let prefix = Prefix { key, tokens: Tokens::new(13_300) };
    Work {
        prefix: Some(prefix),
        suffix: Tokens::new(3_700),
        output: Output { limit: Tokens::new(120), hint: None },
        ..Work::default()
    }
}

fn query(work: Work) -> RegionQuery<'static> {
    let max_wait = Duration::from_millis(1200);
    RegionQuery { service: "s", work, urgent: true, bytes: 0, max_wait, allows: &|_| true }
}

fn candidates(regions: &Regions, work: Work, holder: &Holder) -> Vec<RegionCandidate> {
    let profile = ServiceStats::default().profile(48.0);
    regions.candidates(&query(work), holder, &profile, || Duration::ZERO, Instant::now())
}

// Guards against each region assigning an engine of its own to a prefix, which would then be computed three times.
#[tokio::test(start_paused = true)]
async fn all_regions_assign_a_prefix_to_the_same_region() {
    let now = Instant::now();
    let mut assigned: HashMap<id::Region, usize> = HashMap::new();
    for key in 0..100 {
        let found = ["r", "q", "p"].map(|own| {
            let holder = other_regions(own).holder(&query(work(key)), weight_here(own, key), now);
            match holder {
                Holder::Local => region(own),
                Holder::Remote(there) => there,
                Holder::Unknown => panic!("no region for prefix {key}"),
            }
        });
        assert!(found.iter().all(|holder| *holder == found[0]));
        *assigned.entry(found[0].clone()).or_default() += 1;
    }
    assert!(
        assigned[&region("r")] > assigned[&region("p")],
        "more engines get more prefixes: {assigned:?}"
    );
}

// A region becomes unreachable. All others must assign its prefixes to the same replacement.
#[tokio::test(start_paused = true)]
async fn an_unreachable_region_is_assigned_no_prefix() {
    let now = Instant::now();
    let (mut from_r, mut from_q) = (other_regions("r"), other_regions("q"));
    from_r.record_end(&region("p"), "s", Outcome::Unreachable, now);
    from_q.record_end(&region("p"), "s", Outcome::Unreachable, now);
    for key in 0..100 {
        let one = from_r.holder(&query(work(key)), weight_here("r", key), now);
        let other = from_q.holder(&query(work(key)), weight_here("q", key), now);
        assert_ne!(one, Holder::Remote(region("p")));
        assert_eq!(one == Holder::Local, other == Holder::Remote(region("r")), "{key}");
    }
}

// Guards against assigning a prefix to a region that may not serve its requests.
#[tokio::test(start_paused = true)]
async fn a_prefix_is_assigned_to_a_permitted_region() {
    let now = Instant::now();
    let allows = |asked: &id::Region| *asked == region("q");
    for key in 0..20 {
        let query = RegionQuery { allows: &allows, ..query(work(key)) };
        assert_eq!(other_regions("r").holder(&query, None, now), Holder::Remote(region("q")));
    }
}

#[tokio::test(start_paused = true)]
async fn the_assigned_region_is_preferred_until_overloaded() {
    let now = Instant::now();
    let mut regions = other_regions("r");
    let holder = Holder::Remote(region("p"));
    let first = candidates(&regions, work(1), &holder);
    assert_eq!(first[0].region, region("p"));
    assert!(first[0].first_event + Duration::from_millis(200) < first[1].first_event);
    let wait = |millis| Outlook { wait: Duration::from_millis(millis), running: 0 };
    regions.record_outlook(&region("p"), ("s", true), wait(800), now);
    assert_eq!(candidates(&regions, work(1), &holder)[0].region, region("p"));
    regions.record_outlook(&region("p"), ("s", true), wait(1500), now);
    assert_eq!(candidates(&regions, work(1), &holder)[0].region, region("q"));
    let lookup = Work { suffix: Tokens::new(300), ..Work::default() };
    assert!(
        candidates(&regions, lookup, &Holder::Unknown)[0].first_event < Duration::from_millis(250)
    );
}
