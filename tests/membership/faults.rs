//! What a region knows of itself while its VMs and links fail.

use std::time::Duration;

use masticstream::id;
use masticstream::membership::Change;
use masticstream::membership::Config;
use masticstream::membership::Key;
use masticstream::membership::Member;
use masticstream::membership::Stale;
use masticstream::membership::Version;
use masticstream::unit::Incarnation;
use tokio::time::Instant;

use crate::network::Network;
use crate::network::home_config;
use crate::network::region;
use crate::network::upstream;
use crate::network::vm;

/// New facts are on all VMs of a region within this time; it was promised.
const SPREAD: Duration = Duration::from_secs(2);

/// A dead VM is known to be dead within this time.
const DETECTION: Duration = Duration::from_secs(6);

fn alive(member: &Member) -> usize {
    member.alive().count()
}

fn knows(member: &Member, key: &Key, payload: &[u8], now: Instant) -> bool {
    member.get(key, now).is_some_and(|fact| fact.payload == payload)
}

fn announce(network: &mut Network, at: usize, version: u64, payload: &[u8]) -> Result<(), Stale> {
    let version = Version::new(version);
    network.with(&vm(at), |member, now| {
        member.announce(&upstream(1), Incarnation::new(1), version, payload.to_vec(), now)
    })
}

fn upstream_key() -> Key {
    Key::Upstream(upstream(1))
}

#[test]
fn a_region_finds_itself_from_two_seeds() {
    let network = Network::with_region(1, 40);
    assert_eq!(network.count(|member| alive(member) == 40), 40);
}

#[test]
fn facts_spread_in_time_under_loss() {
    // An engine announces itself while every tenth message between VMs is lost. Some VMs miss all of
    // the copies that are sent to them and would never send work there; comparing digests with their
    // neighbours brings them the fact.
    let mut network = Network::with_region(2, 60);
    network.loss = 0.1;
    announce(&mut network, 5, 1, b"engine").unwrap();
    let known = |network: &Network| {
        network.count(|member| knows(member, &upstream_key(), b"engine", network.now)) == 60
    };
    let time = network.run_until(SPREAD, known);
    assert!(time.is_some(), "not known everywhere within {SPREAD:?}");
    let changes = network.run(Duration::from_secs(60));
    let deaths = changes.iter().filter(|(_, _, c)| matches!(c, Change::Alive { alive: false, .. }));
    assert_eq!(deaths.count(), 0, "loss alone must not get a VM declared gone");
}

#[test]
fn a_dead_vm_is_found_out_and_its_upstreams_are_not_used() {
    // A VM loses its power. The engine that announced itself there finds no other VM. Callers' work
    // must go to neither; so both are out of force on all VMs after detection and the lease.
    let mut network = Network::with_region(3, 20);
    announce(&mut network, 7, 1, b"engine").unwrap();
    network.run(SPREAD);
    network.kill(&vm(7));
    let found = network.run_until(DETECTION, |n| n.count(|member| alive(member) == 19) == 19);
    assert!(found.is_some());
    network.run(Duration::from_secs(3));
    let now = network.now;
    assert_eq!(network.count(|member| member.get(&upstream_key(), now).is_some()), 0);
}

#[test]
fn an_upstream_that_moves_on_from_a_dead_vm_stays_in_force() {
    // The VM that an engine announces itself to dies; the engine renews at another one within its
    // lease. No VM of the region may think it gone in between.
    let mut network = Network::with_region(4, 20);
    announce(&mut network, 7, 1, b"engine").unwrap();
    network.run(SPREAD);
    network.kill(&vm(7));
    network.run(Duration::from_secs(1));
    announce(&mut network, 3, 4, b"engine").unwrap();
    for _ in 0..100 {
        network.run(Duration::from_millis(100));
        let now = network.now;
        assert_eq!(network.count(|member| member.get(&upstream_key(), now).is_some()), 19);
    }
}

#[test]
fn a_partition_splits_the_view_and_heals_without_emptying_it() {
    // A switch fails for a minute and cuts the region in two. Each side drops the other. When it
    // heals, each side comes with the news that all VMs of the other are gone; nobody may see its own
    // side vanish for that, and after a few seconds all see all.
    let mut network = Network::with_region(5, 24);
    let (left, right): (Vec<usize>, Vec<usize>) = (0..24).partition(|i| i % 3 == 0);
    network.partition(&left, &right);
    network.run(Duration::from_secs(60));
    assert_eq!(network.count(|member| alive(member) == left.len()), left.len());
    assert_eq!(network.count(|member| alive(member) == right.len()), right.len());

    network.cuts.clear();
    let healed = network.run_until(Duration::from_secs(8), |n| {
        assert!(n.count(|member| alive(member) >= left.len()) == 24, "a side has vanished");
        n.count(|member| alive(member) == 24) == 24
    });
    assert!(healed.is_some());
    let later = network.run(Duration::from_secs(10));
    let deaths = later.iter().filter(|(_, _, c)| matches!(c, Change::Alive { alive: false, .. }));
    assert_eq!(deaths.count(), 0);
}

