//! A VM's view of its region.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::config::Config;
use super::config::SPREAD_BYTES;
use super::detect::Detector;
use super::fact::Fact;
use super::fact::State;
use super::key::Key;
use super::lease::Held;
use super::message::Message;
use super::output::Change;
use super::output::Output;
use super::relay::Relay;
use super::repair::Repair;
use super::ring;
use super::spread::Spread;
use super::stamp::Version;
use super::store::Store;
use crate::id;
use crate::unit::Incarnation;

/// A VM's view of its region: who is alive, and what is known.
#[derive(Debug)]
pub struct Member {
    pub(super) config: Config,
    pub(super) rng: SmallRng,
    pub(super) store: Store,
    pub(super) detector: Detector,
    pub(super) repair: Repair,
    pub(super) relay: Relay,
    pub(super) neighbours: Vec<id::Vm>,
    pub(super) alive: BTreeSet<id::Vm>,
    spread: Spread,
    pub(super) birth: u32,
    incarnation: Incarnation,
    departed: bool,
    pub(super) held: HashMap<id::Upstream, Held>,
}

impl Member {
    /// A member that knows its seeds only. Equal seeds of the random numbers give equal runs.
    pub fn new(config: Config, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut member = Self {
            birth: rng.random(),
            detector: Detector::new(now, &mut rng),
            repair: Repair::new(now),
            relay: Relay::new(now),
            alive: BTreeSet::from([config.vm.clone()]),
            config,
            rng,
            store: Store::new(),
            neighbours: Vec::new(),
            spread: Spread::default(),
            incarnation: Incarnation::new(1),
            departed: false,
            held: HashMap::new(),
        };
        member.write_own(Key::Vm(member.config.vm.clone()), Vec::new(), now);
        member
    }

    /// Does what is due; to be called every [`super::config::TICK`].
    pub fn tick(&mut self, now: Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        if !self.departed {
            self.detect(now, &mut outputs);
            self.relay_digest(now, &mut outputs);
        }
        self.store.sweep(now);
        self.tell_neighbours(&mut outputs);
        outputs
    }

    /// Takes in a message from another VM.
    pub fn receive(&mut self, from: &id::Vm, message: Message, now: Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let Message::Digest { fact, answer } = message {
            self.receive_digest(from, fact, answer, now, &mut outputs);
            return outputs;
        }
        if !self.admits(from, &message) {
            return outputs;
        }
        self.detector.heard(from, now);
        match message {
            Message::Ping { nonce, .. } => self.receive_ping(from, nonce, &mut outputs),
            Message::Ack { nonce, digest } => {
                self.receive_ack(from, nonce, digest, now, &mut outputs);
            }
            Message::Probe { nonce, target } => {
                self.receive_probe(from, nonce, target, now, &mut outputs);
            }
            Message::Answers { nonce } => self.detector.answered_indirectly(nonce),
            Message::Facts(facts) => {
                for fact in facts {
                    self.accept(Some(from), fact, now, &mut outputs);
                }
            }
            Message::Buckets(digests) => self.receive_buckets(from, &digests, now, &mut outputs),
            Message::Lines { buckets, lines } => {
                self.receive_lines(from, &buckets, lines, &mut outputs);
            }
            Message::Want(keys) => self.receive_want(from, &keys, &mut outputs),
            Message::Digest { .. } => {}
        }
        outputs
    }

    /// States a fact about this VM: its own, or the catalogue version that is in force on it.
    pub fn put(&mut self, key: Key, payload: Vec<u8>, now: Instant) {
        let known = self.store.get(&key);
        let same = |fact: &Fact| fact.payload == payload && fact.birth == self.birth;
        if !self.departed && !known.is_some_and(|known| same(&known.fact)) {
            self.write_own(key, payload, now);
        }
    }

    /// States what the other regions should know of this one; sent if this VM speaks for the region.
    pub fn put_digest(&mut self, payload: Vec<u8>) {
        self.relay.payload = Some(payload);
    }

    /// Tells the region that this VM leaves now; nothing is refuted any more.
    pub fn depart(&mut self, now: Instant) -> Vec<Output> {
        let key = Key::Vm(self.config.vm.clone());
        if let Some(own) = self.store.get(&key) {
            let fact = (*own.fact).clone();
            self.write(fact.with_state(State::Gone), now);
        }
        self.departed = true;
        let mut outputs = Vec::new();
        self.tell_neighbours(&mut outputs);
        outputs
    }

    /// The VMs of the region that are alive, this one among them.
    pub fn alive(&self) -> impl Iterator<Item = &id::Vm> {
        self.alive.iter()
    }

    /// Whether a VM answers this one itself, as far as is known, and not only others.
    pub fn reachable(&self, vm: &id::Vm) -> bool {
        self.alive.contains(vm) && !self.detector.is_cut(vm)
    }

    /// The VMs that this one watches and tells: the links to keep open.
    pub fn neighbours(&self) -> &[id::Vm] {
        &self.neighbours
    }

    /// The fact about a key, if it is in force.
    pub fn get(&self, key: &Key, now: Instant) -> Option<&Arc<Fact>> {
        let fact = &self.store.get(key)?.fact;
        self.in_force(fact, now).then_some(fact)
    }

