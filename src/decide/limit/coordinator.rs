//! Coordinator of an entry's limits.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue::Limits;
use crate::decide::limit::Demand;
use crate::decide::limit::GRANT_TTL;
use crate::decide::limit::Grant;
use crate::decide::limit::MAX_CLOCK_DRIFT;
use crate::id;
use crate::unit::Rate;

/// Fraction of a limit that is not leased but split equally among the VMs, so that each can serve
/// first requests without asking and continue without a lease.
const BASE_FRACTION: f64 = 0.1;

/// The share that every VM may use without a lease.
pub fn base_share(limits: &Limits, vms: usize) -> Limits {
    let part = BASE_FRACTION / vms.max(1) as f64;
    Limits {
        requests: Rate::per_second(limits.requests.get() * part),
        tokens: Rate::per_second(limits.tokens.get() * part),
        concurrency: (f64::from(limits.concurrency) * part) as u32,
    }
}

/// The equal share of a VM. It allows at least one request, so that small limits don't stop a
/// disconnected VM.
pub fn equal_share(limits: &Limits, vms: usize) -> Limits {
    let vms = vms.max(1);
    Limits {
        requests: Rate::per_second(limits.requests.get() / vms as f64),
        tokens: Rate::per_second(limits.tokens.get() / vms as f64),
        concurrency: (limits.concurrency / vms as u32).max(1),
    }
}

/// A grant that may be in use.
#[derive(Debug, Clone, Copy)]
struct Lease {
    seq: u64,
    share: Limits,
    received_at: Instant,
}

/// A VM's grants and its last demand.
#[derive(Debug, Clone)]
struct Holder {
    leases: Vec<Lease>,
    seq: u64,
    wanted: Limits,
    running: u32,
    received_at: Instant,
}

/// The grants of one entry.
#[derive(Debug)]
pub struct Coordinator {
    limits: Limits,
    base_share: Limits,
    vms: usize,
    longest: Duration,
    since: Instant,
    holders: BTreeMap<id::Vm, Holder>,
}

impl Coordinator {
    /// Creates the coordinator of an entry with these limits among `vms` VMs, whose requests run no
    /// longer than `longest`.
    ///
    /// `since` is when this VM took over. The grants of a previous coordinator are unknown here, so
    /// until they expire each VM is granted what it already holds, which keeps the sum unchanged.
    /// An entry that is first used later needs no such period.
    pub fn new(limits: Limits, vms: usize, longest: Duration, since: Instant) -> Self {
        let base_share = base_share(&limits, vms);
        Self { limits, base_share, vms, longest, since, holders: BTreeMap::new() }
    }

