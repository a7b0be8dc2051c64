//! The VMs and upstreams of the region: what they tell this VM, and what it tells them.

use std::net::SocketAddr;

use slog::debug;
use slog::info;
use tokio::time::Instant;

use crate::decide::quarantine;
use crate::decide::route::rendezvous;
use crate::entry::Hub;
use crate::entry::fleet::Effect;
use crate::entry::fleet::Place;
use crate::id;
use crate::membership;
use crate::unit::Incarnation;
use crate::upstream::Announcement;
use crate::upstream::pool as slots;
use crate::wire::Cast;
use crate::wire::Peer;
use crate::wire::Role;

/// VMs that tell one that has just started of crashes.
const NEWCOMER_SOURCES: usize = 2;

impl Hub {
    /// Takes an upstream's announcement; false where a newer one is known, or it has left.
    pub fn announce(&self, announcement: Announcement) -> bool {
        let now = Instant::now();
        let (taken, effects) = self.fleet().announce(announcement.clone(), now);
        if taken {
            self.dispatch().hosts(&announcement, now);
        }
        self.carry_out(effects);
        taken
    }

    /// Takes an upstream's leaving.
    pub fn leave(&self, id: &id::Upstream, incarnation: Incarnation) {
        info!(self.log, "upstream leaves"; "upstream" => %id);
        let effects = self.fleet().leave(id, incarnation, Instant::now());
        self.carry_out(effects);
    }

    /// Does what is due: membership, leases, deadlines.
    pub fn tick(&self) {
        let now = Instant::now();
        let version = self.version();
        let place = self.place_fact();
        let effects = {
            let mut fleet = self.fleet();
            fleet.put_version(version, now);
            if let Some(place) = &place {
                fleet.put_place(place, now);
            }
            fleet.tick(now)
        };
        self.carry_out(effects);
        self.demand();
        let due = self.dispatch().slots_due(now);
        for (to, message) in due {
            self.cast_slots(to, message);
        }
    }

    /// Takes what another VM told about slots.
    pub fn slots_told(&self, from: &id::Vm, message: &slots::Message) {
        let answer = self.dispatch().slots_told(from, message, Instant::now());
        if let Some(answer) = answer {
            self.cast_slots(from.clone(), answer);
        }
    }

    pub(super) fn cast_slots(&self, to: id::Vm, message: slots::Message) {
        if let Some(mesh) = self.mesh() {
            mesh.cast(&Peer::new(to, Role::Entry), Cast::Slots(message));
        }
    }

    /// Takes a message of the membership.
    pub fn receive(&self, from: &id::Vm, message: membership::Message) {
        let effects = self.fleet().receive(from, message, Instant::now());
        self.carry_out(effects);
    }

    /// Tells the VMs of the region, and some of each other region, what this one saw of upstreams that crashed; an empty report
    /// is not sent.
    pub fn tell(&self, report: &quarantine::Report) {
        self.cast_crashes(self.neighbours(), report);
        let away = self.some_away().into_iter().map(|vm| Peer::new(vm, Role::Entry));
        self.cast_crashes(away.collect(), report);
    }

    /// Takes what another VM tells of crashes. News of another region are passed on to the VMs of this one.
    pub fn crashes_told(&self, from: &Peer, report: &quarantine::Report) {
        let is_new = self.dispatch().reported(report, Instant::now());
        let sender = self.site.vms.get(&from.vm);
        if is_new && sender.is_some_and(|vm| vm.region != self.place.region) {
            self.cast_crashes(self.neighbours(), report);
        }
    }

    /// Tells a VM that has just appeared what is known of crashes. Two VMs do so, by rendezvous hashing.
    fn tell_newcomer(&self, vm: &id::Vm) {
        let members = self.fleet().alive();
        let key = rendezvous::weight(0, vm.as_str());
        let others = members.iter().filter(|other| *other != vm);
        let tells =
            rendezvous::top(key, others.map(|other| (other, other.as_str())), NEWCOMER_SOURCES);
        if tells.contains(&&self.me) {
            let report = self.dispatch().known_crashes(Instant::now());
            self.cast_crashes(vec![Peer::new(vm.clone(), Role::Entry)], &report);
        }
    }

    fn cast_crashes(&self, peers: Vec<Peer>, report: &quarantine::Report) {
        let Some(mesh) = self.mesh().filter(|_| !report.is_empty()) else { return };
        for peer in peers {
            mesh.cast(&peer, Cast::Quarantine(report.clone()));
        }
    }

    pub(super) fn place_fact(&self) -> Option<Place> {
        let entry = self.place.entry.as_ref()?;
        Some(Place {
            callers: entry.callers,
            data_centre: self.place.data_centre.clone(),
            draining: self.is_draining(),
            incarnation: self.incarnation(),
        })
    }

    pub(super) fn carry_out(&self, effects: Vec<Effect>) {
        let now = Instant::now();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let Some(mesh) = self.mesh() else { continue };
                    mesh.cast(&Peer::new(to, Role::Entry), Cast::Membership(message));
                }
                Effect::Upstream(hosted) => {
                    debug!(self.log, "upstream is there"; "upstream" => %hosted.announcement.id);
                    self.dispatch().appeared(hosted, now);
                }
                Effect::Gone(id) => {
                    info!(self.log, "upstream is gone"; "upstream" => %id);
                    self.dispatch().gone(&id, now);
                }
                Effect::Alive { vm, alive } => {
                    info!(self.log, "a VM of the region"; "of" => %vm, "alive" => alive);
                    if alive {
                        self.tell_newcomer(&vm);
                    }
                    let members = self.fleet().alive();
                    self.dispatch().members(members);
                    self.quota().moved(now);
                }
                Effect::Region(region) => {
                    let digest = self.fleet().digest(&region, now);
                    if let Some(digest) = digest {
                        self.dispatch().digest(digest, now);
                    }
                }
            }
        }
    }

    /// The other entry daemons of the region.
    pub fn neighbours(&self) -> Vec<Peer> {
        let others = self.site.vms.iter().filter(|(name, vm)| {
            **name != self.me && vm.entry.is_some() && vm.region == self.place.region
        });
        others.map(|(name, _)| Peer::new(name.clone(), Role::Entry)).collect()
    }

    /// Where upstreams of this region announce, besides here.
    pub fn other_announce_addresses(&self) -> Vec<SocketAddr> {
        let neighbours = self.neighbours();
        let entries = neighbours.iter().filter_map(|peer| self.site.vms[&peer.vm].entry.as_ref());
        entries.map(|entry| entry.upstreams).collect()
    }
}
