use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
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
    }
}

fn query(work: Work) -> RegionQuery<'static> {
    let (max_wait, objective) = (Duration::from_millis(1200), Duration::from_millis(1200));
    let (service, urgent, bytes) = ("s", true, 0);
    let (vms, allows) = (Some(26), &|_: &id::Region| true);
    RegionQuery { service, work, urgent, bytes, max_wait, objective, vms, allows }
}

fn candidates(regions: &mut Regions, work: Work, holder: &Holder) -> Vec<RegionCandidate> {
    let profile = ServiceStats::default().profile(48.0);
    regions.candidates(&query(work), holder, &profile, || 0.0, Instant::now())
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
    from_r.record_end(&region("p"), "s", (Outcome::Unreachable, now), now);
    from_q.record_end(&region("p"), "s", (Outcome::Unreachable, now), now);
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
    let first = candidates(&mut regions, work(1), &holder);
    assert_eq!(first[0].region, region("p"));
    assert!(first[0].first_event + Duration::from_millis(200) < first[1].first_event);
    let wait = |millis| Outlook { wait: Duration::from_millis(millis), running: 0, room: None };
    regions.record_outlook(&region("p"), ("s", true), wait(800), now);
    assert_eq!(candidates(&mut regions, work(1), &holder)[0].region, region("p"));
    regions.record_outlook(&region("p"), ("s", true), wait(1500), now);
    assert_eq!(candidates(&mut regions, work(1), &holder)[0].region, region("q"));
    let lookup = Work { suffix: Tokens::new(300), ..Work::default() };
    assert!(
        candidates(&mut regions, lookup, &Holder::Unknown)[0].first_event
            < Duration::from_millis(250)
    );
}

fn plain(objective: u64) -> RegionQuery<'static> {
    RegionQuery { objective: Duration::from_millis(objective), ..query(Work::default()) }
}

fn plain_outlook(millis: u64) -> Outlook {
    Outlook { wait: Duration::from_millis(millis), running: 3, room: None }
}

// Guards against requests that stay in a region whose upstreams then reject them, since forwarding looks more expensive
// than a full queue of about 300 ms.
#[tokio::test(start_paused = true)]
async fn an_idle_region_costs_less_than_a_full_queue() {
    let (mut regions, now) = (other_regions("r"), Instant::now());
    regions.record_outlook(&region("q"), ("s", true), plain_outlook(60), now);
    regions.record_outlook(&region("p"), ("s", true), plain_outlook(300), now);
    let profile = ServiceStats::default().profile(6.0);
    let mut cost = |objective| {
        let query = RegionQuery { bytes: 1000, ..plain(objective) };
        regions.candidates(&query, &Holder::Unknown, &profile, || 0.0, now)[0].clone()
    };
    let early = cost(500);
    assert_eq!((early.region, early.cost.as_millis()), (region("q"), 60 + 110 + 20 + 30));
    assert_eq!(early.last_event, early.first_event);
    assert_eq!(cost(330).cost, early.cost);
}

// Guards against forwarding where the trip uses up the objective, and against a change for engines.
#[tokio::test(start_paused = true)]
async fn the_cost_of_other_routes_includes_the_whole_margin() {
    let (mut regions, now) = (other_regions("r"), Instant::now());
    regions.record_outlook(&region("q"), ("s", true), plain_outlook(60), now);
    let profile = ServiceStats::default().profile(6.0);
    let at_least = Duration::from_millis(60 + 110 + 150);
    let lookup = Work { suffix: Tokens::new(300), ..Work::default() };
    for query in [plain(329), plain(300), query(lookup)] {
        let found = regions.candidates(&query, &Holder::Unknown, &profile, || 0.0, now);
        assert!(found[0].cost >= at_least, "{:?}", found[0]);
    }
}

// Guards against all VMs of a region sending to the same other region between two outlooks.
#[tokio::test(start_paused = true)]
async fn requests_are_spread_over_regions_of_similar_cost() {
    let (mut regions, now) = (other_regions("r"), Instant::now());
    regions.record_outlook(&region("q"), ("s", true), plain_outlook(60), now);
    regions.record_outlook(&region("p"), ("s", true), plain_outlook(70), now);
    let mut stats = ServiceStats::default();
    stats.record_service_time(Duration::from_millis(60), 1.0);
    let (profile, mut rng) = (stats.profile(6.0), SmallRng::seed_from_u64(1));
    let sent_to_p = (0..1000).filter(|_| {
        let random = || rng.random::<f64>();
        let found = regions.candidates(&plain(500), &Holder::Unknown, &profile, random, now);
        found[0].region == region("p")
    });
    let sent_to_p = sent_to_p.count();
    assert!((250..500).contains(&sent_to_p), "{sent_to_p} of 1000");
}

// Guards against forwards to a region that rejects them, for as long as its last report says that it has room.
#[tokio::test(start_paused = true)]
async fn a_rejected_forward_shows_that_a_region_is_full() {
    let (mut regions, now) = (other_regions("r"), Instant::now());
    let profile = ServiceStats::default().profile(6.0);
    let outlook = Outlook { room: Some(500), ..plain_outlook(60) };
    for name in ["p", "q"] {
        regions.record_outlook(&region(name), ("s", true), outlook, now);
    }
    let find = |regions: &mut Regions, query: &RegionQuery<'_>, now| {
        let found = regions.candidates(query, &Holder::Unknown, &profile, || 0.0, now);
        found.into_iter().map(|candidate| candidate.region).collect::<Vec<_>>()
    };
    assert_eq!(find(&mut regions, &plain(500), now).len(), 2);
    regions.record_sent(&region("q"), "s", now);
    let later = now + Duration::from_millis(170);
    regions.record_end(&region("q"), "s", (Outcome::Refused, now), later);
    assert_eq!(find(&mut regions, &plain(500), later), vec![region("p")]);
    assert_eq!(find(&mut regions, &plain(300), later).len(), 2, "such routes are served as before");
    let only_there = RegionQuery { vms: None, ..plain(500) };
    assert_eq!(find(&mut regions, &only_there, later).len(), 2, "it can't be served here");
    regions.record_outlook(&region("q"), ("s", true), outlook, later + Duration::from_millis(1));
    assert_eq!(find(&mut regions, &plain(500), later + Duration::from_millis(1)).len(), 2);
}

// Guards against a VM that learns of a full region from others and still sends to it.
#[tokio::test(start_paused = true)]
async fn the_room_is_shared_within_the_region() {
    let (mut one, mut other, now) = (other_regions("r"), other_regions("r"), Instant::now());
    let outlook = Outlook { room: Some(0), ..plain_outlook(60) };
    one.record_outlook(&region("q"), ("s", true), outlook, now);
    other.apply_remotes(&one.take_outlooks(now), now);
    let profile = ServiceStats::default().profile(6.0);
    let found = other.candidates(&plain(500), &Holder::Unknown, &profile, || 1.0, now);
    assert!(found.iter().all(|candidate| candidate.region != region("q")));
}
