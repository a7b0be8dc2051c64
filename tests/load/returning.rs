//! Spill: the return of a region after an outage.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use masticstream::catalogue::Home;
use masticstream::catalogue::Preference;
use masticstream::decide::spill::Criteria;
use masticstream::decide::spill::Decision;
use masticstream::decide::spill::Digest;
use masticstream::decide::spill::ForwardState;
use masticstream::decide::spill::RegionSelector;
use masticstream::decide::spill::Room;
use masticstream::id;
use masticstream::unit::Slots;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

const SLOTS: usize = 40;
const PREFIXES: usize = 400;
const STEP: f64 = 0.01;
const DEADLINE: f64 = 4.0;

#[derive(Debug, Default)]
struct Told {
    sent: usize,
    late: usize,
    away: usize,
    recomputed: usize,
}

/// The two minutes after gulf came back with empty caches: 30 requests a second of a second each, and two more for the
/// first of each prefix. Piedmont served them during the outage, and has its prefixes.
fn run(gradual: bool) -> Told {
    let (mut rng, start) = (SmallRng::seed_from_u64(21), Instant::now());
    let model: id::Model = "storm".parse().unwrap();
    let mut spill = RegionSelector::new("gulf".parse().unwrap(), 1);
    if gradual {
        [true, false, true]
            .into_iter()
            .for_each(|serves| spill.update_availability(&model, serves, start));
    }
    let prefixes: Vec<u64> = (0..PREFIXES).map(|_| rng.random()).collect();
    let (mut ends, mut queue, mut away) = (Vec::new(), VecDeque::new(), Vec::<f64>::new());
    let (mut cached, mut told) = (HashSet::new(), Told::default());
    for step in 0..(120.0 / STEP) as usize {
        let time = step as f64 * STEP;
        let now = start + Duration::from_secs_f64(time);
        if step.is_multiple_of(100) {
            spill.update_digest(digest(&model, step as u64, away.len()), now);
        }
        ends.retain(|&end: &f64| end > time);
        let before = away.len();
        away.retain(|&end| end > time);
        (away.len()..before)
            .for_each(|_| spill.finish_forward(&"piedmont".parse().unwrap(), &model, now));
        while ends.len() < SLOTS {
            let Some((due, prefix)) = queue.pop_front() else { break };
            let cold = cached.insert(prefix);
            told.recomputed += usize::from(cold);
            let end = time + 1.0 + if cold { 2.0 } else { 0.0 };
            told.late += usize::from(end > due);
            ends.push(end);
        }
        if !rng.random_bool(30.0 * STEP) {
            continue;
        }
        let prefix = prefixes[rng.random_range(0..PREFIXES)];
        let facts = Criteria {
            home: &Home::Preferred("gulf".parse().unwrap()),
            prefers: Preference::Home,
            model: &model,
            wait: Some(Duration::from_secs_f64(queue.len() as f64 / SLOTS as f64)),
            service_time: Duration::from_secs(1),
            cold_penalty: Duration::ZERO,
            remaining: Duration::from_secs_f64(DEADLINE),
            prefix_hash: prefix,
            forward_state: ForwardState::Original,
        };
        told.sent += 1;
        if spill.decide(&facts, now, &mut rng) == Decision::Local {
            queue.push_back((time + DEADLINE, prefix));
        } else {
            told.away += 1;
            away.push(time + 1.1);
        }
    }
    told
}

fn digest(model: &id::Model, sequence: u64, running: usize) -> Digest {
    let free = Slots::new(SLOTS.saturating_sub(running) as u64);
    let room = Room { capacity: Slots::new(SLOTS as u64), free, wait: Duration::ZERO };
    Digest {
        region: "piedmont".parse().unwrap(),
        sequence: sequence + 1,
        room: [(model.clone(), room)].into(),
        age: Duration::ZERO,
    }
}

// A region is back after an outage. All its traffic returns in the same second, each prefix has to be computed again,
// and the slots are taken by that: its callers, just served from elsewhere, are late for a minute.
#[test]
fn traffic_returns_gradually() {
    let (ours, at_once) = (run(true), run(false));
    for (policy, told) in [("gradual", &ours), ("at once", &at_once)] {
        let Told { sent, late, away, recomputed } = told;
        println!("| return after an outage | {policy} | {sent} | {late} | {away} | {recomputed} |");
    }
    assert!(ours.late * 3 < at_once.late);
}
