use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use yare::parameterized;

use crate::decide::order::Action;
use crate::decide::order::Demand;
use crate::decide::order::Engine;
use crate::decide::order::IN_USE_WINDOW;
use crate::decide::order::LoadRate;
use crate::decide::order::Placement;
use crate::decide::order::Step;
use crate::decide::order::Workload;
use crate::id;
use crate::unit::Bytes;
use crate::unit::Rate;
use crate::unit::Slots;
use crate::upstream::Role;

const GIGABYTE: u64 = 1_000_000_000;
const LOAD_SECONDS: u64 = 60;

fn workload(name: &str) -> Workload {
    Workload::new(name.parse().unwrap())
}

fn engine(number: usize, model: &str) -> Engine {
    Engine {
        id: format!("engine-{number}").parse().unwrap(),
        slots: Slots::new(4),
        models: [model.parse().unwrap()].into(),
        role: Role::Mixed,
        max_models: 1,
        running: 0,
    }
}

/// A simulated region whose engines execute every command, with the demand served.
struct Region {
    engines: Vec<Engine>,
    /// Loads in progress, with the seconds left at the store's full rate.
    loading: BTreeMap<id::Upstream, (id::Model, f64)>,
    demand: Demand,
    placement: Placement,
    start: Instant,
    now: Instant,
    loads: usize,
    max_concurrent_loads: usize,
    /// Slot-seconds requested, and the part of them that was served.
    requested: f64,
    served: f64,
    unserved_models: usize,
}

impl Region {
    fn new(engines: Vec<Engine>) -> Self {
        let now = Instant::now();
        let rate = Rate::per_second((30 * GIGABYTE / LOAD_SECONDS) as f64);
        Self {
            engines,
            loading: BTreeMap::new(),
            demand: Demand::new(),
            placement: Placement::new(LoadRate::new(rate)),
            start: now,
            now,
            loads: 0,
            max_concurrent_loads: 0,
            requested: 0.0,
            served: 0.0,
            unserved_models: 0,
        }
    }

    /// Simulates one second with that demand in slots for each model.
    fn second(&mut self, demand: &[(&str, f64)], planned: bool) {
        self.now += Duration::from_secs(1);
        self.advance_loads();
        for &(model, slots) in demand {
            self.demand.observe(&workload(model), slots, self.now);
            let placement = &self.placement;
            let serving = self.engines.iter().filter(|e| {
                e.serves(&workload(model))
                    && !placement.is_draining(&e.id)
                    && !self.loading.contains_key(&e.id)
            });
            let have: f64 = serving.map(Engine::slots_per_model).sum();
            self.requested += slots;
            self.served += slots.min(have);
            self.unserved_models += usize::from(slots > 0.0 && have == 0.0);
        }
        let steps = if planned {
            self.placement.plan(&self.engines, &self.demand, &BTreeMap::new(), self.now)
        } else {
            self.greedy(demand)
        };
        for step in steps {
            if let Step::Command(id, Action::Load { model, size, .. }) = step {
                assert!(size <= Bytes::new(30 * GIGABYTE));
                self.loading.insert(id, (model, LOAD_SECONDS as f64));
                self.loads += 1;
            }
        }
        self.max_concurrent_loads = self.max_concurrent_loads.max(self.loading.len());
    }

    /// Advances the loads by one second; they share the store's rate.
    fn advance_loads(&mut self) {
        let each = 1.0 / self.loading.len().max(1) as f64;
        let engines = &mut self.engines;
        self.loading.retain(|id, (model, left)| {
            *left -= each;
            let engine = engines.iter_mut().find(|engine| engine.id == *id);
            if let Some(engine) = engine.filter(|_| *left <= 1e-9) {
                engine.models = [model.clone()].into();
            }
            *left > 1e-9
        });
    }

    /// Baseline: moves an engine from the least to the most utilized model at once.
    fn greedy(&self, demand: &[(&str, f64)]) -> Vec<Step> {
        let free = |e: &&Engine| !self.loading.contains_key(&e.id);
        let have = |model: &str| -> f64 {
            let serving = self.engines.iter().filter(free).filter(|e| e.serves(&workload(model)));
            serving.map(Engine::slots_per_model).sum()
        };
        let ratio = |&(model, slots): &(&str, f64)| slots / f64::max(have(model), 0.01);
        let worst = demand.iter().max_by(|a, b| ratio(a).total_cmp(&ratio(b)));
        let idlest = demand.iter().min_by(|a, b| ratio(a).total_cmp(&ratio(b)));
        let (Some(worst), Some(idlest)) = (worst, idlest) else { return Vec::new() };
        if ratio(worst) <= 0.85 || worst.0 == idlest.0 {
            return Vec::new();
        }
        let donor = self.engines.iter().filter(free).find(|e| e.serves(&workload(idlest.0)));
        let load = Action::Load {
            model: worst.0.parse().unwrap(),
            unload: None,
            size: Bytes::new(30 * GIGABYTE),
        };
        donor.map(|engine| Step::Command(engine.id.clone(), load)).into_iter().collect()
    }
}

fn twelve_engines() -> Vec<Engine> {
    let models = ["storm", "storm", "lookup", "lookup", "draft", "draft"];
    (0..12).map(|number| engine(number, models[number % 6])).collect()
}

