use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::Holder;
use super::Offer;
use super::Outlook;
use super::Passage;
use super::Regions;
use crate::decide::engine::Output;
use crate::decide::place::Outcome;
use crate::decide::place::Shared;
use crate::decide::place::Work;
use crate::decide::place::model::Model;
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

/// What a VM of that region knows of the others.
fn seen_from(own: &str) -> Regions {
    let others = ENGINES.iter().filter(|(name, _)| *name != own);
    let open = others.map(|(name, names)| (region(name), engines(names))).collect();
    let mut regions = Regions::default();
    regions.sync(HashMap::from([("s".to_owned(), open)]));
    regions
}

/// The weight of the own region's best engine.
fn weight_here(own: &str, key: u64) -> Option<u64> {
    let (_, names) = ENGINES.iter().find(|(name, _)| *name == own)?;
    names.iter().map(|name| rendezvous::weight(key, name)).max()
}

fn work(key: u64) -> Work {
    let shared = Shared { key, tokens: Tokens::new(13_300) };
    Work {
        shared: Some(shared),
        own: Tokens::new(3_700),
        output: Output { limit: Tokens::new(120), hint: None },
    }
}

fn passage(work: Work) -> Passage<'static> {
    let longest = Duration::from_millis(1200);
    Passage { service: "s", work, urgent: true, bytes: 0, longest, allows: &|_| true }
}

fn offers(regions: &Regions, work: Work, holder: &Holder) -> Vec<Offer> {
    let usual = Model::default().usual(48.0);
    regions.offers(&passage(work), holder, &usual, || Duration::ZERO, Instant::now())
}

// Callers of three regions ask for the same hundred seasons. If the VMs of each region found an engine of their own for a
// season, its thirteen thousand tokens would be read three times.
#[tokio::test(start_paused = true)]
async fn all_regions_find_the_same_holder() {
    let now = Instant::now();
    let mut held: HashMap<id::Region, usize> = HashMap::new();
    for key in 0..100 {
        let found = ["r", "q", "p"].map(|own| {
            let holder = seen_from(own).holder(&passage(work(key)), weight_here(own, key), now);
            match holder {
                Holder::Here => region(own),
                Holder::There(there) => there,
                Holder::Nobody => panic!("nobody holds {key}"),
            }
        });
        assert!(found.iter().all(|holder| *holder == found[0]));
        *held.entry(found[0].clone()).or_default() += 1;
    }
    assert!(held[&region("r")] > held[&region("p")], "more engines hold more parts: {held:?}");
}

// The holder's region is cut off. Its parts are held by another one meanwhile, the same for all who are left.
#[tokio::test(start_paused = true)]
async fn a_region_that_cannot_be_reached_holds_nothing() {
    let now = Instant::now();
    let (mut from_r, mut from_q) = (seen_from("r"), seen_from("q"));
    from_r.ended(&region("p"), "s", Outcome::Unreachable, now);
    from_q.ended(&region("p"), "s", Outcome::Unreachable, now);
    for key in 0..100 {
        let one = from_r.holder(&passage(work(key)), weight_here("r", key), now);
        let other = from_q.holder(&passage(work(key)), weight_here("q", key), now);
        assert_ne!(one, Holder::There(region("p")));
        assert_eq!(one == Holder::Here, other == Holder::There(region("r")), "{key}");
    }
}

// A route's requests may be served in some regions only; a part is held by none but these.
#[tokio::test(start_paused = true)]
async fn a_part_is_held_where_its_requests_may_go() {
    let now = Instant::now();
    let allows = |asked: &id::Region| *asked == region("q");
    for key in 0..20 {
        let passage = Passage { allows: &allows, ..passage(work(key)) };
        assert_eq!(seen_from("r").holder(&passage, None, now), Holder::There(region("q")));
    }
}

#[tokio::test(start_paused = true)]
async fn the_holder_is_asked_first_until_it_is_far_behind() {
    let now = Instant::now();
    let mut regions = seen_from("r");
    let holder = Holder::There(region("p"));
    let first = offers(&regions, work(1), &holder);
    assert_eq!(first[0].region, region("p"));
    assert!(first[0].expected + Duration::from_millis(200) < first[1].expected);
    let wait = |millis| Outlook { wait: Duration::from_millis(millis), running: 0 };
    regions.told(&region("p"), ("s", true), wait(800), now);
    assert_eq!(offers(&regions, work(1), &holder)[0].region, region("p"));
    regions.told(&region("p"), ("s", true), wait(1500), now);
    assert_eq!(offers(&regions, work(1), &holder)[0].region, region("q"));
    let lookup = Work { own: Tokens::new(300), ..Work::default() };
    assert!(offers(&regions, lookup, &Holder::Nobody)[0].expected < Duration::from_millis(250));
}
