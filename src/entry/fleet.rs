//! The VMs and upstreams of the region as this VM knows them: membership, and the leases of the upstreams that
//! announce themselves here.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::id;
use crate::membership::Change;
use crate::membership::Config;
use crate::membership::Key;
use crate::membership::Member;
use crate::membership::Message;
use crate::membership::Output;
use crate::membership::Stamp;
use crate::membership::Version as Write;
use crate::settings::Site;
use crate::unit::Incarnation;
use crate::unit::Version;
use crate::upstream;
use crate::upstream::Announcement;
use crate::upstream::Registry;

/// What a VM tells the others of its region about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Where callers go.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Whether it takes no more requests.
    pub draining: bool,
    /// The start of its daemon, as ledgers know it.
    pub incarnation: Incarnation,
}

/// An upstream, and the VM that holds its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hosted {
    /// What it announced.
    pub announcement: Announcement,
    /// The VM that it announces itself to.
    pub host: id::Vm,
}

/// What the daemon must do or know.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another entry VM.
    Send {
        /// To whom.
        to: id::Vm,
        /// What.
        message: Message,
    },
    /// An upstream is there, or announces something else.
    Upstream(Hosted),
    /// An upstream takes no new work.
    Gone(id::Upstream),
    /// A VM of the region is alive now, or no longer.
    Alive {
        /// The VM.
        vm: id::Vm,
        /// Whether it is alive.
        alive: bool,
    },
    /// Another region told how it stands.
    Region(id::Region),
}

/// The VMs and upstreams of the region.
#[derive(Debug)]
pub struct Fleet {
    me: id::Vm,
    member: Member,
    /// The leases of upstreams that announce here.
    hosted: Registry,
    known: BTreeMap<id::Upstream, (Stamp, Hosted)>,
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing plain structures to memory can't fail.
    ciborium::into_writer(value, &mut bytes).ok();
    bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

impl Fleet {
    /// A VM that knows its seeds from the settings: the entry VMs of the site.
    pub fn new(me: &id::Vm, site: &Site, seed: u64, now: Instant) -> Self {
        let region = |vm: &id::Vm| site.vms.get(vm).map(|vm| vm.region.clone());
        let mut config = Config::new(me.clone(), region(me).unwrap_or_else(no_region));
        for (name, vm) in site.vms.iter().filter(|(_, vm)| vm.entry.is_some()) {
            config = config.with_seed(name.clone(), vm.region.clone());
        }
        Self {
            me: me.clone(),
            member: Member::new(config, seed, now),
            hosted: Registry::new(me.clone()),
            known: BTreeMap::new(),
        }
    }

    /// Tells the others about this VM.
    pub fn put_place(&mut self, place: &Place, now: Instant) {
        self.member.put(Key::Vm(self.me.clone()), encode(place), now);
    }

    /// Tells the others which catalogue is in force here.
    pub fn put_version(&mut self, version: Version, now: Instant) {
        self.member.put(Key::Catalogue(self.me.clone()), encode(&version), now);
    }

    /// Gives what the other regions should know of this one.
    pub fn put_digest(&mut self, digest: &impl Serialize) {
        self.member.put_digest(encode(digest));
    }

    /// How another region stood when it last told.
    pub fn digest<T: DeserializeOwned>(&self, region: &id::Region, now: Instant) -> Option<T> {
        if !self.member.hears(region, now) {
            return None;
        }
        decode(&self.member.get(&Key::Region(region.clone()), now)?.payload)
    }

