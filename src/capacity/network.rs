//! Members of one region and speakers of others on an in-memory network, with all messages encoded and weighed.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::id;
use crate::membership::Config;
use crate::membership::Key;
use crate::membership::Member;
use crate::membership::Output;
use crate::membership::TICK;
use crate::membership::Version;
use crate::unit::Incarnation;
use crate::wire::Cast;
use crate::wire::Frame;

/// Address, data centre, role and state of a VM; an upstream with its models; a region's digest of 9 models.
const VM_BYTES: usize = 120;
const UPSTREAM_BYTES: usize = 240;
const DIGEST_BYTES: usize = 350;
/// VMs of each other region: enough that one speaks and others stand by.
const OTHERS: usize = 3;
const REGIONS: usize = 5;

/// What the network has carried.
#[derive(Debug, Default, Clone, Copy)]
pub struct Used {
    /// Bytes that VMs of the first region sent.
    pub bytes: u64,
    /// Messages that they sent.
    pub messages: u64,
    /// Nanoseconds inside members, encoding and decoding, of all regions.
    pub nanos: u64,
    /// Bytes that the last VM of the first region received.
    pub received: u64,
}

/// A message on its way.
struct Letter {
    from: id::Vm,
    to: id::Vm,
    bytes: Bytes,
}

/// Members on a network that delivers within the tick.
pub struct Network {
    pub used: Used,
    now: Instant,
    vms: usize,
    members: BTreeMap<id::Vm, Member>,
    versions: Vec<u64>,
    rng: SmallRng,
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("made of letters, digits and hyphens")
}

fn vm(region: usize, number: usize) -> id::Vm {
    name(&format!("region-{region}-vm-{number:03}"))
}

fn region(number: usize) -> id::Region {
    name(&format!("region-{number}"))
}

impl Network {
    /// A region of so many VMs and upstreams, and the speakers of others, ten seconds and more after the start.
    pub fn new(vms: usize, upstreams: usize) -> Self {
        let mut network = Self {
            used: Used::default(),
            now: Instant::now(),
            vms,
            members: BTreeMap::new(),
            versions: vec![0; upstreams],
            rng: SmallRng::seed_from_u64(1),
        };
        for place in network.places() {
            network.start(place);
        }
        network.run(Duration::from_secs(10));
        for upstream in 0..upstreams {
            network.announce(upstream);
        }
        network.run(Duration::from_secs(10));
        network
    }

    fn places(&self) -> Vec<(usize, usize)> {
        let own = (0..self.vms).map(|number| (0, number));
        let others =
            (1..REGIONS).flat_map(|region| (0..OTHERS).map(move |number| (region, number)));
        own.chain(others).collect()
    }

    /// Starts a member, which knows all VMs of the settings, as a daemon does.
    fn start(&mut self, (own, number): (usize, usize)) {
        let me = vm(own, number);
        let config = self
            .places()
            .into_iter()
            .fold(Config::new(me.clone(), region(own)), |config, (other, number)| {
                config.with_seed(vm(other, number), region(other))
            });
        let mut member = Member::new(config, self.rng.random(), self.now);
        member.put(Key::Vm(me.clone()), vec![number as u8; VM_BYTES], self.now);
        member.put(Key::Catalogue(me.clone()), vec![1; 4], self.now);
        member.put_digest(vec![0; DIGEST_BYTES]);
        self.members.insert(me, member);
    }

    /// The last VM of the region is started anew, without a word.
    pub fn restart_last(&mut self) {
        self.start((0, self.vms - 1));
    }

    /// The facts that the last VM of the region has.
    pub fn facts(&self) -> usize {
        self.members[&vm(0, self.vms - 1)].facts(self.now).count()
    }

    /// An upstream announces something else at the VM that holds its lease.
    pub fn announce(&mut self, upstream: usize) {
        self.versions[upstream] += 1;
        let version = Version::new(self.versions[upstream]);
        let payload: Vec<u8> = (0..UPSTREAM_BYTES).map(|_| self.rng.random()).collect();
        let name: id::Upstream = name(&format!("engine-{upstream:03}"));
        if let Some(member) = self.members.get_mut(&vm(0, upstream % self.vms)) {
            // Its versions rise, so it isn't stale.
            member.announce(&name, Incarnation::new(1), version, payload, self.now).ok();
        }
    }

    /// A new catalogue is in force on all VMs.
    pub fn change_catalogue(&mut self, version: u8) {
        for (vm, member) in &mut self.members {
            member.put(Key::Catalogue(vm.clone()), vec![version; 4], self.now);
        }
    }

    /// Runs for a time; gives what it cost.
    pub fn run(&mut self, time: Duration) -> Used {
        self.used = Used::default();
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.tick();
        }
        self.used
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut letters = Vec::new();
        let mut nanos = 0;
        for (from, member) in &mut self.members {
            let started = Instant::now();
            let outputs = member.tick(now);
            post(from, outputs, &mut letters);
            nanos += started.elapsed().as_nanos() as u64;
        }
        // An answer comes in the same tick, as within a region it takes less than a tick; none are cut short.
        while !letters.is_empty() {
            let mut answers = Vec::new();
            for letter in letters {
                self.weigh(&letter);
                let Some(member) = self.members.get_mut(&letter.to) else { continue };
                let started = Instant::now();
                let frame = Frame::decode(&letter.bytes);
                let Ok(Frame::Cast(Cast::Membership(message))) = frame else { continue };
                let outputs = member.receive(&letter.from, message, now);
                post(&letter.to, outputs, &mut answers);
                nanos += started.elapsed().as_nanos() as u64;
            }
            letters = answers;
        }
        self.used.nanos += nanos;
    }

    fn weigh(&mut self, letter: &Letter) {
        if letter.from.as_str().starts_with("region-0-") {
            self.used.messages += 1;
            self.used.bytes += letter.bytes.len() as u64;
        }
        if letter.to == vm(0, self.vms - 1) {
            self.used.received += letter.bytes.len() as u64;
        }
    }
}

fn post(from: &id::Vm, outputs: Vec<Output>, letters: &mut Vec<Letter>) {
    for output in outputs {
        let Output::Send { to, message } = output else { continue };
        // Writing plain structures to memory can't fail.
        let Ok(bytes) = Frame::Cast(Cast::Membership(message)).encode() else { continue };
        letters.push(Letter { from: from.clone(), to, bytes });
    }
}