    /// All facts in force.
    pub fn facts(&self, now: Instant) -> impl Iterator<Item = &Arc<Fact>> {
        self.store.iter().map(|entry| &entry.fact).filter(move |fact| self.in_force(fact, now))
    }

    /// This VM's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Facts that are still to be told to the neighbours.
    pub fn backlog(&self) -> usize {
        self.spread.len()
    }

    /// Takes in a fact that another VM sent, or that this VM found out.
    pub(super) fn accept(
        &mut self,
        from: Option<&id::Vm>,
        fact: Arc<Fact>,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        let own = matches!(&fact.key, Key::Vm(vm) | Key::Catalogue(vm) if *vm == self.config.vm);
        if own && self.refute(&fact, now, outputs) {
            return;
        }
        let key = fact.key.clone();
        if !self.store.insert(Arc::clone(&fact), now) {
            return;
        }
        self.spread.push(key.clone(), from.cloned());
        outputs.push(Output::Changed(Change::Fact(key.clone())));
        match &key {
            Key::Vm(vm) => self.vm_changed(vm, fact.state, now, outputs),
            Key::Upstream(upstream) => self.upstream_changed(upstream, &fact, now),
            Key::Catalogue(_) | Key::Region(_) => {}
        }
    }

    /// Answers a newer fact about this VM that it hasn't written, with a still newer one of its own.
    ///
    /// Such a fact is a suspicion, a declaration that this VM is gone (it was frozen or cut off), or
    /// what its predecessor wrote before a restart. Unanswered, the region would go by it.
    fn refute(&mut self, fact: &Fact, now: Instant, outputs: &mut Vec<Output>) -> bool {
        let Some(mine) = self.store.get(&fact.key) else { return false };
        if self.departed || mine.fact.birth != self.birth || mine.stamp >= fact.stamp() {
            return false;
        }
        let payload = mine.fact.payload.clone();
        let vm = matches!(fact.key, Key::Vm(_));
        if vm && (fact.state == State::Gone || fact.birth != self.birth) {
            self.incarnation = self.incarnation.max(fact.incarnation).next();
            outputs.push(Output::Changed(Change::Reincarnated));
        }
        let version = fact.version.next();
        let incarnation = self.incarnation.max(fact.incarnation);
        self.write(self.own(fact.key.clone(), incarnation, version, payload), now);
        true
    }

    fn own(&self, key: Key, incarnation: Incarnation, version: Version, payload: Vec<u8>) -> Fact {
        let (birth, state) = (self.birth, State::Present);
        Fact { key, incarnation, version, state, birth, holder: None, payload }
    }

    fn write_own(&mut self, key: Key, payload: Vec<u8>, now: Instant) {
        let known =
            self.store.get(&key).map(|known| (known.stamp.incarnation, known.stamp.version));
        let (incarnation, version) = known.unwrap_or_default();
        let incarnation = self.incarnation.max(incarnation);
        self.write(self.own(key, incarnation, version.next(), payload), now);
    }

    /// Writes the digest of this region, above whatever its last speaker wrote.
    pub(super) fn write_digest(&mut self, payload: Vec<u8>, now: Instant) {
        let key = Key::Region(self.config.region.clone());
        let version = self.store.get(&key).map(|known| known.stamp.version).unwrap_or_default();
        let mut fact = self.own(key, Incarnation::ZERO, version.next(), payload);
        fact.holder = Some(self.config.vm.clone());
        self.write(fact, now);
    }

    pub(super) fn write(&mut self, fact: Fact, now: Instant) {
        let key = fact.key.clone();
        if self.store.insert(Arc::new(fact), now) {
            self.spread.push(key, None);
        }
    }

    /// Tells each neighbour the new facts, as many as fit into one tick.
    fn tell_neighbours(&mut self, outputs: &mut Vec<Output>) {
        let mut bytes = 0;
        let mut batches: BTreeMap<&id::Vm, Vec<Arc<Fact>>> = BTreeMap::new();
        while bytes < SPREAD_BYTES && !self.neighbours.is_empty() {
            let Some(item) = self.spread.pop() else { break };
            let Some(known) = self.store.get(&item.key) else { continue };
            bytes += known.fact.size();
            for neighbour in self.neighbours.iter().filter(|vm| Some(*vm) != item.source.as_ref()) {
                batches.entry(neighbour).or_default().push(Arc::clone(&known.fact));
            }
        }
        let send = |(to, facts): (&id::Vm, _)| Output::Send {
            to: to.clone(),
            message: Message::Facts(facts),
        };
        outputs.extend(batches.into_iter().map(send));
    }

    /// The VMs of the region that aren't gone, as far as this one knows.
    pub(super) fn standing(&self) -> impl Iterator<Item = &id::Vm> + Clone {
        self.store
            .vms()
            .filter(|entry| !entry.stamp.gone)
            .filter_map(|entry| entry.fact.answerable())
    }

    pub(super) fn choose_neighbours(&mut self) {
        self.neighbours = ring::successors(&self.config.vm, self.standing());
    }
}
