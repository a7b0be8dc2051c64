//! The limits of owners: which VMs share them, and what they tell each other.

use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue;
use crate::decide::limit;
use crate::entry::Hub;
use crate::entry::Job;
use crate::entry::quota::Sharers;
use crate::id;
use crate::settings::site::Vm;
use crate::wire::Cast;
use crate::wire::Peer;
use crate::wire::Role;

/// The ledger is asked each second where its answer decides, and this bears the loss of two.
const CONFIRMED: Duration = Duration::from_secs(3);

impl Hub {
    /// The VMs that share an entry's limits: those of its home, and all where it has none.
    pub fn sharers(&self, entry: &catalogue::Entry) -> Sharers {
        let home = entry.home.region();
        let shares = |region: &id::Region| home.is_none_or(|home| home == region);
        let all = self.site.vms.values().filter(|vm| vm.entry.is_some() && shares(&vm.region));
        let mut alive = match shares(self.region()) {
            true => self.fleet().alive(),
            false => Vec::new(),
        };
        let away = self.away().into_iter().filter(|live| shares(&live.region));
        alive.extend(away.map(|live| live.vm));
        let all = all.count();
        // Failure: a region of two VMs loses one, and the other has no majority: its callers are held to half of every
        // limit for as long as that lasts. The ledger has a witness elsewhere, so of two halves that can't see each
        // other one at most is answered by it, unless both still reach it and only the link between them is cut; then
        // a limit may be used twice until the cut ends.
        let tied = alive.len() * 2 == all && self.is_confirmed();
        Sharers { all: if tied { all - 1 } else { all }, alive }
    }

    /// Whether half of the region's VMs are alive, so that the ledger's answer has to decide which half goes on.
    pub fn is_tied(&self) -> bool {
        let here = |vm: &&Vm| vm.entry.is_some() && vm.region == self.place.region;
        self.fleet().alive().len() * 2 == self.site.vms.values().filter(here).count()
    }

    /// Notes that the region's ledger has answered this VM.
    pub fn confirm(&self) {
        *self.confirmed.lock() = Some(Instant::now());
    }

    pub(super) fn is_confirmed(&self) -> bool {
        let confirmed = *self.confirmed.lock();
        confirmed.is_some_and(|at| at.elapsed() < CONFIRMED)
    }

    /// Whether this VM charges a request to its owner: a VM of the entry's home does, and of requests that other
    /// regions hand home as well; a VM that runs what another region hands away does not.
    pub fn charges(&self, job: &Job) -> bool {
        match job.entry.home.region() {
            Some(home) => home == self.region(),
            None => !job.is_forwarded(),
        }
    }

    /// Answers a VM that takes this one for an entry's home.
    pub fn demanded(&self, from: &id::Vm, demand: &limit::Demand) {
        let Some(entry) = self.view().entry(&demand.entry).cloned() else { return };
        let all = self.sharers(&entry).all;
        let grant = self.quota().demanded(&entry, demand, all, Instant::now());
        if let (Some(grant), Some(mesh)) = (grant, self.mesh()) {
            mesh.cast(&Peer::new(from.clone(), Role::Entry), Cast::Grant(grant));
        }
    }

    /// Sends the demands for parts of limits that are due.
    pub fn demand(&self) {
        let due = self.quota().due(|entry| self.sharers(entry), Instant::now());
        let Some(mesh) = self.mesh() else { return };
        for (home, demand) in due {
            mesh.cast(&Peer::new(home, Role::Entry), Cast::Demand(demand));
        }
    }
}
