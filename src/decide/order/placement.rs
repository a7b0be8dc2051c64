//! Plans which engine should hold which model.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::demand::Demand;
use super::load_rate::LoadRate;
use super::workload::Action;
use super::workload::Engine;
use super::workload::Step;
use super::workload::Workload;
use crate::id;
use crate::unit::Bytes;

/// A workload is short of slots when its utilization exceeds this: above it, waiting times grow steeply.
const SHORTAGE_UTILIZATION: f64 = 0.85;

/// Hysteresis: after a move the donor's utilization must be lower than the recipient's by at least this much, so that
/// small changes of demand don't move the engine back.
const HYSTERESIS: f64 = 0.1;

/// How long a workload must be short of slots before an engine is moved, so that a burst doesn't cause a load.
const MIN_SHORTAGE: Duration = Duration::from_secs(20);

/// How long an engine may take to drain; after that the move is given up.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// How long a load may take before it counts as failed: 200 GB at 0.5 GB/s take 400 s.
const LOAD_TIMEOUT: Duration = Duration::from_secs(900);

/// Plans moves of engines from one workload to another, one engine at a time.
#[derive(Debug)]
pub struct Placement {
    load_rate: LoadRate,
    moves: BTreeMap<id::Upstream, Move>,
    short_since: BTreeMap<Workload, Instant>,
}

#[derive(Debug, Clone)]
struct Move {
    from: Option<Workload>,
    to: Workload,
    since: Instant,
    command_sent: bool,
}

impl Placement {
    /// Creates a placement that loads models within the rate limit.
    pub fn new(load_rate: LoadRate) -> Self {
        Self { load_rate, moves: BTreeMap::new(), short_since: BTreeMap::new() }
    }

    /// The steps to take now. The lease holder calls this about once a second. `sizes` has the known sizes of models'
    /// weights.
    pub fn plan(
        &mut self,
        engines: &[Engine],
        demand: &Demand,
        sizes: &BTreeMap<id::Model, Bytes>,
        now: Instant,
    ) -> Vec<Step> {
        self.update_shortages(engines, demand, now);
        let mut steps = self.continue_moves(engines, demand, sizes, now);
        if let Some((engine, from, to)) = self.next_move(engines, demand, now) {
            let entry = Move { from, to, since: now, command_sent: false };
            self.moves.insert(engine.clone(), entry);
            steps.push(Step::Drain(engine));
        }
        steps
    }

    /// Whether an engine is being moved and must get no new requests from any VM.
    pub fn is_draining(&self, engine: &id::Upstream) -> bool {
        self.moves.contains_key(engine)
    }

    fn continue_moves(
        &mut self,
        engines: &[Engine],
        demand: &Demand,
        sizes: &BTreeMap<id::Model, Bytes>,
        now: Instant,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        // Iterates over a copy: `slots` and `coming` must see all moves until each has been handled.
        for (id, entry) in self.moves.clone() {
            let Some(engine) = engines.iter().find(|engine| engine.id == id) else {
                self.moves.remove(&id);
                continue;
            };
            if self.is_finished(&entry, engine, now)
                || self.is_obsolete(&entry, engines, demand, now)
            {
                self.moves.remove(&id);
                steps.push(Step::Resume(id));
                continue;
            }
            if entry.command_sent || engine.running > 0 || !self.load_rate.is_free(now) {
                continue;
            }
            let action = action(engine, &entry, sizes);
            if let Action::Load { size, .. } = action {
                self.load_rate.begin(size, now);
            }
            steps.push(Step::Command(id.clone(), action));
            self.moves.insert(id, Move { since: now, command_sent: true, ..entry });
        }
        steps
    }

    /// Whether the engine serves its new workload, or the move has timed out.
    fn is_finished(&self, entry: &Move, engine: &Engine, now: Instant) -> bool {
        let limit = if entry.command_sent { LOAD_TIMEOUT } else { DRAIN_TIMEOUT };
        engine.serves(&entry.to) || now.saturating_duration_since(entry.since) >= limit
    }

    /// Whether to give up a move whose command hasn't been sent: the donor now has the higher utilization, or would
    /// lose its last engine because another one has gone.
    fn is_obsolete(&self, entry: &Move, engines: &[Engine], demand: &Demand, now: Instant) -> bool {
        let Some(from) = entry.from.as_ref().filter(|_| !entry.command_sent) else { return false };
        let left = self.slots(from, engines);
        let have = self.slots(&entry.to, engines) + self.coming(&entry.to, engines);
        let worse = demand.slots(from) * have > demand.slots(&entry.to) * left;
        demand.is_in_use(from, now) && (left == 0.0 || worse)
    }

    /// Tracks since when each workload has been short of slots.
    fn update_shortages(&mut self, engines: &[Engine], demand: &Demand, now: Instant) {
        for workload in demand.workloads() {
            let slots = self.slots(workload, engines) + self.coming(workload, engines);
            if demand.slots(workload) > SHORTAGE_UTILIZATION * slots || slots == 0.0 {
                self.short_since.entry(workload.clone()).or_insert(now);
            } else {
                self.short_since.remove(workload);
            }
        }
    }

