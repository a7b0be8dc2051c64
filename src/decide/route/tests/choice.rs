use std::collections::HashSet;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use yare::parameterized;

use super::fixtures::announcement;
use super::fixtures::engine;
use super::fixtures::model;
use crate::catalogue::Class;
use crate::decide::route::Criteria;
use crate::decide::route::Outcome;
use crate::decide::route::Router;
use crate::decide::route::ejection;
use crate::unit::Incarnation;
use crate::unit::Slots;
use crate::upstream::Kind;
use crate::upstream::Role;

fn router(engines: usize, now: Instant) -> Router {
    let mut router = Router::new(&"vm-1".parse().unwrap());
    (0..engines).for_each(|number| router.update_announcement(&announcement(number, 4), now));
    router
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn fail(router: &mut Router, number: usize, times: u32, now: Instant) {
    let model = model();
    for _ in 0..times {
        router.start_attempt(&engine(number), now);
        let criteria = Criteria::new(&model, Class::Short);
        router.finish_attempt(
            &engine(number),
            &criteria,
            Outcome::Failed,
            Duration::from_millis(5),
            now,
        );
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
    let mut router = Router::new(&"vm-1".parse().unwrap());
    let mut first = announcement(0, 4);
    first.adapters.insert("hail".parse().unwrap());
    let mut second = announcement(1, 4);
    second.kind = Kind::Service;
    second.models = ["siren".parse().unwrap()].into();
    router.update_announcement(&first, now);
    router.update_announcement(&second, now);
    let (model, adapter) = (model.parse().unwrap(), adapter.map(|a| a.parse().unwrap()));
    let mut criteria = Criteria::new(&model, Class::Short).with_kind(kind);
    criteria.adapter = adapter.as_ref();
    criteria.role = role;
    assert_eq!(router.pick(&criteria, now, &mut rng()).is_some(), found);
    assert_eq!(router.is_servable(&criteria), found);
}

// Guards against ejecting every upstream because of a shared fault, which leaves callers without
// any.
#[test]
fn never_all_are_ejected() {
    let now = Instant::now();
    for engines in 1..6 {
        let mut router = router(engines, now);
        (0..engines).for_each(|number| fail(&mut router, number, 20, now));
        let ejected =
            (0..engines).filter(|&number| router.is_ejected(&engine(number), now)).count();
        assert_eq!(ejected, engines / 2);
        let model = model();
        let picked = router.pick(&Criteria::new(&model, Class::Short), now, &mut rng());
        assert!(!router.is_ejected(&picked.unwrap(), now));
    }
}

// Guards against refusing requests although the ejected upstream is the only one left.
#[test]
fn an_ejected_upstream_is_better_than_none() {
    let now = Instant::now();
    let mut router = router(2, now);
    fail(&mut router, 0, 5, now);
    router.remove(&engine(1));
    let model = model();
    assert_eq!(router.pick(&Criteria::new(&model, Class::Short), now, &mut rng()), Some(engine(0)));
}

// Guards against sending several requests to a dead upstream after each ejection.
#[test]
fn one_failure_after_an_ejection_ejects_for_twice_as_long() {
    let now = Instant::now();
    let mut router = router(3, now);
    fail(&mut router, 0, ejection::MAX_CONSECUTIVE_FAILURES, now);
    let back = now + ejection::BASE_DURATION;
    assert!(!router.is_ejected(&engine(0), back));
    fail(&mut router, 0, 1, back);
    assert!(
        router
            .is_ejected(&engine(0), back + ejection::BASE_DURATION * 2 - Duration::from_millis(1))
    );
    assert!(!router.is_ejected(&engine(0), back + ejection::BASE_DURATION * 2));
}

#[test]
fn full_upstreams_get_nothing_more() {
    let now = Instant::now();
    let mut router = router(1, now);
    let (model, mut rng) = (model(), rng());
    let criteria = Criteria::new(&model, Class::Short);
    router.set_leased_slots(&engine(0), Slots::new(2));
    for _ in 0..2 {
        assert!(router.pick(&criteria, now, &mut rng).is_some());
        router.start_attempt(&engine(0), now);
    }
    assert_eq!(router.pick(&criteria, now, &mut rng), None);
    router.finish_attempt(&engine(0), &criteria, Outcome::Answered, Duration::from_secs(1), now);
    assert!(router.pick(&criteria, now, &mut rng).is_some());
}

#[test]
fn a_draining_upstream_gets_nothing() {
    let now = Instant::now();
    let mut router = router(2, now);
    let (model, mut rng) = (model(), rng());
    let criteria = Criteria::new(&model, Class::Short);
    router.set_draining(&engine(0), true);
    (0..20).for_each(|_| assert_eq!(router.pick(&criteria, now, &mut rng), Some(engine(1))));
    router.set_draining(&engine(1), true);
    assert_eq!(router.pick(&criteria, now, &mut rng), None);
    router.set_draining(&engine(0), false);
    assert_eq!(router.pick(&criteria, now, &mut rng), Some(engine(0)));
}

// Guards against losing count of a request that is still running when its upstream restarts.
#[test]
fn leaving_and_coming_back() {
    let now = Instant::now();
    let mut router = router(1, now);
    let (model, mut rng) = (model(), rng());
    let criteria = Criteria::new(&model, Class::Short);
    router.start_attempt(&engine(0), now);
    router.remove(&engine(0));
    assert_eq!(router.pick(&criteria, now, &mut rng), None);
    let mut again = announcement(0, 4);
    again.incarnation = Incarnation::new(2);
    router.update_announcement(&again, now);
    assert_eq!(router.pick(&criteria, now, &mut rng), Some(engine(0)));
    router.finish_attempt(&engine(0), &criteria, Outcome::Answered, Duration::from_secs(1), now);
    router.remove(&engine(0));
    assert!(!router.is_servable(&criteria));
}

// Guards against demand that ignores one of an upstream's models, or counts a request twice on the
// same upstream.
#[test]
fn demand_counts_what_runs_and_what_waits() {
    let now = Instant::now();
    let mut router = Router::new(&"vm-1".parse().unwrap());
    let mut both = announcement(0, 8);
    both.models.insert("hail".parse().unwrap());
    router.update_announcement(&both, now);
    router.update_announcement(&announcement(1, 8), now);
    router.start_attempt(&engine(0), now);
    let waiting = [(model(), 4), ("hail".parse().unwrap(), 1)].into();
    let demand = router.demand(&waiting, now);
    let wanted = demand.iter().map(|demand| (demand.running.get(), demand.wanted.get()));
    assert_eq!(wanted.collect::<Vec<_>>(), [(1, 6), (0, 4)]);
}

// Guards against upstreams that are in no VM's subset.
#[test]
fn subsets_cover_a_large_region() {
    let now = Instant::now();
    let mut picked = HashSet::new();
    let (model, mut rng) = (model(), rng());
    for vm in 0..117 {
        let mut router = Router::new(&format!("vm-{vm}").parse().unwrap());
        (0..283).for_each(|number| router.update_announcement(&announcement(number, 4), now));
        let mut own = HashSet::new();
        for _ in 0..300 {
            own.extend(router.pick(&Criteria::new(&model, Class::Short), now, &mut rng));
        }
        assert!(own.len() <= super::super::SUBSET_SIZE);
        picked.extend(own);
    }
    assert_eq!(picked.len(), 283);
}
