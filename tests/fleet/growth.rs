//! What grows with the fleet: from N to 2 N VMs, a control VM's work may double, and an entry VM's may not grow.

use std::env;

use super::world::World;
use super::world::least_candidates;

/// The highest ratio of a control VM's cost at 2 N to that at N.
const CONTROL_GROWTH: f64 = 2.3;
/// The same of an entry VM.
const ENTRY_GROWTH: f64 = 1.15;
/// The smaller fleet.
const VMS: usize = 384;

/// The number of VMs of the smaller fleet; `MASTIC_FLEET_VMS` sets another one for runs by hand.
fn size() -> usize {
    env::var("MASTIC_FLEET_VMS").map_or(VMS, |text| text.parse().expect("a number of VMs"))
}

fn started(vms: usize) -> World {
    let mut world = World::new(vms);
    world.start();
    world
}

fn ratio(small: f64, large: f64) -> f64 {
    large / small
}

// Guards against control VMs that run out of memory because each follower is sent the whole fleet.
#[test]
fn cold_start_costs_an_entry_vm_the_same_at_twice_the_size() {
    let (small, large) = (started(size()), started(2 * size()));
    let per_vm = |world: &World| world.bytes() as f64 / world.followers.len() as f64;
    println!("bytes a VM {} {}", per_vm(&small), per_vm(&large));
    println!("records a VM {} {}", small.mean_records(), large.mean_records());
    println!("pieces {} {}", small.pieces(), large.pieces());
    println!("largest piece {} {}", small.largest_piece, large.largest_piece);
    assert!(ratio(per_vm(&small), per_vm(&large)) <= ENTRY_GROWTH);
    assert!(ratio(small.mean_records(), large.mean_records()) <= ENTRY_GROWTH);
    assert!(ratio(small.bytes() as f64, large.bytes() as f64) <= CONTROL_GROWTH);
    assert!(ratio(small.pieces() as f64, large.pieces() as f64) <= CONTROL_GROWTH);
    assert!(ratio(small.largest_piece as f64, large.largest_piece as f64) <= ENTRY_GROWTH);
}

/// What a control VM sends for an event, in a fleet and in one of twice the size. Asserts that it grows as the fleet does.
fn check_growth(event: impl Fn(&mut World)) -> [World; 2] {
    let worlds = [size(), 2 * size()].map(|vms| {
        let mut world = started(vms);
        world.reset();
        event(&mut world);
        world
    });
    let [small, large] = &worlds;
    let (bytes, pieces) = ((small.bytes(), large.bytes()), (small.pieces(), large.pieces()));
    println!("bytes {bytes:?}, pieces {pieces:?}");
    assert!(ratio(bytes.0 as f64, bytes.1 as f64) <= CONTROL_GROWTH);
    assert!(ratio(pieces.0 as f64, pieces.1 as f64) <= CONTROL_GROWTH);
    worlds
}

// Guards against sending each change to every VM: at twice the size there are twice as many of both.
#[test]
fn release_costs_an_entry_vm_the_same_at_twice_the_size() {
    check_growth(|world| world.drain(25));
}

// Guards against merging the shards of a failed region, which would send all of it to every VM.
#[test]
fn lost_region_costs_an_entry_vm_the_same_at_twice_the_size() {
    let [_, large] = check_growth(|world| world.lose_region("delta"));
    let least = least_candidates(&large);
    assert_eq!(least[&("engine", "delta")], 0);
    assert!(least[&("engine", "gulf")] > 0);
}

// Guards against VMs that refuse requests because their slice holds too few upstreams of a service.
#[test]
fn every_slice_has_candidates_of_every_service_in_every_region() {
    let world = started(size());
    for ((service, region), least) in least_candidates(&world) {
        assert!(least >= 32, "a VM knows {least} upstreams of {service} in {region}");
    }
    let estimates: Vec<f64> =
        world.polling().map(|follower| f64::from(follower.estimated_vms())).collect();
    let mean = estimates.iter().sum::<f64>() / estimates.len() as f64;
    let error = (mean / world.followers.len() as f64 - 1.0).abs();
    assert!(error < 0.1, "VMs estimate a fleet of {mean} VMs, {} run", world.followers.len());
}
