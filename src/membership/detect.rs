//! Finding out which VMs are alive: probes, suspicion, and the way back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::config::GONE_DELAY;
use super::config::HELPERS;
use super::config::PROBE_PERIOD;
use super::config::PROBE_TIMEOUT;
use super::config::RECONNECT_PERIOD;
use super::config::STALL;
use super::config::SUSPICION;
use super::fact::State;
use super::key::Key;
use super::member::Member;
use super::message::Message;
use super::message::Nonce;
use super::output::Change;
use super::output::Output;
use crate::clock::pause;
use crate::id;

/// Most VMs that are admitted before their own fact has come.
const MAX_GUESTS: usize = 1024;

/// Seeds that a starting VM asks at once.
const FIRST_SEEDS: usize = 3;

/// A probe that is on its way.
#[derive(Debug)]
struct Probe {
    target: id::Vm,
    sent: Instant,
    /// Whether other VMs were asked to probe as well.
    escalated: bool,
    /// Whether one of them had an answer.
    indirect: bool,
}

/// A probe on behalf of another VM.
#[derive(Debug)]
struct Errand {
    asker: id::Vm,
    nonce: Nonce,
    since: Instant,
}

/// What is on its way, and what was heard.
#[derive(Debug)]
pub(super) struct Detector {
    next_nonce: u32,
    next_round: Instant,
    next_reconnect: Instant,
    pauses: pause::Detector,
    started: bool,
    probes: HashMap<u32, Probe>,
    errands: HashMap<u32, Errand>,
    heard: HashMap<id::Vm, Instant>,
    /// VMs that answer others and not this one.
    cut: BTreeSet<id::Vm>,
    suspects: BTreeMap<id::Vm, Instant>,
    /// VMs that were declared gone and may still refute it.
    dying: BTreeMap<id::Vm, Instant>,
    guests: BTreeSet<id::Vm>,
}

impl Detector {
    pub(super) fn new(now: Instant, rng: &mut SmallRng) -> Self {
        Self {
            next_nonce: rng.random(),
            next_round: now + PROBE_PERIOD.mul_f64(rng.random()),
            next_reconnect: now,
            pauses: pause::Detector::new(STALL),
            started: false,
            probes: HashMap::new(),
            errands: HashMap::new(),
            heard: HashMap::new(),
            cut: BTreeSet::new(),
            suspects: BTreeMap::new(),
            dying: BTreeMap::new(),
            guests: BTreeSet::new(),
        }
    }

    pub(super) fn heard(&mut self, from: &id::Vm, now: Instant) {
        self.heard.insert(from.clone(), now);
    }

    pub(super) fn is_cut(&self, vm: &id::Vm) -> bool {
        self.cut.contains(vm)
    }

    pub(super) fn answered_indirectly(&mut self, nonce: Nonce) {
        if let Some(probe) = self.probes.get_mut(&nonce.0) {
            probe.indirect = true;
        }
    }

    fn nonce(&mut self) -> Nonce {
        self.next_nonce = self.next_nonce.wrapping_add(1);
        Nonce(self.next_nonce)
    }

    /// Drops whatever a standstill of this process has made meaningless.
    ///
    /// After a freeze no answer has been read for long. Judged by that, all others would be suspected
    /// by the very VM that was away.
    fn forgive_stall(&mut self, now: Instant) {
        if self.pauses.observe(now).is_some() {
            self.probes.clear();
            self.suspects.values_mut().for_each(|since| *since = now);
        }
    }
}

impl Member {
    /// Whether a message of that VM is taken at all: its region's details go nowhere else.
    pub(super) fn admits(&mut self, from: &id::Vm, message: &Message) -> bool {
        if let Message::Ping { region, .. } = message {
            if *region != self.config.region || *from == self.config.vm {
                return false;
            }
            if self.detector.guests.len() < MAX_GUESTS {
                self.detector.guests.insert(from.clone());
            }
            return true;
        }
        let known = self.store.get(&Key::Vm(from.clone())).is_some();
        let seed = |seed: &super::Seed| seed.vm == *from && seed.region == self.config.region;
        *from != self.config.vm
            && (known || self.detector.guests.contains(from) || self.config.seeds.iter().any(seed))
    }

    /// Probes, judges the last probes, and acts on what stays suspected.
    pub(super) fn detect(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.detector.forgive_stall(now);
        self.escalate(now, outputs);
        if now >= self.detector.next_round {
            self.detector.next_round = now + PROBE_PERIOD;
            self.judge(now, outputs);
            for neighbour in self.neighbours.clone() {
                self.probe(neighbour, now, outputs);
            }
        }
        self.declare_gone(now, outputs);
        self.bury(now, outputs);
        if now >= self.detector.next_reconnect {
            self.detector.next_reconnect = now + RECONNECT_PERIOD;
            self.reconnect(outputs);
        }
    }

    fn ping(&mut self, to: id::Vm, outputs: &mut Vec<Output>) -> Nonce {
        let nonce = self.detector.nonce();
        let digest = self.store.digest();
        let region = self.config.region.clone();
        outputs.push(Output::Send { to, message: Message::Ping { nonce, digest, region } });
        nonce
    }

    fn probe(&mut self, target: id::Vm, now: Instant, outputs: &mut Vec<Output>) {
        let nonce = self.ping(target.clone(), outputs);
        let probe = Probe { target, sent: now, escalated: false, indirect: false };
        self.detector.probes.insert(nonce.0, probe);
    }

