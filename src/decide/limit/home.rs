//! One entry's limits, leased out to the VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue::Limits;
use crate::decide::limit::DRIFT;
use crate::decide::limit::Demand;
use crate::decide::limit::Grant;
use crate::decide::limit::TTL;
use crate::id;
use crate::unit::Rate;

/// The part of a limit that is never leased by demand: every VM has an even part of it at any time.
///
/// Measured (docs/MEASUREMENTS.md, limits): an owner whose callers all use one VM of eight gets a twentieth less than
/// its limit for it; in return a VM serves first requests without asking, and something while it has no lease.
const FLOOR_PART: f64 = 0.1;

/// What every VM may use of these limits without asking.
pub fn floor(limits: &Limits, vms: usize) -> Limits {
    let part = FLOOR_PART / vms.max(1) as f64;
    Limits {
        requests: Rate::per_second(limits.requests.get() * part),
        tokens: Rate::per_second(limits.tokens.get() * part),
        concurrency: (f64::from(limits.concurrency) * part) as u32,
    }
}

/// The even part of these limits: one request in progress at least, or small limits would stop a VM that is cut off.
pub fn even(limits: &Limits, vms: usize) -> Limits {
    let vms = vms.max(1);
    Limits {
        requests: Rate::per_second(limits.requests.get() / vms as f64),
        tokens: Rate::per_second(limits.tokens.get() / vms as f64),
        concurrency: (limits.concurrency / vms as u32).max(1),
    }
}

/// A part that a VM may be using.
#[derive(Debug, Clone, Copy)]
struct Lease {
    seq: u64,
    share: Limits,
    heard: Instant,
}

/// What a VM was granted, and what it said.
#[derive(Debug, Clone)]
struct Holder {
    leases: Vec<Lease>,
    seq: u64,
    wanted: Limits,
    running: u32,
    heard: Instant,
}

/// The grants of one entry.
#[derive(Debug)]
pub struct Home {
    limits: Limits,
    floor: Limits,
    vms: usize,
    longest: Duration,
    since: Instant,
    holders: BTreeMap<id::Vm, Holder>,
}

impl Home {
    /// The home of an entry with these limits among so many VMs; its requests run no longer than `longest`.
    ///
    /// `since` is when this VM became the entry's home: another VM may have been until then, and what it granted isn't
    /// known here. For the lifetime of those grants each VM is granted what it holds already, which keeps the
    /// sum as it was. An entry that is first asked for later needs no such time.
    pub fn new(limits: Limits, vms: usize, longest: Duration, since: Instant) -> Self {
        let floor = floor(&limits, vms);
        Self { limits, floor, vms, longest, since, holders: BTreeMap::new() }
    }

    /// Takes over changed limits; grants follow with the next demands.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.floor = floor(&limits, self.vms);
    }

    /// Answers a VM's demand; one that was overtaken by a later one gets no answer.
    pub fn demand(&mut self, demand: &Demand, now: Instant) -> Option<Grant> {
        let longest = TTL + DRIFT + self.longest;
        self.holders.retain(|_, holder| now < holder.heard + longest);
        self.hear(demand, now)?;
        let share = if now < self.since + TTL + DRIFT {
            demand.held
        } else {
            let available = self.available(&demand.vm, now);
            let share = smaller(&self.fair(&demand.wanted, now), &available);
            // A limit smaller than the number of VMs has no whole part for each: whoever comes first gets one.
            Limits { concurrency: share.concurrency.max(1).min(available.concurrency), ..share }
        };
        let share = larger(&share, &self.floor);
        let holder = self.holders.get_mut(&demand.vm)?;
        holder.leases.push(Lease { seq: demand.seq, share, heard: now });
        Some(Grant { entry: demand.entry.clone(), seq: demand.seq, share })
    }

    /// Notes what a VM said, unless it has said something later already.
    ///
    /// The VM uses the grant that it last took in, and may yet take in the answer to this demand; it can't take
    /// in any other. Until it says so, a grant that was lost on the way may still replace nothing.
    fn hear(&mut self, demand: &Demand, now: Instant) -> Option<()> {
        let holder = self.holders.entry(demand.vm.clone()).or_insert_with(|| Holder {
            leases: Vec::new(),
            seq: 0,
            wanted: demand.wanted,
            running: 0,
            heard: now,
        });
        if demand.seq <= holder.seq {
            return None;
        }
        holder.leases.retain(|lease| lease.seq == demand.taken && now < lease.heard + TTL + DRIFT);
        holder.seq = demand.seq;
        holder.wanted = demand.wanted;
        holder.running = demand.running;
        holder.heard = now;
        Some(())
    }

    /// What no other VM may be using.
    fn available(&self, vm: &id::Vm, now: Instant) -> Limits {
        let others = self.holders.iter().filter(|(other, _)| *other != vm);
        let strangers = self.vms.saturating_sub(1 + others.clone().count());
        let mut held = scaled(&self.floor, strangers);
        for (_, holder) in others {
            held = sum(&held, &self.held(holder, now));
        }
        Limits {
            requests: Rate::per_second(self.limits.requests.get() - held.requests.get()),
            tokens: Rate::per_second(self.limits.tokens.get() - held.tokens.get()),
            concurrency: self.limits.concurrency.saturating_sub(held.concurrency),
        }
    }

    /// The most that a VM may be using: its floor at any time, and any lease that hasn't expired.
    ///
    /// Requests that it started may go on after its lease, for as long as a request may take.
    fn held(&self, holder: &Holder, now: Instant) -> Limits {
        let valid = holder.leases.iter().filter(|lease| now < lease.heard + TTL + DRIFT);
        let most = valid.fold(self.floor, |most, lease| larger(&most, &lease.share));
        Limits { concurrency: most.concurrency.max(holder.running), ..most }
    }

    /// The max-min fair part for a VM that wants this much.
    ///
    /// VMs that have asked for nothing count with their floor: if the first to ask got all that is left over, the next
    /// ones would be refused until it had given some back.
    fn fair(&self, wanted: &Limits, now: Instant) -> Limits {
        let active = self.holders.values().filter(|holder| now < holder.heard + TTL + DRIFT);
        let mut wants: Vec<Limits> =
            active.map(|holder| larger(&holder.wanted, &self.floor)).collect();
        wants.resize(wants.len().max(self.vms), self.floor);
        let wanted = larger(wanted, &self.floor);
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

/// The max-min fair part of `amount` for one that wants `want`, among all `wants`.
///
/// What nobody wants is spread by the square root of the wants: that is how far each varies around its mean.
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
