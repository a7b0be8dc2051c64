//! What membership costs and how fast it is: 350 VMs and 850 upstreams in three regions, in one
//! process, on an in-memory network. Bytes are those of the encoded messages that a VM sends;
//! `cargo bench --bench membership`.

use std::time::Duration;

use masticstream::id;
use masticstream::membership::Config;
use masticstream::membership::Key;
use masticstream::membership::Version;
use masticstream::unit::Incarnation;
use network::Network;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[allow(dead_code, reason = "shared with the tests, which use all of it")]
#[path = "../tests/membership/network.rs"]
mod network;

/// Region, VMs and upstreams; the first is the largest.
const SHAPE: [(&str, usize, usize); 3] =
    [("home", 200, 480), ("piedmont", 100, 240), ("delta", 50, 130)];

/// Address, data centre, role and state of a VM; and of an upstream with its models.
const VM_BYTES: usize = 120;
const UPSTREAM_BYTES: usize = 240;
const DIGEST_BYTES: usize = 200;

/// Time between two changes of one upstream (a model loaded, a new role), and of the catalogue.
const UPSTREAM_CHANGES: Duration = Duration::from_secs(600);
const CATALOGUE_CHANGES: Duration = Duration::from_secs(30);

const SECOND: Duration = Duration::from_secs(1);

/// A site, and which VM holds the lease of each upstream.
struct Site {
    network: Network,
    rng: SmallRng,
    versions: Vec<u64>,
    catalogue: u64,
}

/// The region of a VM or, with `true`, of an upstream.
fn region_of(mut i: usize, upstream: bool) -> usize {
    SHAPE
        .iter()
        .position(|(_, vms, upstreams)| {
            let count = if upstream { *upstreams } else { *vms };
            let inside = i < count;
            i = i.saturating_sub(count);
            inside
        })
        .unwrap()
}

fn vms_of(region: usize) -> std::ops::Range<usize> {
    let first: usize = SHAPE[..region].iter().map(|(_, vms, _)| vms).sum();
    first..first + SHAPE[region].1
}

fn config(i: usize) -> Config {
    let region = region_of(i, false);
    let own = Config::new(network::vm(i), network::region(SHAPE[region].0));
    let seeds = (0..SHAPE.len()).flat_map(|region| vms_of(region).take(3));
    seeds.fold(own, |config, seed| {
        config.with_seed(network::vm(seed), network::region(SHAPE[region_of(seed, false)].0))
    })
}

impl Site {
    fn start() -> Self {
        let vms: usize = SHAPE.iter().map(|(_, vms, _)| vms).sum();
        let upstreams: usize = SHAPE.iter().map(|(_, _, upstreams)| upstreams).sum();
        let mut network = Network::new(1);
        for i in 0..vms {
            network.start(config(i), vec![i as u8; VM_BYTES]);
            network.with(&network::vm(i), |member, _| member.put_digest(vec![0; DIGEST_BYTES]));
        }
        let rng = SmallRng::seed_from_u64(2);
        Self { network, rng, versions: vec![0; upstreams], catalogue: 0 }
    }

    fn holder(&self, upstream: usize) -> id::Vm {
        let vms = vms_of(region_of(upstream, true));
        network::vm(vms.start + upstream % vms.len())
    }

    fn announce(&mut self, upstream: usize) -> Vec<u8> {
        let version = self.versions[upstream] + 1;
        self.versions[upstream] = version;
        let payload: Vec<u8> = (0..UPSTREAM_BYTES).map(|_| self.rng.random()).collect();
        let (holder, content) = (self.holder(upstream), payload.clone());
        let announced = self.network.with(&holder, |member, now| {
            let (incarnation, version) = (Incarnation::new(1), Version::new(version));
            member.announce(&network::upstream(upstream), incarnation, version, content, now)
        });
        announced.unwrap();
        payload
    }

    /// Runs with the ordinary changes of a busy site, or without any.
    fn run(&mut self, seconds: u64, busy: bool) {
        let share = SECOND.as_secs_f64() / UPSTREAM_CHANGES.as_secs_f64();
        for second in 0..seconds {
            for upstream in 0..self.versions.len() {
                if busy && self.rng.random_bool(share) {
                    self.announce(upstream);
                }
            }
            if busy && second % CATALOGUE_CHANGES.as_secs() == 0 {
                self.catalogue += 1;
                let payload = self.catalogue.to_le_bytes().to_vec();
                for i in 0..vms_of(SHAPE.len() - 1).end {
                    let vm = network::vm(i);
                    let key = Key::Catalogue(vm.clone());
                    self.network.with(&vm, |member, now| member.put(key, payload.clone(), now));
                }
            }
            self.network.run(SECOND);
        }
    }