    /// Asks others to probe whoever hasn't answered in time.
    ///
    /// A link that lost track of its connection, or a cut in one direction, would otherwise have a VM
    /// declared gone that serves everyone else.
    fn escalate(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let me = self.config.vm.clone();
        for (nonce, probe) in &mut self.detector.probes {
            if probe.escalated || now < probe.sent + PROBE_TIMEOUT {
                continue;
            }
            probe.escalated = true;
            let others = self.alive.iter().filter(|vm| **vm != me && **vm != probe.target);
            for helper in others.choose_multiple(&mut self.rng, HELPERS) {
                let message = Message::Probe { nonce: Nonce(*nonce), target: probe.target.clone() };
                outputs.push(Output::Send { to: helper.clone(), message });
            }
        }
    }

    /// Suspects whoever was neither heard nor found by others since the last round.
    fn judge(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let probes = std::mem::take(&mut self.detector.probes);
        for probe in probes.into_values() {
            let last = self.detector.heard.get(&probe.target);
            let heard = last.is_some_and(|last| *last >= probe.sent);
            if heard || probe.indirect {
                self.detector.cut.insert(probe.target);
                continue;
            }
            let Some(known) = self.store.get(&Key::Vm(probe.target)) else { continue };
            if known.fact.state == State::Present {
                let fact = (*known.fact).clone().with_state(State::Suspected);
                self.accept(None, fact.into(), now, outputs);
            }
        }
        self.detector.errands.retain(|_, errand| now < errand.since + PROBE_PERIOD);
    }

    fn declare_gone(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let due = |(_, since): &(&id::Vm, &Instant)| now >= **since + SUSPICION;
        let due: Vec<_> =
            self.detector.suspects.iter().filter(due).map(|(vm, _)| vm.clone()).collect();
        for vm in due {
            self.detector.suspects.remove(&vm);
            if let Some(known) = self.store.get(&Key::Vm(vm)) {
                let fact = (*known.fact).clone().with_state(State::Gone);
                self.accept(None, fact.into(), now, outputs);
            }
        }
    }

    /// Takes those out of the living who haven't refuted their end in time.
    fn bury(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let alive = &mut self.alive;
        self.detector.dying.retain(|vm, since| {
            let waits = now < *since + GONE_DELAY;
            if !waits && alive.remove(vm) {
                outputs.push(Output::Changed(Change::Alive { vm: vm.clone(), alive: false }));
            }
            waits
        });
    }

    /// Tries a seed or a VM that is thought gone: it may be back, or a partition may have healed.
    fn reconnect(&mut self, outputs: &mut Vec<Output>) {
        let present = |vm: &id::Vm| {
            let known = self.store.get(&Key::Vm(vm.clone()));
            known.is_some_and(|known| !known.stamp.gone)
        };
        let home = self.config.seeds.iter().filter(|seed| seed.region == self.config.region);
        let mut lost: Vec<id::Vm> = home.map(|seed| seed.vm.clone()).collect();
        let gone = self.store.vms().filter(|entry| entry.stamp.gone);
        lost.extend(gone.filter_map(|entry| entry.fact.answerable().cloned()));
        lost.retain(|vm| *vm != self.config.vm && !present(vm));
        let count = if self.detector.started { 1 } else { FIRST_SEEDS };
        self.detector.started = true;
        let chosen: Vec<_> = lost.choose_multiple(&mut self.rng, count).cloned().collect();
        for vm in chosen {
            self.ping(vm, outputs);
        }
    }

    /// Keeps the set of the living in step with a newer fact about a VM.
    pub(super) fn vm_changed(
        &mut self,
        vm: &id::Vm,
        state: State,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        self.detector.suspects.remove(vm);
        self.detector.guests.remove(vm);
        match state {
            State::Suspected => {
                self.detector.suspects.insert(vm.clone(), now);
            }
            State::Gone => {
                self.detector.dying.insert(vm.clone(), now);
                self.detector.heard.remove(vm);
                self.detector.cut.remove(vm);
            }
            State::Present => {}
        }
        if state != State::Gone {
            self.detector.dying.remove(vm);
            if self.alive.insert(vm.clone()) {
                outputs.push(Output::Changed(Change::Alive { vm: vm.clone(), alive: true }));
            }
        }
        self.choose_neighbours();
    }

    pub(super) fn receive_ping(&mut self, from: &id::Vm, nonce: Nonce, outputs: &mut Vec<Output>) {
        let message = Message::Ack { nonce, digest: self.store.digest() };
        outputs.push(Output::Send { to: from.clone(), message });
        self.tell_its_state(from, outputs);
    }

    pub(super) fn receive_ack(
        &mut self,
        from: &id::Vm,
        nonce: Nonce,
        digest: u64,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        self.detector.cut.remove(from);
        self.detector.probes.remove(&nonce.0);
        if let Some(errand) = self.detector.errands.remove(&nonce.0) {
            let message = Message::Answers { nonce: errand.nonce };
            outputs.push(Output::Send { to: errand.asker, message });
        }
        self.tell_its_state(from, outputs);
        self.compare(from, digest, now, outputs);
    }

    pub(super) fn receive_probe(
        &mut self,
        from: &id::Vm,
        nonce: Nonce,
        target: id::Vm,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        let own = self.ping(target, outputs);
        let errand = Errand { asker: from.clone(), nonce, since: now };
        self.detector.errands.insert(own.0, errand);
    }

    /// Tells a VM that it is suspected or was declared gone, so that it can refute.
    fn tell_its_state(&self, vm: &id::Vm, outputs: &mut Vec<Output>) {
        let Some(known) = self.store.get(&Key::Vm(vm.clone())) else { return };
        if known.fact.state != State::Present {
            let message = Message::Facts(vec![known.fact.clone()]);
            outputs.push(Output::Send { to: vm.clone(), message });
        }
    }
}