    /// Does what is due: probes, leases that ran out, upstreams whose host is gone.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        for upstream in self.hosted.expire(now) {
            self.member.expire(&upstream, now);
        }
        let outputs = self.member.tick(now);
        let mut effects = self.effects(outputs);
        self.compare(now, &mut effects);
        effects
    }

    /// Takes a message of another VM.
    pub fn receive(&mut self, from: &id::Vm, message: Message, now: Instant) -> Vec<Effect> {
        let outputs = self.member.receive(from, message, now);
        let changed = outputs
            .iter()
            .any(|output| matches!(output, Output::Changed(Change::Fact(Key::Upstream(_)))));
        let mut effects = self.effects(outputs);
        if changed {
            self.compare(now, &mut effects);
        }
        effects
    }

    /// Takes an upstream's announcement; false where a newer one is known or it has left.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> (bool, Vec<Effect>) {
        let write = Write::new(announcement.sequence);
        let plain = Announcement { sequence: 0, ..announcement.clone() };
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        let told = self.member.announce(&id, incarnation, write, encode(&plain), now);
        let taken =
            told.is_ok() && self.hosted.announce(announcement, now) != upstream::Outcome::Stale;
        let mut effects = Vec::new();
        self.compare(now, &mut effects);
        (taken, effects)
    }

    /// Takes an upstream's leaving.
    pub fn leave(
        &mut self,
        id: &id::Upstream,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<Effect> {
        self.hosted.leave(id, incarnation, now);
        self.member.leave(id, incarnation, now);
        let mut effects = Vec::new();
        self.compare(now, &mut effects);
        effects
    }

    /// Tells the region that this VM leaves.
    pub fn depart(&mut self, now: Instant) -> Vec<Effect> {
        let outputs = self.member.depart(now);
        self.effects(outputs)
    }

    /// The VMs of the region that are alive and take requests, with what they tell of themselves.
    pub fn places(&self, now: Instant) -> Vec<(id::Vm, Place)> {
        let alive = self.member.alive();
        let place = |vm: &id::Vm| {
            let fact = self.member.get(&Key::Vm(vm.clone()), now)?;
            Some((vm.clone(), decode(&fact.payload)?))
        };
        alive.filter_map(place).collect()
    }

    /// The VM of the region with the newest catalogue in force.
    pub fn newest(&self, now: Instant) -> Option<(id::Vm, Version)> {
        let versions = self.member.alive().filter_map(|vm| {
            let fact = self.member.get(&Key::Catalogue(vm.clone()), now)?;
            Some((vm.clone(), decode::<Version>(&fact.payload)?))
        });
        versions.max_by_key(|(_, version)| *version)
    }

    /// The VMs of the region that are alive, this one among them.
    pub fn alive(&self) -> Vec<id::Vm> {
        self.member.alive().cloned().collect()
    }

    /// Whether a VM of the region is alive.
    pub fn is_alive(&self, vm: &id::Vm) -> bool {
        self.member.alive().any(|alive| alive == vm)
    }

    /// Whether this VM speaks for the region.
    pub fn speaks(&self) -> bool {
        self.member.speaks()
    }

    /// The upstreams that may be sent work.
    pub fn upstreams(&self) -> impl Iterator<Item = &Hosted> {
        self.known.values().map(|(_, hosted)| hosted)
    }

    fn effects(&self, outputs: Vec<Output>) -> Vec<Effect> {
        let effect = |output| match output {
            Output::Send { to, message } => Some(Effect::Send { to, message }),
            Output::Changed(Change::Alive { vm, alive }) => Some(Effect::Alive { vm, alive }),
            Output::Changed(Change::Fact(Key::Region(region))) => Some(Effect::Region(region)),
            Output::Changed(Change::Fact(_) | Change::Reincarnated) => None,
        };
        outputs.into_iter().filter_map(effect).collect()
    }

    /// Compares what is in force with what was known before. A fact goes out of force without a message when the
    /// VM that answers for it is gone, so this also runs on each tick.
    fn compare(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let mut seen = BTreeSet::new();
        for fact in self.member.facts(now) {
            let Key::Upstream(id) = &fact.key else { continue };
            seen.insert(id.clone());
            let stamp = fact.stamp();
            if self.known.get(id).is_some_and(|(known, _)| *known == stamp) {
                continue;
            }
            let Some(announcement) = decode::<Announcement>(&fact.payload) else { continue };
            let Some(host) = fact.holder.clone() else { continue };
            let hosted = Hosted { announcement, host };
            effects.push(Effect::Upstream(hosted.clone()));
            self.known.insert(id.clone(), (stamp, hosted));
        }
        let gone: Vec<id::Upstream> =
            self.known.keys().filter(|id| !seen.contains(*id)).cloned().collect();
        for id in gone {
            self.known.remove(&id);
            effects.push(Effect::Gone(id));
        }
    }
}

/// The name that stands where settings know no region; no VM has it.
fn no_region() -> id::Region {
    "none".parse().expect("a valid name")
}

#[cfg(test)]
mod tests;
