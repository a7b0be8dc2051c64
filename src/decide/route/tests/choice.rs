use std::collections::HashSet;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use yare::parameterized;

use super::names::announcement;
use super::names::engine;
use super::names::model;
use crate::catalogue::Class;
use crate::decide::route::Facts;
use crate::decide::route::Outcome;
use crate::decide::route::Route;
use crate::decide::route::ejection;
use crate::unit::Incarnation;
use crate::unit::Slots;
use crate::upstream::Kind;
use crate::upstream::Role;

fn route(engines: usize, now: Instant) -> Route {
    let mut route = Route::new(&"vm-1".parse().unwrap());
    (0..engines).for_each(|number| route.announced(&announcement(number, 4), now));
    route
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn fail(route: &mut Route, number: usize, times: u32, now: Instant) {
    let model = model();
    for _ in 0..times {
        route.sent(&engine(number), now);
        let facts = Facts::new(&model, Class::Short);
        route.finished(&engine(number), &facts, Outcome::Failed, Duration::from_millis(5), now);
    }
}

#[parameterized(
    fits = { "storm", None, Role::Mixed, Kind::Engine, true },
    other_model = { "mandate", None, Role::Mixed, Kind::Engine, false },
    adapter_held = { "storm", Some("hail"), Role::Mixed, Kind::Engine, true },
    adapter_missing = { "storm", Some("fog"), Role::Mixed, Kind::Engine, false },
    other_role = { "storm", None, Role::Decode, Kind::Engine, false },
    service = { "siren", None, Role::Mixed, Kind::Service, true },
    service_asked_as_engine = { "siren", None, Role::Mixed, Kind::Engine, false },
)]
fn only_what_fits(model: &str, adapter: Option<&str>, role: Role, kind: Kind, found: bool) {
    let now = Instant::now();
    let mut route = Route::new(&"vm-1".parse().unwrap());
    let mut first = announcement(0, 4);
    first.adapters.insert("hail".parse().unwrap());
    let mut second = announcement(1, 4);
    second.kind = Kind::Service;
    second.models = ["siren".parse().unwrap()].into();
    route.announced(&first, now);
    route.announced(&second, now);
    let (model, adapter) = (model.parse().unwrap(), adapter.map(|a| a.parse().unwrap()));
    let mut facts = Facts::new(&model, Class::Short).with_kind(kind);
    facts.adapter = adapter.as_ref();
    facts.role = role;
    assert_eq!(route.pick(&facts, now, &mut rng()).is_some(), found);
    assert_eq!(route.is_servable(&facts), found);
}

// Every upstream fails at once, by a fault that all share. Were all ejected, callers would get nothing until
// the ejections end, though the fault may be gone in a second.
#[test]
fn never_all_are_ejected() {
    let now = Instant::now();
    for engines in 1..6 {
        let mut route = route(engines, now);
        (0..engines).for_each(|number| fail(&mut route, number, 20, now));
        let ejected = (0..engines).filter(|&number| route.is_ejected(&engine(number), now)).count();
        assert_eq!(ejected, engines / 2);
        let model = model();
        let picked = route.pick(&Facts::new(&model, Class::Short), now, &mut rng());
        assert!(!route.is_ejected(&picked.unwrap(), now));
    }
}

// The healthy upstream leaves while the other is ejected: the ejected one is the only one left, and is used.
#[test]
fn an_ejected_upstream_is_better_than_none() {
    let now = Instant::now();
    let mut route = route(2, now);
    fail(&mut route, 0, 5, now);
    route.removed(&engine(1));
    let model = model();
    assert_eq!(route.pick(&Facts::new(&model, Class::Short), now, &mut rng()), Some(engine(0)));
}

// A dead upstream comes back from its ejection: the first failed request must end its trial, not the fifth.
#[test]
fn one_failure_after_an_ejection_ejects_for_twice_as_long() {
    let now = Instant::now();
    let mut route = route(3, now);
    fail(&mut route, 0, ejection::FAILURES, now);
    let back = now + ejection::FIRST;
    assert!(!route.is_ejected(&engine(0), back));
    fail(&mut route, 0, 1, back);
    assert!(route.is_ejected(&engine(0), back + ejection::FIRST * 2 - Duration::from_millis(1)));
    assert!(!route.is_ejected(&engine(0), back + ejection::FIRST * 2));
}

