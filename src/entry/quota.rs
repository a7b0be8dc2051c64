//! The limits of owners on this VM: parts leased from each entry's home VM, and the homes that this VM is.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue;
use crate::decide::limit;
use crate::decide::limit::Allowance;
use crate::decide::limit::Charge;
use crate::decide::limit::Coordinator;
use crate::decide::limit::Demand;
use crate::decide::limit::Grant;
use crate::decide::limit::Refusal;
use crate::id;
use crate::unit::Tokens;

/// A home that nobody has asked for so long is dropped; what it granted has long expired.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// A new home counts what other VMs hold, by their own demands, before it grants more. Requests of a VM that can't
/// reach it are counted out after this long, though batch work may run on for hours: otherwise each change of homes
/// would hold an owner to the floor for as long.
const LONGEST: Duration = Duration::from_secs(10);

/// The VMs that share an entry's limits.
#[derive(Debug, Clone, Default)]
pub struct Sharers {
    /// Those that are alive.
    pub alive: Vec<id::Vm>,
    /// All, alive or not.
    pub all: usize,
}

#[derive(Debug)]
struct Part {
    allowance: Allowance,
    entry: Arc<catalogue::Entry>,
}

#[derive(Debug)]
struct Hosted {
    home: Coordinator,
    asked: Instant,
}

/// The limits of owners on one VM.
#[derive(Debug)]
pub struct Quota {
    me: id::Vm,
    /// Since when the same VMs are alive: whoever is an entry's home now has been it since then.
    stable: Instant,
    parts: HashMap<id::Entry, Part>,
    hosted: HashMap<id::Entry, Hosted>,
}

impl Quota {
    /// Nothing is leased yet.
    pub fn new(me: id::Vm, now: Instant) -> Self {
        Self { me, stable: now, parts: HashMap::new(), hosted: HashMap::new() }
    }

    /// Another set of VMs is alive, so entries may have other homes.
    pub fn moved(&mut self, now: Instant) {
        self.stable = now;
    }

    /// Charges a request, if the limits allow it.
    pub fn charge(
        &mut self,
        entry: &Arc<catalogue::Entry>,
        estimated: Tokens,
        sharers: &Sharers,
        now: Instant,
    ) -> Result<Charge, Refusal> {
        let part = self.parts.entry(entry.name.clone()).or_insert_with(|| Part {
            allowance: Allowance::new(
                entry.name.clone(),
                self.me.clone(),
                &entry.limits,
                sharers.all,
                now,
            ),
            entry: entry.clone(),
        });
        if part.entry.limits != entry.limits {
            part.allowance.set_limits(&entry.limits, sharers.all);
        }
        part.entry = entry.clone();
        part.allowance.charge(estimated, now)
    }

    /// Whether a refused request may be within the limits once the next grant has come.
    pub fn may_grow(&self, entry: &id::Entry) -> bool {
        self.parts.get(entry).is_some_and(|part| part.allowance.may_grow())
    }

    /// Ends a request that took so many tokens in truth.
    pub fn settle(&mut self, entry: &id::Entry, charge: Charge, real: Tokens, now: Instant) {
        if let Some(part) = self.parts.get_mut(entry) {
            part.allowance.settle(charge, real, now);
        }
    }

    /// The demands that are due, each with the home that it goes to.
    pub fn due(
        &mut self,
        sharers: impl Fn(&catalogue::Entry) -> Sharers,
        now: Instant,
    ) -> Vec<(id::Vm, Demand)> {
        let mut due = Vec::new();
        self.hosted.retain(|_, hosted| now < hosted.asked + FORGOTTEN);
        self.parts.retain(|_, part| !part.allowance.is_idle());
        let names: Vec<id::Entry> = self.parts.keys().cloned().collect();
        for name in names {
            let Some(part) = self.parts.get_mut(&name) else { continue };
            let entry = part.entry.clone();
            let sharers = sharers(&entry);
            let Some(home) = limit::coordinator(&name, &sharers.alive, sharers.all).cloned() else {
                continue;
            };
            let Some(demand) = part.allowance.next_demand(now) else { continue };
            if home != self.me {
                due.push((home, demand));
                continue;
            }
            let grant = self.demanded(&entry, &demand, sharers.all, now);
            if let (Some(grant), Some(part)) = (grant, self.parts.get_mut(&name)) {
                part.allowance.apply_grant(&grant, now);
            }
        }
        due
    }

    /// Answers a VM that takes this one for an entry's home.
    pub fn demanded(
        &mut self,
        entry: &catalogue::Entry,
        demand: &Demand,
        all: usize,
        now: Instant,
    ) -> Option<Grant> {
        let longest = entry.deadline.min(LONGEST);
        let hosted = self.hosted.entry(entry.name.clone()).or_insert_with(|| Hosted {
            home: Coordinator::new(entry.limits, all, longest, self.stable),
            asked: now,
        });
        hosted.asked = now;
        hosted.home.set_limits(entry.limits);
        hosted.home.handle_demand(demand, now)
    }

    /// Takes a grant in.
    pub fn granted(&mut self, grant: &Grant, now: Instant) {
        if let Some(part) = self.parts.get_mut(&grant.entry) {
            part.allowance.apply_grant(grant, now);
        }
    }

    /// The entries of which this VM uses a part, and of which it is the home.
    pub fn len(&self) -> (usize, usize) {
        (self.parts.len(), self.hosted.len())
    }
}