    /// Changes the limits, which apply to the next grants.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.base_share = base_share(&limits, self.vms);
    }

    /// Answers a demand; returns `None` if a later one of that VM was already answered.
    pub fn handle_demand(&mut self, demand: &Demand, now: Instant) -> Option<Grant> {
        let longest = GRANT_TTL + MAX_CLOCK_DRIFT + self.longest;
        self.holders.retain(|_, holder| now < holder.received_at + longest);
        self.record_demand(demand, now)?;
        let share = if now < self.since + GRANT_TTL + MAX_CLOCK_DRIFT {
            demand.held
        } else {
            let available = self.available(&demand.vm, now);
            let share = smaller(&self.fair_share(&demand.wanted, now), &available);
            // If the limit is smaller than the number of VMs, each whole unit goes to the first VM
            // to ask.
            Limits { concurrency: share.concurrency.max(1).min(available.concurrency), ..share }
        };
        let share = larger(&share, &self.base_share);
        let holder = self.holders.get_mut(&demand.vm)?;
        holder.leases.push(Lease { seq: demand.seq, share, received_at: now });
        Some(Grant { entry: demand.entry.clone(), seq: demand.seq, share })
    }

    /// Records a demand, unless a later one was recorded before.
    ///
    /// The VM uses the last grant that it received or the answer to this demand. An earlier grant
    /// counts as held until the VM confirms a later one.
    fn record_demand(&mut self, demand: &Demand, now: Instant) -> Option<()> {
        let holder = self.holders.entry(demand.vm.clone()).or_insert_with(|| Holder {
            leases: Vec::new(),
            seq: 0,
            wanted: demand.wanted,
            running: 0,
            received_at: now,
        });
        if demand.seq <= holder.seq {
            return None;
        }
        holder.leases.retain(|lease| {
            lease.seq == demand.taken && now < lease.received_at + GRANT_TTL + MAX_CLOCK_DRIFT
        });
        holder.seq = demand.seq;
        holder.wanted = demand.wanted;
        holder.running = demand.running;
        holder.received_at = now;
        Some(())
    }

    /// What no other VM may be using.
    fn available(&self, vm: &id::Vm, now: Instant) -> Limits {
        let others = self.holders.iter().filter(|(other, _)| *other != vm);
        let unknown_vms = self.vms.saturating_sub(1 + others.clone().count());
        let mut held = scaled(&self.base_share, unknown_vms);
        for (_, holder) in others {
            held = sum(&held, &self.held(holder, now));
        }
        Limits {
            requests: Rate::per_second(self.limits.requests.get() - held.requests.get()),
            tokens: Rate::per_second(self.limits.tokens.get() - held.tokens.get()),
            concurrency: self.limits.concurrency.saturating_sub(held.concurrency),
        }
    }

    /// The most that a VM may be using: its base share or any unexpired lease.
    ///
    /// Requests that it started may outlast the lease.
    fn held(&self, holder: &Holder, now: Instant) -> Limits {
        let valid = holder
            .leases
            .iter()
            .filter(|lease| now < lease.received_at + GRANT_TTL + MAX_CLOCK_DRIFT);
        let most = valid.fold(self.base_share, |most, lease| larger(&most, &lease.share));
        Limits { concurrency: most.concurrency.max(holder.running), ..most }
    }

    /// The max-min fair share for a VM with this demand.
    ///
    /// VMs without demand count with their base share; otherwise the first VM to ask would get
    /// everything, and the next ones would be refused until it had returned some.
    fn fair_share(&self, wanted: &Limits, now: Instant) -> Limits {
        let active = self
            .holders
            .values()
            .filter(|holder| now < holder.received_at + GRANT_TTL + MAX_CLOCK_DRIFT);
        let mut wants: Vec<Limits> =
            active.map(|holder| larger(&holder.wanted, &self.base_share)).collect();
        wants.resize(wants.len().max(self.vms), self.base_share);
        let wanted = larger(wanted, &self.base_share);
        let part = |of: fn(&Limits) -> f64| {
            water_fill(of(&self.limits), of(&wanted), wants.iter().map(of).collect())
        };
        Limits {
            requests: Rate::per_second(part(|limits| limits.requests.get())),
            tokens: Rate::per_second(part(|limits| limits.tokens.get())),
            concurrency: part(|limits| limits.concurrency.into()) as u32,
        }
    }
}

/// The max-min fair share of `amount` for one demand `want` among all `wants`.
///
/// A surplus is distributed in proportion to the square root of the demands, as their deviation
/// from the mean is.
fn water_fill(amount: f64, want: f64, mut wants: Vec<f64>) -> f64 {
    wants.sort_by(f64::total_cmp);
    let mut left = amount.max(0.0);
    for (index, &other) in wants.iter().enumerate() {
        let level = left / (wants.len() - index) as f64;
        if other >= level {
            return want.min(level);
        }
        left -= other;
    }
    let roots: f64 = wants.iter().map(|other| other.sqrt()).sum();
    if roots > 0.0 { want + left * want.sqrt() / roots } else { left / wants.len().max(1) as f64 }
}

fn scaled(limits: &Limits, count: usize) -> Limits {
    Limits {
        requests: Rate::per_second(limits.requests.get() * count as f64),
        tokens: Rate::per_second(limits.tokens.get() * count as f64),
        concurrency: limits.concurrency * count as u32,
    }
}

fn sum(a: &Limits, b: &Limits) -> Limits {
    Limits {
        requests: Rate::per_second(a.requests.get() + b.requests.get()),
        tokens: Rate::per_second(a.tokens.get() + b.tokens.get()),
        concurrency: a.concurrency + b.concurrency,
    }
}

fn smaller(a: &Limits, b: &Limits) -> Limits {
    Limits {
        requests: Rate::per_second(a.requests.get().min(b.requests.get())),
        tokens: Rate::per_second(a.tokens.get().min(b.tokens.get())),
        concurrency: a.concurrency.min(b.concurrency),
    }
}

fn larger(a: &Limits, b: &Limits) -> Limits {
    Limits {
        requests: Rate::per_second(a.requests.get().max(b.requests.get())),
        tokens: Rate::per_second(a.tokens.get().max(b.tokens.get())),
        concurrency: a.concurrency.max(b.concurrency),
    }
}
