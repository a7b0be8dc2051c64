//! What the parts of one fake share.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::cache::Cache;
use crate::fault::Fault;
use crate::order::Order;
use crate::order::Task;
use crate::run::Log;
use crate::settings::Settings;
use crate::slots::Slots;

/// Load reports that are kept to show old ones.
const KEPT_LOADS: usize = 4096;

/// A load report.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Load {
    sequence: u64,
    running: usize,
    waiting: usize,
    slots: usize,
    kv_used: f64,
}

/// What changes while it runs.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) models: Vec<String>,
    pub(crate) role: String,
    pub(crate) fence: u64,
    pub(crate) orders: Vec<Order>,
    pub(crate) faults: VecDeque<Fault>,
    pub(crate) refuses: bool,
    pub(crate) slowdown: f64,
    pub(crate) cache: Cache,
    /// Connections with a lower number are silent.
    pub(crate) silent_below: u64,
    loads: VecDeque<(Instant, Load)>,
}

/// What the parts of one fake share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) log: Arc<Log>,
    pub(crate) crash: Notify,
    pub(crate) restart: Notify,
    inner: Mutex<(Inner, Arc<Slots>)>,
}

impl State {
    pub(crate) fn new(settings: Settings) -> Self {
        let inner = Inner {
            incarnation: settings.incarnation,
            sequence: 0,
            models: settings.models.clone(),
            role: "mixed".to_owned(),
            fence: 0,
            orders: Vec::new(),
            faults: VecDeque::new(),
            refuses: false,
            slowdown: 1.0,
            cache: Cache::new(settings.cache_size, settings.event_gap),
            silent_below: 0,
            loads: VecDeque::new(),
        };
        let slots = Arc::new(Slots::new(settings.slots));
        Self {
            settings,
            log: Arc::default(),
            crash: Notify::new(),
            restart: Notify::new(),
            inner: Mutex::new((inner, slots)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, (Inner, Arc<Slots>)> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        act(&mut self.lock().0)
    }

    pub(crate) fn slots(&self) -> Arc<Slots> {
        Arc::clone(&self.lock().1)
    }

    /// Forgets what a process that dies forgets, and counts the next start.
    pub(crate) fn reborn(&self) {
        let mut lock = self.lock();
        let (inner, slots) = &mut *lock;
        inner.incarnation += 1;
        inner.sequence = 0;
        inner.fence = 0;
        inner.models = self.settings.models.clone();
        inner.cache = Cache::new(self.settings.cache_size, self.settings.event_gap);
        inner.loads.clear();
        *slots = Arc::new(Slots::new(self.settings.slots));
    }

    /// Notes the load after a change.
    pub(crate) fn note_load(&self) {
        let mut lock = self.lock();
        let (inner, slots) = &mut *lock;
        let (running, waiting) = slots.load();
        let sequence = inner.loads.back().map_or(1, |(_, load)| load.sequence + 1);
        let kv_used = inner.cache.used();
        let load = Load { sequence, running, waiting, slots: self.settings.slots, kv_used };
        inner.loads.push_back((Instant::now(), load));
        if inner.loads.len() > KEPT_LOADS {
            inner.loads.pop_front();
        }
    }

    /// The newest load report that is old enough to be seen.
    pub(crate) fn load(&self) -> Load {
        let lock = self.lock();
        let now = Instant::now();
        let old = |(at, _): &&(Instant, Load)| now >= *at + self.settings.load_lag;
        let seen = lock.0.loads.iter().rev().find(old).map(|(_, load)| load.clone());
        let slots = self.settings.slots;
        seen.unwrap_or(Load { sequence: 0, running: 0, waiting: 0, slots, kv_used: 0.0 })
    }

    /// The fault of the next request, if one was asked for.
    pub(crate) fn fault(&self, prompt: &str) -> Option<Fault> {
        self.with(|inner| {
            let refuses = inner.refuses.then_some(Fault::Refuse);
            refuses.or_else(|| inner.faults.pop_front())
        })
        .or_else(|| Fault::of_prompt(prompt))
    }

    /// Whether a connection is to be silent.
    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        self.with(|inner| connection < inner.silent_below)
    }

    /// Whether the order's fencing number is in order; an engine that doesn't check takes any.
    pub(crate) fn admit(&self, order: &Order) -> bool {
        self.with(|inner| {
            if self.settings.checks_fencing && order.fence < inner.fence {
                return false;
            }
            inner.fence = inner.fence.max(order.fence);
            inner.orders.push(order.clone());
            true
        })
    }

    pub(crate) fn carry_out(&self, order: &Order) {
        self.with(|inner| match order.kind {
            Task::Load if !inner.models.contains(&order.model) => {
                inner.models.push(order.model.clone());
            }
            Task::Load => {}
            Task::Unload => inner.models.retain(|model| *model != order.model),
            Task::Role => inner.role.clone_from(&order.model),
        });
    }
}