#[test]
fn a_one_way_cut_kills_no_one() {
    // A firewall drops what VM 2 sends to VM 9 and nothing else. 9 gets no answers from 2 and would
    // declare it gone, though it serves everyone; others probe in its stead. 9 knows not to use the
    // direct way.
    let mut network = Network::with_region(6, 10);
    let watched = network.member(&vm(9)).neighbours()[0].clone();
    network.cuts.insert((watched.clone(), vm(9)));
    let changes = network.run(Duration::from_secs(30));
    assert!(changes.iter().all(|(_, _, c)| !matches!(c, Change::Alive { alive: false, .. })));
    assert_eq!(network.count(|member| alive(member) == 10), 10);
    assert!(!network.member(&vm(9)).reachable(&watched));
    network.cuts.clear();
    network.run(Duration::from_secs(3));
    assert!(network.member(&vm(9)).reachable(&watched));
}

#[test]
fn a_frozen_vm_wakes_and_takes_a_new_incarnation() {
    // A host stops a VM for a minute. The others declare it gone. On waking it believes that no time
    // has passed: it must neither declare the others gone nor go on as if nothing had happened.
    let mut network = Network::with_region(7, 12);
    network.freeze(&vm(4), Duration::from_secs(60));
    network.run(Duration::from_secs(59));
    assert_eq!(network.count(|member| alive(member) == 11), 11);
    let woken = network.run(Duration::from_secs(6));
    assert!(woken.iter().any(|(_, vm_, c)| *vm_ == vm(4) && *c == Change::Reincarnated));
    assert!(woken.iter().all(|(_, _, c)| !matches!(c, Change::Alive { alive: false, .. })));
    assert_eq!(network.count(|member| alive(member) == 12), 12);
    assert_eq!(network.member(&vm(4)).incarnation(), Incarnation::new(2));
}

#[test]
fn a_short_pause_is_refuted_in_time() {
    let mut network = Network::with_region(8, 12);
    network.freeze(&vm(4), Duration::from_millis(2500));
    let changes = network.run(Duration::from_secs(10));
    assert!(changes.iter().all(|(_, _, c)| !matches!(c, Change::Alive { alive: false, .. })));
}

#[test]
fn a_late_renewal_resurrects_nothing() {
    // An engine leaves at one VM; a renewal that it sent before comes in at another one afterwards,
    // held up on its way. If the renewal won, work would be sent to an engine that has gone.
    let mut network = Network::with_region(9, 10);
    announce(&mut network, 1, 1, b"engine").unwrap();
    network.run(SPREAD);
    network.with(&vm(2), |member, now| member.leave(&upstream(1), Incarnation::new(1), now));
    let late = announce(&mut network, 6, 9, b"engine");
    assert_eq!(late, Ok(()), "VM 6 can't know yet");
    network.run(SPREAD);
    let now = network.now;
    assert_eq!(network.count(|member| member.get(&upstream_key(), now).is_some()), 0);
    assert_eq!(announce(&mut network, 6, 10, b"engine"), Err(Stale));
}

#[test]
fn reordered_renewals_leave_the_newest() {
    let mut network = Network::with_region(10, 10);
    for (at, version) in [(1, 5), (2, 3), (3, 8), (4, 6)] {
        let _ = announce(&mut network, at, version, format!("{version}").as_bytes());
    }
    network.run(SPREAD);
    let now = network.now;
    assert_eq!(network.count(|member| knows(member, &upstream_key(), b"8", now)), 10);
    assert_eq!(announce(&mut network, 9, 7, b"7"), Err(Stale));
}

#[test]
fn a_lease_that_ran_out_is_renewed_by_a_newer_announcement_only() {
    let mut network = Network::with_region(11, 10);
    announce(&mut network, 1, 1, b"engine").unwrap();
    announce(&mut network, 1, 6, b"engine").unwrap();
    network.with(&vm(1), |member, now| member.expire(&upstream(1), now));
    network.run(SPREAD);
    let now = network.now;
    assert_eq!(network.count(|member| member.get(&upstream_key(), now).is_some()), 0);
    assert_eq!(announce(&mut network, 3, 5, b"engine"), Err(Stale));
    announce(&mut network, 3, 7, b"engine").unwrap();
    network.run(SPREAD);
    let now = network.now;
    assert_eq!(network.count(|member| member.get(&upstream_key(), now).is_some()), 10);
}

