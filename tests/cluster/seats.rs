//! Lost disks are replaced as voters before the next ones are lost, however busy the group is.

use std::collections::BTreeMap;
use std::time::Duration;

use masticstream::id;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use yare::parameterized;

use super::group::Group;
use super::group::Shape;
use super::seeds;
use super::shape;

/// Seats at most.
const SEATS: usize = 5;
const SILENCE: Duration = Duration::from_secs(3);
/// The time of a trip between the old replicas.
const TRIP: Duration = Duration::from_millis(27);
/// Lost replicas come back after this, as newcomers.
const DOWN: Duration = Duration::from_secs(1);
/// A lost replica counts as back this long after it has started again.
const BACK: Duration = Duration::from_secs(4);
/// A value is accepted within this after a loss: an election, and another one if its votes are split.
const ACCEPTED_WITHIN: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
enum Lost {
    Leader,
    Followers,
    /// All processes end at the same moment, and these lose their disks.
    WithPower,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    replicas: usize,
    /// The time of a trip to the newcomers, and their slowest sync.
    trip_ms: u64,
    sync_ms: u64,
    /// Callers propose a value of that many bytes at this interval.
    every_ms: u64,
    bytes: usize,
    /// How long they do so before the loss.
    history_s: u64,
}

const NEAR: Case =
    Case { replicas: 5, trip_ms: 27, sync_ms: 30, every_ms: 20, bytes: 200, history_s: 5 };
const FAR: Case = Case { trip_ms: 120, ..NEAR };
const SLOW: Case = Case { trip_ms: 120, sync_ms: 300, ..NEAR };
const LARGE: Case = Case { every_ms: 200, bytes: 150_000, history_s: 60, ..FAR };

// Guards against a seat that stays vacant while changes come in quick series: the next loss then takes the majority.
#[parameterized(
    near = { NEAR },
    farther = { Case { trip_ms: 55, ..NEAR } },
    far = { FAR },
    slow = { Case { sync_ms: 100, ..NEAR } },
    far_and_slow = { SLOW },
    far_and_slow_often = { Case { every_ms: 10, ..SLOW } },
    far_and_slow_seldom = { Case { every_ms: 50, ..SLOW } },
    three = { Case { replicas: 3, ..SLOW } },
    four = { Case { replicas: 4, ..SLOW } },
    seven = { Case { replicas: 7, ..SLOW } },
    large = { LARGE },
    large_and_slower = { Case { sync_ms: 100, ..LARGE } },
    large_and_often = { Case { every_ms: 100, ..LARGE } },
    large_and_slow = { Case { sync_ms: 300, ..LARGE } },
    large_often_and_slow = { Case { every_ms: 100, sync_ms: 100, ..LARGE } },
)]
fn lost_disks_are_replaced_before_the_next_ones_are_lost(case: Case) {
    let mut failed: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let mut played = 0;
    for seed in 0..seeds() {
        for lost in [Lost::Leader, Lost::Followers, Lost::WithPower] {
            played += 1;
            if let Err(why) = play(case, lost, seed) {
                failed.entry(why).or_default().push(format!("{lost:?} {seed}"));
            }
        }
    }
    let count: usize = failed.values().map(Vec::len).sum();
    println!("{case:?}: {count} of {played} failed");
    assert!(failed.is_empty(), "{case:?}: {count} of {played}: {failed:#?}");
}

fn play(case: Case, lost: Lost, seed: u64) -> Result<(), &'static str> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let seats = case.replicas.min(SEATS);
    let bears = (seats - 1) / 2;
    let shape = Shape { silence: SILENCE, snapshot_entries: 10_000, ..shape(seats, false) };
    let mut group = Group::new(shape, seed).on_a_sound_network().with_trip(TRIP);
    for _ in seats..case.replicas {
        group.add();
    }
    group.go_on(Duration::from_secs(10));
    group.load(Duration::from_millis(case.every_ms), case.bytes);
    group.go_on(Duration::from_secs(case.history_s));
    let first = choose(&group, bears, matches!(lost, Lost::Leader), &mut rng);
    if matches!(lost, Lost::WithPower) {
        group.restart_all(DOWN);
    }
    first.iter().for_each(|&id| group.lose(id));
    group.go_on(DOWN);
    let newcomers: Vec<id::Replica> = first.iter().map(|&id| group.add_in_place_of(id)).collect();
    for &id in &newcomers {
        let (trip, sync) = (case.trip_ms, case.sync_ms);
        group.set_apart(id, Duration::from_millis(trip), Duration::from_millis(sync));
    }
    let end = group.now() + BACK;
    group.accept(BACK).ok_or("nothing is accepted after the first loss")?;
    group.go_on(end - group.now());
    if group.running_voters() < seats {
        return Err("a seat is vacant");
    }
    group.accept(ACCEPTED_WITHIN).ok_or("nothing is accepted before the second loss")?;
    let mut old = group.voters();
    old.retain(|id| !newcomers.contains(id));
    let leads = group.leader().filter(|id| old.contains(id));
    let mut next: Vec<id::Replica> = old.into_iter().collect();
    next.shuffle(&mut rng);
    next.sort_by_key(|id| (Some(*id) == leads) == matches!(lost, Lost::Followers));
    next.iter().take(bears).for_each(|&id| group.lose(id));
    // What was appended before is accepted yet.
    group.go_on(Duration::from_secs(1));
    group.accept(ACCEPTED_WITHIN).ok_or("nothing is accepted after the second loss")?;
    Ok(())
}

/// Voters that are lost, with the leader or without it.
fn choose(group: &Group, count: usize, has_leader: bool, rng: &mut SmallRng) -> Vec<id::Replica> {
    let leader = group.leader();
    let others = group.voters().into_iter().filter(|&id| Some(id) != leader);
    let leader = leader.filter(|_| has_leader);
    let others = others.choose_multiple(rng, count - leader.iter().count());
    leader.into_iter().chain(others).collect()
}
