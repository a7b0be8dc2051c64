//! Chooses the target of an attempt.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::Hop;
use super::Relay;
use super::Suspicion;
use crate::decide::place;
use crate::decide::place::Holder;
use crate::decide::place::Query;
use crate::decide::place::RegionCandidate;
use crate::decide::place::RegionQuery;
use crate::decide::route::rendezvous;
use crate::gateway::reservation::Target;
use crate::id;

/// Upstreams that a request may find unreachable before it is sent to a peer.
const MAX_UNREACHABLE: u32 = 2;

/// The target of the next attempt.
pub(super) enum Placement {
    Local(place::Placement),
    Remote {
        vm: id::Vm,
        address: SocketAddr,
        offer: RegionCandidate,
    },
    /// Another VM of this region, which reaches upstreams that this VM does not.
    Peer {
        vm: id::Vm,
        address: SocketAddr,
        region: id::Region,
        expected: Duration,
    },
}

impl Placement {
    /// The upstream, if this VM sends to it itself.
    pub(super) const fn upstream(&self) -> Option<&id::Upstream> {
        match self {
            Self::Local(fit) => Some(&fit.id),
            Self::Remote { .. } | Self::Peer { .. } => None,
        }
    }

    pub(super) const fn expected(&self) -> Duration {
        match self {
            Self::Local(fit) => fit.first_event,
            Self::Remote { offer, .. } => offer.first_event,
            Self::Peer { expected, .. } => *expected,
        }
    }

    /// The expected time to the last event.
    pub(super) const fn expected_total(&self) -> Duration {
        match self {
            Self::Local(fit) => fit.last_event,
            Self::Remote { offer, .. } => offer.last_event,
            Self::Peer { expected, .. } => *expected,
        }
    }

    /// Prompt tokens that the upstream has to read; none for remote targets.
    pub(super) fn prompt_tokens(&self) -> Option<u64> {
        match self {
            Self::Local(fit) => Some(fit.prefill.get()),
            Self::Remote { .. } | Self::Peer { .. } => None,
        }
    }

    /// Requests running on the upstream; none for remote targets.
    pub(super) fn running(&self) -> Option<u32> {
        match self {
            Self::Local(fit) => Some(fit.running),
            Self::Remote { .. } | Self::Peer { .. } => None,
        }
    }

    /// The age of the load data shared by other VMs, in milliseconds; none if only local data was
    /// used.
    pub(super) fn load_age_ms(&self) -> Option<u64> {
        match self {
            Self::Local(fit) => fit.load_age.map(|age| age.as_millis() as u64),
            Self::Remote { .. } | Self::Peer { .. } => None,
        }
    }

    /// The room of the other region, as last reported.
    pub(super) const fn room(&self) -> Option<place::Room> {
        match self {
            Self::Remote { offer, .. } => offer.room,
            Self::Local(_) | Self::Peer { .. } => None,
        }
    }

    /// Whether it is in another region although this one has upstreams.
    pub(super) const fn is_for_room(&self) -> bool {
        match self {
            Self::Remote { offer, .. } => offer.is_for_room,
            Self::Local(_) | Self::Peer { .. } => false,
        }
    }

    pub(super) fn target(&self) -> Target {
        match self {
            Self::Local(fit) => Target::Upstream(fit.id.clone()),
            Self::Remote { vm, offer, .. } => Target::Vm(offer.region.clone(), vm.clone()),
            Self::Peer { vm, region, .. } => Target::Vm(region.clone(), vm.clone()),
        }
    }
}