    /// Prints what the time since the last call has cost.
    fn report(&mut self, what: &str, seconds: u64) {
        let meter = std::mem::take(&mut self.network.meter);
        let busy = meter.busy.as_secs_f64() / (350 * seconds) as f64;
        println!("{what}: processor {:.3}% of a core per VM", busy * 100.0);
        for (region, (name, vms, upstreams)) in SHAPE.iter().enumerate() {
            let bytes =
                vms_of(region).map(|i| meter.sent.get(&network::vm(i)).copied().unwrap_or(0));
            let (mut total, mut most) = (0, 0);
            bytes.for_each(|bytes| (total, most) = (total + bytes, most.max(bytes)));
            println!(
                "  {name:>9} ({vms} VMs, {upstreams} upstreams): sent {:.2} KB/s per VM, most {:.2}",
                total as f64 / (*vms as u64 * seconds) as f64 / 1000.0,
                most as f64 / seconds as f64 / 1000.0,
            );
        }
    }

    /// Time until a new announcement is on all VMs of the largest region.
    fn spread(&mut self, what: &str) {
        let mut times = Vec::new();
        for round in 0..50 {
            let upstream = round * 7 % SHAPE[0].2;
            let payload = self.announce(upstream);
            let key = Key::Upstream(network::upstream(upstream));
            let known = |network: &Network| {
                let vms = vms_of(0).filter(|i| {
                    let member = network.member(&network::vm(*i));
                    member.get(&key, network.now).is_some_and(|fact| fact.payload == payload)
                });
                vms.count() == SHAPE[0].1
            };
            times.push(self.network.run_until(10 * SECOND, known).expect("never known"));
        }
        times.sort();
        let (median, most) = (times[25], times[49]);
        println!("{what}: new announcement on 200 VMs: median {median:?}, most {most:?} of 50");
    }

    fn alive_everywhere(network: &Network, region: usize, count: usize) -> bool {
        vms_of(region).all(|i| network.member(&network::vm(i)).alive().count() == count)
    }
}

/// What heartbeats between all VMs of the largest region would cost, by the size of a probe.
fn print_full_mesh() {
    let mut network = Network::with_region(1, 3);
    network.weighs = true;
    network.run(20 * SECOND);
    let sent: u64 = network.meter.sent.values().sum();
    let links = 3 * 2;
    let probe = sent as f64 / (links * 20) as f64;
    let mesh = probe * (SHAPE[0].1 - 1) as f64 / 1000.0;
    println!(
        "a probe and an answer: {probe:.0} bytes; from each to all others: {mesh:.1} KB/s per VM"
    );
}

fn main() {
    print_full_mesh();
    let mut site = Site::start();
    site.network.weighs = true;
    let whole = |network: &Network| {
        (0..SHAPE.len()).all(|region| Site::alive_everywhere(network, region, SHAPE[region].1))
    };
    let time = site.network.run_until(60 * SECOND, whole).expect("never whole");
    println!("start of 350 VMs at once: all know of all after {time:?}");
    for upstream in 0..site.versions.len() {
        site.announce(upstream);
    }
    site.run(20, false);
    site.report("start, and 850 announcements at once, over 20 s and more", 20);
    site.run(60, false);
    site.report("no changes, 60 s", 60);
    site.run(120, true);
    site.report("ordinary changes, 120 s", 120);

    site.network.weighs = false;
    site.spread("no loss");
    site.network.loss = 0.02;
    site.spread("2% loss");
    site.network.loss = 0.0;
    site.run(5, false);

    let (dead, others) = (network::vm(77), SHAPE[0].1 - 1);
    site.network.kill(&dead);
    let found = |network: &Network| {
        let living = vms_of(0).filter(|i| network::vm(*i) != dead);
        living.map(|i| network.member(&network::vm(i)).alive().count()).all(|n| n == others)
    };
    let time = site.network.run_until(30 * SECOND, found).expect("never found out");
    println!("dead VM known to all 199 others after {time:?}");

    site.network.start(config(77), vec![1; VM_BYTES]);
    let facts = site.network.member(&network::vm(3)).facts(site.network.now).count();
    let joined = |network: &Network| {
        network.member(&dead).facts(network.now).count() >= facts
            && Site::alive_everywhere(network, 0, SHAPE[0].1)
    };
    let time = site.network.run_until(30 * SECOND, joined).expect("never joined");
    println!("restarted VM has all {facts} facts, and is known to all, after {time:?}");
}
