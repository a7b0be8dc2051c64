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
use yare::parameterized;

/// Seeds of each shape in CI.
const SEEDS: u64 = 8;

fn seeds() -> u64 {
    env::var("MASTIC_SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(SEEDS)
}

#[parameterized(
    three = { Shape { voters: 3, witness: false } },
    five = { Shape { voters: 5, witness: false } },
    two_and_a_witness = { Shape { voters: 2, witness: true } },
)]
fn accepted_values_stay_and_the_group_goes_on(shape: Shape) {
    let mut accepted = 0;
    for seed in 0..seeds() {
        let mut group = Group::new(shape, seed);
        group.suffer();
        group.heal();
        accepted += group.oracle.accepted();
    }
    println!("{shape:?}: {} seeds, {accepted} values accepted", seeds());
}
