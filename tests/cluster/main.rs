//! Long random runs of small groups on a clock of their own: messages are lost, late and doubled, processes
//! crash and freeze, links are cut both ways and one way, folders are lost. The oracle is the one order of
//! applied entries. `MASTIC_SEEDS=1000 cargo test --release --test cluster` runs more seeds.

#[path = "../models/disk.rs"]
mod disk;
mod group;
mod oracle;
mod server;

use std::env;

use group::Group;
use group::Shape;
use masticstream::consensus::fault::Fault;
use yare::parameterized;

/// Seeds within which a planted fault has to show.
const FAULT_SEEDS: u64 = 200;

/// Seeds of each shape in CI.
const SEEDS: u64 = 8;

fn seeds() -> u64 {
    env::var("MASTIC_SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(SEEDS)
}

const fn shape(voters: usize, witness: bool) -> Shape {
    Shape { voters, witness, fault: None }
}

#[parameterized(
    three = { shape(3, false) },
    five = { shape(5, false) },
    two_and_a_witness = { shape(2, true) },
)]
fn accepted_values_stay_and_the_group_goes_on(shape: Shape) {
    let accepted: usize = (0..seeds()).map(|seed| run(shape, seed)).sum();
    println!("{shape:?}: {} seeds, {accepted} values accepted", seeds());
}

fn run(shape: Shape, seed: u64) -> usize {
    let mut group = Group::new(shape, seed);
    group.suffer();
    group.heal();
    group.oracle.accepted()
}

/// The oracle is not blind: with a planted fault, a run comes to a bad end.
#[parameterized(
    unsynced = { Fault::CountUnsynced },
    unconfirmed = { Fault::UnconfirmedRead },
    twice = { Fault::VoteTwice },
)]
#[should_panic(expected = "Shape")]
fn a_planted_fault_is_found(fault: Fault) {
    let shape = Shape { fault: Some(fault), ..shape(3, false) };
    (0..FAULT_SEEDS).for_each(|seed| {
        run(shape, seed);
    });
}