#[test]
fn a_restarted_vm_is_told_from_its_predecessor() {
    // A VM without a disk restarts faster than anyone notices, with new addresses, and counts from
    // one again. The others must go by its new addresses, and not by the higher counts of before.
    let mut network = Network::with_region(12, 10);
    for i in 0..5 {
        let key = Key::Vm(vm(4));
        network.with(&vm(4), |member, now| member.put(key, vec![i], now));
        network.run(Duration::from_millis(500));
    }
    announce(&mut network, 4, 1, b"engine").unwrap();
    network.run(SPREAD);
    network.start(home_config(4), b"new".to_vec());
    network.run(Duration::from_secs(3));
    let now = network.now;
    let key = Key::Vm(vm(4));
    assert_eq!(network.count(|member| knows(member, &key, b"new", now)), 10);
    assert_eq!(network.count(|member| alive(member) == 10), 10);
    network.run(Duration::from_secs(3));
    let now = network.now;
    let leases = network.count(|member| member.get(&upstream_key(), now).is_some());
    assert_eq!(leases, 0, "the new process doesn't hold its predecessor's leases");
}

#[test]
fn a_departing_vm_is_gone_within_seconds() {
    let mut network = Network::with_region(13, 10);
    network.depart(&vm(3));
    network.run(Duration::from_secs(2));
    let sees = |member: &Member| member.alive().any(|other| *other == vm(3));
    assert_eq!(network.count(sees), 1, "only the departing VM itself");
}

/// Three regions of four VMs each; the first is `gulf` with VMs 0 to 3.
fn three_regions(seed: u64) -> Network {
    let names = ["gulf", "piedmont", "delta"];
    let mut network = Network::new(seed);
    for i in 0..12 {
        let seeds = (0..12).filter(|seed| seed % 4 < 2);
        let config = Config::new(vm(i), region(names[i / 4]));
        let config = seeds.fold(config, |c, s| c.with_seed(vm(s), region(names[s / 4])));
        network.start(config, Vec::new());
        network.with(&vm(i), |member, _| member.put_digest(names[i / 4].as_bytes().to_vec()));
    }
    network.run(Duration::from_secs(8));
    network
}

fn heard(network: &Network, of: &id::Region) -> usize {
    network.count(|member| member.hears(of, network.now))
}

#[test]
fn only_digests_leave_a_region() {
    let mut network = three_regions(14);
    network
        .with(&vm(0), |m, now| {
            m.announce(&upstream(1), Incarnation::new(1), Version::new(1), b"secret".to_vec(), now)
        })
        .unwrap();
    network.run(Duration::from_secs(10));
    for name in ["gulf", "piedmont", "delta"] {
        let key = Key::Region(region(name));
        let now = network.now;
        assert_eq!(network.count(|member| knows(member, &key, name.as_bytes(), now)), 12, "{name}");
    }
    assert!(!network.crossed.is_empty());
    assert!(network.crossed.iter().all(|m| m.starts_with("Digest")), "{:?}", network.crossed);
    assert_eq!(network.count(|member| alive(member) == 4), 12);
}

#[test]
fn the_next_vm_speaks_when_the_speaker_dies() {
    // The VM that speaks for a region dies. The others would take the whole region for lost, and send
    // nothing there; so the next one speaks, also after the whole region has restarted and counts its
    // digests from one again.
    let mut network = three_regions(15);
    let gulf = region("gulf");
    let speaker = (0..4).map(vm).find(|vm| network.member(vm).speaks()).unwrap();
    network.kill(&speaker);
    network.run(Duration::from_secs(12));
    assert_eq!(heard(&network, &gulf), 11);

    let configs: Vec<_> = (0..4)
        .map(|i| {
            (0..12).filter(|s| s % 4 < 2).fold(Config::new(vm(i), gulf.clone()), |c, s| {
                c.with_seed(vm(s), region(["gulf", "piedmont", "delta"][s / 4]))
            })
        })
        .collect();
    (0..4).for_each(|i| network.kill(&vm(i)));
    network.run(Duration::from_secs(10));
    assert_eq!(heard(&network, &gulf), 0);
    for config in configs {
        let name = config.vm.clone();
        network.start(config, Vec::new());
        network.with(&name, |member, _| member.put_digest(b"again".to_vec()));
    }
    network.run(Duration::from_secs(12));
    assert_eq!(heard(&network, &gulf), 12);
    let now = network.now;
    let key = Key::Region(gulf);
    assert_eq!(network.count(|member| knows(member, &key, b"again", now)), 12);
}