    /// The next move: an engine for the workload with the highest utilization among those short of slots.
    fn next_move(
        &self,
        engines: &[Engine],
        demand: &Demand,
        now: Instant,
    ) -> Option<(id::Upstream, Option<Workload>, Workload)> {
        let short = self.short_since.iter().filter(|(workload, since)| {
            let none = self.slots(workload, engines) + self.coming(workload, engines) == 0.0;
            let waited = now.saturating_duration_since(**since) >= MIN_SHORTAGE;
            demand.is_in_use(workload, now) && (none || waited)
        });
        let worst = short.max_by(|(a, _), (b, _)| {
            self.utilization(a, engines, demand).total_cmp(&self.utilization(b, engines, demand))
        });
        let (to, _) = worst?;
        if let Some(engine) = self.with_room(to, engines) {
            return Some((engine.id.clone(), None, to.clone()));
        }
        let donors = demand.workloads().filter(|from| *from != to).filter_map(|from| {
            let engine = self.donor(from, to, engines, demand, now)?;
            Some((self.utilization_without(from, engine, engines, demand), from, engine))
        });
        let (_, from, engine) = donors.min_by(|(a, ..), (b, ..)| a.total_cmp(b))?;
        Some((engine.id.clone(), Some(from.clone()), to.clone()))
    }

    /// The least busy engine that can be moved from one workload to the other. The last engine of a workload in use
    /// never is: its requests would fail until the weights are loaded again.
    fn donor<'a>(
        &self,
        from: &Workload,
        to: &Workload,
        engines: &'a [Engine],
        demand: &Demand,
        now: Instant,
    ) -> Option<&'a Engine> {
        let all = self.slots(from, engines);
        let have = self.slots(to, engines) + self.coming(to, engines);
        let serving = engines.iter().filter(|e| e.serves(from) && !self.moves.contains_key(&e.id));
        let spare = serving.filter(|engine| {
            let last = all <= engine.slots_per_model();
            if last {
                return !demand.is_in_use(from, now)
                    && self.other_models_are_held_elsewhere(engine, from, engines);
            }
            let after = demand.slots(to) / (have + engine.slots_per_model());
            let without = self.utilization_without(from, engine, engines, demand);
            (have == 0.0 || without + HYSTERESIS <= after)
                && self.other_models_are_held_elsewhere(engine, from, engines)
        });
        spare.min_by_key(|engine| (engine.running, engine.id.clone()))
    }

    /// A workload's utilization without that engine.
    fn utilization_without(
        &self,
        workload: &Workload,
        engine: &Engine,
        engines: &[Engine],
        demand: &Demand,
    ) -> f64 {
        let left = self.slots(workload, engines) - engine.slots_per_model();
        if left > 0.0 { demand.slots(workload) / left } else { demand.slots(workload) }
    }

    /// Whether other engines hold this engine's other models too; draining it takes it from these as well.
    fn other_models_are_held_elsewhere(
        &self,
        engine: &Engine,
        workload: &Workload,
        engines: &[Engine],
    ) -> bool {
        let others = engine.models.iter().filter(|model| **model != workload.model);
        others.cloned().all(|model| {
            let other = Workload::new(model).with_role(engine.role);
            self.slots(&other, engines) > engine.slots_per_model()
        })
    }

    /// The least busy engine of the role that can load one more model without unloading another.
    fn with_room<'a>(&self, workload: &Workload, engines: &'a [Engine]) -> Option<&'a Engine> {
        let fits = |engine: &&Engine| {
            engine.role == workload.role
                && engine.models.len() < engine.max_models
                && !engine.models.contains(&workload.model)
                && !self.moves.contains_key(&engine.id)
                && engine.models.iter().cloned().all(|model| {
                    let other = Workload::new(model).with_role(engine.role);
                    self.slots(&other, engines) > engine.slots_per_model()
                })
        };
        engines.iter().filter(fits).min_by_key(|engine| (engine.running, engine.id.clone()))
    }

    /// The slots that serve a workload, without engines that are being moved.
    fn slots(&self, workload: &Workload, engines: &[Engine]) -> f64 {
        let serving =
            engines.iter().filter(|e| e.serves(workload) && !self.moves.contains_key(&e.id));
        serving.map(Engine::slots_per_model).sum()
    }

    /// The slots of engines that are being moved to a workload.
    fn coming(&self, workload: &Workload, engines: &[Engine]) -> f64 {
        let moving = |e: &&Engine| self.moves.get(&e.id).is_some_and(|entry| entry.to == *workload);
        engines.iter().filter(moving).map(Engine::slots_per_model).sum()
    }

    fn utilization(&self, workload: &Workload, engines: &[Engine], demand: &Demand) -> f64 {
        demand.slots(workload) / self.slots(workload, engines).max(0.01)
    }
}

fn action(engine: &Engine, entry: &Move, sizes: &BTreeMap<id::Model, Bytes>) -> Action {
    let model = entry.to.model.clone();
    if engine.models.contains(&model) {
        return Action::ChangeRole { role: entry.to.role };
    }
    let full = engine.models.len() >= engine.max_models;
    let unload = entry.from.as_ref().map(|from| from.model.clone()).filter(|_| full);
    let size = sizes.get(&model).copied().unwrap_or(UNKNOWN_SIZE);
    Action::Load { model, unload, size }
}

/// The size assumed for weights of unknown size: some 15 billion parameters of two bytes.
const UNKNOWN_SIZE: Bytes = Bytes::new(30_000_000_000);