#[test]
fn full_upstreams_get_nothing_more() {
    let now = Instant::now();
    let mut route = route(1, now);
    let (model, mut rng) = (model(), rng());
    let facts = Facts::new(&model, Class::Short);
    route.leased(&engine(0), Slots::new(2));
    for _ in 0..2 {
        assert!(route.pick(&facts, now, &mut rng).is_some());
        route.sent(&engine(0), now);
    }
    assert_eq!(route.pick(&facts, now, &mut rng), None);
    route.finished(&engine(0), &facts, Outcome::Answered, Duration::from_secs(1), now);
    assert!(route.pick(&facts, now, &mut rng).is_some());
}

#[test]
fn a_draining_upstream_gets_nothing() {
    let now = Instant::now();
    let mut route = route(2, now);
    let (model, mut rng) = (model(), rng());
    let facts = Facts::new(&model, Class::Short);
    route.drained(&engine(0), true);
    (0..20).for_each(|_| assert_eq!(route.pick(&facts, now, &mut rng), Some(engine(1))));
    route.drained(&engine(1), true);
    assert_eq!(route.pick(&facts, now, &mut rng), None);
    route.drained(&engine(0), false);
    assert_eq!(route.pick(&facts, now, &mut rng), Some(engine(0)));
}

// An upstream leaves with a request in progress and starts again at once: the old request still takes a slot of
// this VM's count until it ends, and the new start is picked as any other.
#[test]
fn leaving_and_coming_back() {
    let now = Instant::now();
    let mut route = route(1, now);
    let (model, mut rng) = (model(), rng());
    let facts = Facts::new(&model, Class::Short);
    route.sent(&engine(0), now);
    route.removed(&engine(0));
    assert_eq!(route.pick(&facts, now, &mut rng), None);
    let mut again = announcement(0, 4);
    again.incarnation = Incarnation::new(2);
    route.announced(&again, now);
    assert_eq!(route.pick(&facts, now, &mut rng), Some(engine(0)));
    route.finished(&engine(0), &facts, Outcome::Answered, Duration::from_secs(1), now);
    route.removed(&engine(0));
    assert!(!route.is_servable(&facts));
}

// An upstream holds two models, and requests for both wait: what this VM asks of its host is the sum. Each waiting
// request asks for a slot on two upstreams where there are two, and once on the only one.
#[test]
fn demand_counts_what_runs_and_what_waits() {
    let now = Instant::now();
    let mut route = Route::new(&"vm-1".parse().unwrap());
    let mut both = announcement(0, 8);
    both.models.insert("hail".parse().unwrap());
    route.announced(&both, now);
    route.announced(&announcement(1, 8), now);
    route.sent(&engine(0), now);
    let waiting = [(model(), 4), ("hail".parse().unwrap(), 1)].into();
    let demand = route.demand(&waiting, now);
    let wanted = demand.iter().map(|demand| (demand.running.get(), demand.wanted.get()));
    assert_eq!(wanted.collect::<Vec<_>>(), [(1, 6), (0, 4)]);
}

// In a large region each VM picks from its own subset, and yet each upstream is picked by some VM.
#[test]
fn subsets_cover_a_large_region() {
    let now = Instant::now();
    let mut picked = HashSet::new();
    let (model, mut rng) = (model(), rng());
    for vm in 0..117 {
        let mut route = Route::new(&format!("vm-{vm}").parse().unwrap());
        (0..283).for_each(|number| route.announced(&announcement(number, 4), now));
        let mut own = HashSet::new();
        for _ in 0..300 {
            own.extend(route.pick(&Facts::new(&model, Class::Short), now, &mut rng));
        }
        assert!(own.len() <= super::super::FOLLOWED);
        picked.extend(own);
    }
    assert_eq!(picked.len(), 283);
}