impl Relay {
    /// Chooses the target with the lowest cost, in this region or another one.
    pub(super) fn choose_target(&self) -> Option<Placement> {
        let now = Instant::now();
        let (service, route) = (self.job.service.as_str(), &self.job.route);
        let caller = &self.job.caller;
        let is_home = |region: &id::Region| caller.allows(route, region);
        let allows =
            |region: &id::Region| is_home(region) && !self.refused_regions.contains(region);
        let urgent = self.job.urgent;
        let longest = self.job.deadline.saturating_duration_since(now).min(self.max_wait());
        let (work, bytes) = (self.work, self.job.body.len());
        let is_home = is_home(&self.state.node().region);
        let may_send = is_home && self.state.may_send_here(route.kind.is_repeatable());
        let vms = if may_send { self.senders() } else { None };
        let passage = RegionQuery {
            service,
            work,
            urgent,
            bytes,
            max_wait: longest,
            objective: route.objective,
            vms,
            allows: &allows,
        };
        let shared = self.work.prefix.filter(|_| is_home);
        let weight =
            shared.and_then(|shared| self.state.place().rendezvous_weight(service, &shared));
        let holder = self.state.regions().holder(&passage, weight, now);
        let holds_prefix = holder == Holder::Local;
        let tried = &self.tried;
        let demand =
            Query { service, work, tried, holds_prefix, urgent, max_wait: longest, only: None };
        let needs_peer = is_home && (!may_send || self.unreachable >= MAX_UNREACHABLE);
        if needs_peer
            && self.job.hop == Hop::Ingress
            && let Some(peer) = self.choose_peer(now)
        {
            return Some(peer);
        }
        let here = if may_send { self.choose_upstream(&demand, now) } else { None };
        let offers = match self.job.hop {
            // A second region has hardly more room than the first, and the trips use up the time that is left.
            Hop::Ingress
                if passage.is_forwarded_for_room().is_some()
                    && !self.refused_regions.is_empty() =>
            {
                Vec::new()
            }
            Hop::Ingress => {
                let random = || self.state.random() as f64 / u64::MAX as f64;
                let usual = self.state.place().profile(service);
                self.state.regions().candidates(&passage, &holder, &usual, random, now)
            }
            Hop::Forwarded => Vec::new(),
        };
        let cost = here.as_ref().map_or(Duration::MAX, |fit| fit.cost);
        let better = offers.into_iter().take_while(|offer| offer.cost < cost);
        self.first_reachable(better).or(here.map(Placement::Local))
    }

    /// The number of VMs that send to the upstreams of this region, if there are any.
    fn senders(&self) -> Option<u32> {
        let (place, service) = (self.state.place(), &self.job.service);
        place.has_open(service).then(|| place.sender(service).count())
    }

    /// Chooses another VM of this region.
    fn choose_peer(&self, now: Instant) -> Option<Placement> {
        let region = self.state.node().region.clone();
        let (vm, address) = self.state.random_vm_in(&region, &self.tried_vms)?;
        let (service, urgent) = (&self.job.service, self.job.urgent);
        let outlook = self.state.place().outlook(service, urgent, now);
        let expected = outlook.map_or(self.job.route.objective, |outlook| outlook.wait);
        let expected = expected.min(self.max_wait());
        Some(Placement::Peer { vm, address, region, expected })
    }

    /// Whether upstreams of this region would take the request if they had room.
    pub(super) fn lacks_room(&self, now: Instant) -> bool {
        let (caller, route) = (&self.job.caller, &self.job.route);
        let may_run_here = caller.allows(route, &self.state.node().region)
            && self.state.may_send_here(route.kind.is_repeatable());
        let query = Query {
            service: &self.job.service,
            work: self.work,
            tried: &self.tried,
            holds_prefix: false,
            urgent: self.job.urgent,
            max_wait: self.max_wait(),
            only: None,
        };
        may_run_here && (!self.is_next_for_room() || self.state.place().lacks_room(&query, now))
    }

    fn is_next_for_room(&self) -> bool {
        let (service, rank) = (&self.job.service, self.job.rank);
        self.state.is_next_for_room(service, rank, self.ticket.as_ref())
    }

    /// Chooses an upstream of this region. A suspect runs apart from others, so that the next crash shows which request
    /// caused it; all VMs prefer the same upstream for it. One that crashed several upstreams runs nowhere else.
    fn choose_upstream(&self, query: &Query<'_>, now: Instant) -> Option<place::Placement> {
        if !self.is_next_for_room() {
            return None;
        }
        let avoid = match &self.suspicion {
            Suspicion::None => return self.state.place().choose(query, now),
            Suspicion::Weak(avoid) | Suspicion::Strong(avoid) => avoid,
        };
        let suspect = self.state.suspect(&self.job);
        let mut apart = self.state.place().open(query.service);
        {
            let quarantine = self.state.quarantine();
            apart.retain(|id| {
                !avoid.contains(id)
                    && !query.tried.contains(id)
                    && quarantine.may_start(&suspect, id)
            });
        }
        apart.sort_by_key(|id| Reverse(rendezvous::weight(suspect.key(), id.as_str())));
        let mut place = self.state.place();
        let chosen = apart.iter().find_map(|id| {
            let query = Query { only: Some(id), ..*query };
            place.choose(&query, now)
        });
        match &self.suspicion {
            Suspicion::Strong(_) => chosen,
            _ => chosen.or_else(|| place.choose(query, now)),
        }
    }

    /// The first of the offered regions that has an available VM.
    fn first_reachable(
        &self,
        mut offers: impl Iterator<Item = RegionCandidate>,
    ) -> Option<Placement> {
        offers.find_map(|offer| {
            let (vm, address) = self.state.random_vm_in(&offer.region, &self.tried_vms)?;
            Some(Placement::Remote { vm, address, offer })
        })
    }
}
