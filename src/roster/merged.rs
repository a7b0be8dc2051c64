//! What an entry VM knows of upstreams and VMs, from the control VMs that it follows.

use std::collections::HashMap;

use tokio::time::Instant;

use super::Announcement;
use super::Delta;
use super::Presence;
use super::Stamp;
use super::Standing;
use super::delta::Fact;
use crate::id;
use crate::wire::Role;

/// An upstream as an entry VM knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// What it said last.
    pub said: Announcement,
    /// All control VMs that are followed and know it find it silent.
    pub silent: bool,
    /// Until when it is cold.
    pub cold_until: Instant,
    /// When it will be gone, whatever it runs.
    pub ends_at: Option<Instant>,
}

/// What one control VM said.
#[derive(Debug, Default)]
struct Source {
    /// Whether its word counts at present.
    followed: bool,
    /// Tells a start of the control VM from the one before.
    epoch: u64,
    revision: u64,
    /// The region whose entry VMs it tells of; all where there is none.
    only_of: Option<id::Region>,
    upstreams: HashMap<id::Upstream, (Stamp, bool)>,
    vms: HashMap<(id::Vm, Role), (Stamp, bool)>,
}

/// All that the followed control VMs say, put together: the newest statement counts, whoever passed it on, and a
/// subject is silent only where all who know its newest statement say so.
#[derive(Debug, Default)]
pub struct Merged {
    sources: HashMap<id::Vm, Source>,
    upstreams: HashMap<id::Upstream, Upstream>,
    vms: HashMap<(id::Vm, Role), Fact<Presence>>,
}

impl Merged {
    /// A control VM is asked for the entry VMs of that region alone, or for all. Up to where its table is known, for its present
    /// start; nothing of it where it told of other entry VMs until now.
    pub fn ask(&mut self, source: &id::Vm, only_of: Option<&id::Region>) -> (u64, u64) {
        let source = self.sources.entry(source.clone()).or_default();
        if source.only_of.as_ref() != only_of {
            source.only_of = only_of.cloned();
            source.revision = 0;
        }
        (source.epoch, source.revision)
    }

    /// A control VM is no longer followed: what it found silent counts no more. The facts stay, and so does where its table is
    /// known up to.
    ///
    /// Failure: a control VM is lost for a moment, and each of two hundred VMs that come back to it is told of three hundred
    /// upstreams and VMs that it knows; the lines between regions, which requests need, are full of that for seconds.
    pub fn unfollow(&mut self, source: &id::Vm) {
        if let Some(source) = self.sources.get_mut(source) {
            source.followed = false;
        }
        self.judge();
    }

    /// Takes what a control VM of that start says.
    pub fn take(&mut self, source: &id::Vm, epoch: u64, delta: Delta, now: Instant) {
        let entry = self.sources.entry(source.clone()).or_default();
        if entry.epoch != epoch || delta.whole {
            let only_of = entry.only_of.take();
            *entry = Source { epoch, only_of, ..Source::default() };
        }
        entry.followed = true;
        entry.revision = delta.revision;
        for fact in &delta.upstreams {
            entry.upstreams.insert(fact.said.id.clone(), (fact.said.stamp, fact.silent));
        }
        for fact in &delta.vms {
            let key = (fact.said.vm.clone(), fact.said.role);
            entry.vms.insert(key, (fact.said.stamp, fact.silent));
        }
        for fact in delta.upstreams {
            self.learn(fact.said, now);
        }
        for fact in delta.vms {
            self.meet(fact.said);
        }
        self.judge();
    }

    /// The upstreams that have not left.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|upstream| upstream.said.standing != Standing::Gone)
    }

    /// The VMs of that role that are heard of.
    pub fn vms(&self, role: Role) -> impl Iterator<Item = &Presence> {
        let present = move |fact: &&Fact<Presence>| {
            fact.said.role == role && !fact.silent && fact.said.standing != Standing::Gone
        };
        self.vms.values().filter(present).map(|fact| &fact.said)
    }

    /// All VMs of that role that were ever heard of.
    pub fn all_vms(&self, role: Role) -> impl Iterator<Item = &Presence> {
        self.vms.values().filter(move |fact| fact.said.role == role).map(|fact| &fact.said)
    }

    fn learn(&mut self, said: Announcement, now: Instant) {
        let known = self.upstreams.get(&said.id);
        if known.is_some_and(|known| known.said.stamp > said.stamp) {
            return;
        }
        let upstream = Upstream {
            silent: false,
            cold_until: now + said.cold_left,
            ends_at: said.ends_in.map(|ends| now + ends),
            said,
        };
        self.upstreams.insert(upstream.said.id.clone(), upstream);
    }

    fn meet(&mut self, said: Presence) {
        let key = (said.vm.clone(), said.role);
        if self.vms.get(&key).is_some_and(|known| known.said.stamp > said.stamp) {
            return;
        }
        self.vms.insert(key, Fact { said, silent: false });
    }

    /// Decides anew who is silent, and drops what no source knows any more.
    fn judge(&mut self) {
        let sources: Vec<&Source> =
            self.sources.values().filter(|source| source.followed).collect();
        if sources.is_empty() {
            return;
        }
        self.upstreams.retain(|id, upstream| {
            let mut words = sources.iter().filter_map(|source| source.upstreams.get(id)).peekable();
            let is_known = words.peek().is_some();
            upstream.silent = is_known && words.all(|&(_, silent)| silent);
            is_known || upstream.said.standing != Standing::Gone
        });
        let is_told_all = sources.iter().any(|source| source.only_of.is_none());
        for (key, fact) in &mut self.vms {
            let mut words = sources.iter().filter_map(|source| source.vms.get(key)).peekable();
            // The one source that tells of other regions' VMs is lost for a moment: they are as they were.
            if words.peek().is_none() && !is_told_all {
                continue;
            }
            fact.silent = words.peek().is_none() || words.all(|&(_, silent)| silent);
        }
    }
}

#[cfg(test)]
mod tests;