/// Storm's demand triples in the second hour; all demand fluctuates within seconds.
fn demand_at(second: u64) -> [(&'static str, f64); 3] {
    let storm = if (3_600..7_200).contains(&second) { 24.0 } else { 8.0 };
    let fluctuation = if (second / 7).is_multiple_of(2) { 4.0 } else { -4.0 };
    [("storm", storm + fluctuation), ("lookup", 8.0 - fluctuation), ("draft", 6.0)]
}

// Guards against a placement that ignores a lasting change of demand, or reloads weights at each fluctuation.
#[test]
fn placement_follows_demand_and_not_its_fluctuation() {
    let run = |policy: &str| {
        let mut region = Region::new(twelve_engines());
        for second in 0..10_800 {
            match policy {
                "fixed" => region.second(&demand_at(second), false),
                _ => region.second(&demand_at(second), policy == "planned"),
            }
            if policy == "fixed" {
                region.loading.clear();
                region.loads = 0;
            }
        }
        let share = region.served / region.requested;
        println!(
            "| placement | {policy} | {:.1}% | {} | {} |",
            share * 100.0,
            region.loads,
            region.unserved_models
        );
        assert!(region.now > region.start);
        (share, region.loads, region.unserved_models)
    };
    let (planned, fixed, greedy) = (run("planned"), run("fixed"), run("greedy"));
    assert!(planned.0 > fixed.0 && planned.0 > greedy.0);
    assert!(planned.1 <= 12 && planned.1 * 10 < greedy.1);
    assert_eq!(planned.2, 0);
}

// Guards against concurrent loads, which would all be slowed by the store's rate limit.
#[test]
fn loads_run_one_after_the_other() {
    let mut region = Region::new((0..12).map(|number| engine(number, "storm")).collect());
    for _ in 0..600 {
        region.second(&[("storm", 4.0), ("a", 3.0), ("b", 3.0), ("c", 3.0), ("d", 3.0)], true);
    }
    assert_eq!((region.loads, region.max_concurrent_loads), (4, 1));
    for model in ["a", "b", "c", "d"] {
        assert!(region.engines.iter().any(|engine| engine.serves(&workload(model))));
    }
}

// Guards against unloading a model's last engine while the model is in use.
#[parameterized(used = { 0.1, 0 }, unused = { 0.0, 1 })]
fn the_last_engine_of_a_model_in_use_is_kept(lookups: f64, loads: usize) {
    let mut region = Region::new(vec![engine(0, "storm"), engine(1, "lookup")]);
    if loads > 0 {
        // The model has had no requests for over an hour.
        region.demand.observe(&workload("lookup"), 0.0, region.now);
        region.now += IN_USE_WINDOW;
    }
    for _ in 0..1_200 {
        region.second(&[("storm", 9.0), ("lookup", lookups)], true);
    }
    assert_eq!(region.loads, loads);
}

// Guards against aborting running requests: the command is sent once they have ended, or the move is given up.
#[parameterized(ends = { 100, true }, goes_on = { 10_000, false })]
fn an_engine_is_drained_first(ends_after: u64, command_sent: bool) {
    let mut engines: Vec<Engine> = (0..3).map(|number| engine(number, "storm")).collect();
    engines.iter_mut().for_each(|engine| engine.running = 1);
    let (mut demand, mut now) = (Demand::new(), Instant::now());
    let mut placement = Placement::new(LoadRate::new(Rate::per_second(GIGABYTE as f64)));
    let mut steps = Vec::new();
    for second in 0..650 {
        now += Duration::from_secs(1);
        demand.observe(&workload("storm"), 1.0, now);
        demand.observe(&workload("lookup"), 1.0, now);
        engines.iter_mut().for_each(|engine| engine.running = u32::from(second < ends_after));
        steps.extend(placement.plan(&engines, &demand, &BTreeMap::new(), now));
    }
    assert!(matches!(steps[0], Step::Drain(_)));
    assert_eq!(steps.iter().any(|step| matches!(step, Step::Command(..))), command_sent);
    assert_eq!(steps.iter().any(|step| matches!(step, Step::Resume(_))), !command_sent);
}

// Guards against leaving engines in an idle role while another role of the same model is overloaded.
#[test]
fn roles_follow_demand() {
    let (prefill, decode) =
        (workload("storm").with_role(Role::Prefill), workload("storm").with_role(Role::Decode));
    let mut engines: Vec<Engine> = (0..4).map(|number| engine(number, "storm")).collect();
    engines.iter_mut().enumerate().for_each(|(number, engine)| {
        engine.role = if number < 3 { Role::Prefill } else { Role::Decode };
    });
    let (mut demand, mut now, mut steps) = (Demand::new(), Instant::now(), Vec::new());
    let mut placement = Placement::new(LoadRate::new(Rate::per_second(1.0)));
    for _ in 0..120 {
        now += Duration::from_secs(1);
        demand.observe(&prefill, 2.0, now);
        demand.observe(&decode, 6.0, now);
        steps.extend(placement.plan(&engines, &demand, &BTreeMap::new(), now));
    }
    let changed =
        |step: &Step| matches!(step, Step::Command(_, Action::ChangeRole { role: Role::Decode }));
    assert!(steps.iter().any(changed));
}
