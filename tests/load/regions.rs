//! Spill: one region short of capacity beside two with room.

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

const REGIONS: [&str; 3] = ["gulf", "piedmont", "delta"];
const VMS: usize = 8;
const SLOTS: usize = 40;
const STEP: f64 = 0.02;
const TRIP: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    Ours,
    /// To whichever region's digest shows the shortest wait.
    ShortestWait,
    StayHome,
}

#[derive(Debug, Default)]
struct Told {
    answered: usize,
    late: usize,
    away: usize,
    p99: f64,
    /// The mean change of the number sent away from one second to the next.
    swing: f64,
}

struct Request {
    due: f64,
    begins: f64,
    service: f64,
    /// The home and VM that handed it over.
    from: Option<(usize, usize)>,
}

/// Three regions of 40 slots. Gulf gets one and a half times what it can run, the others half; two seconds for a
/// request, three more where it is cold; digests are 2 s old; 8 VMs in each region.
fn run(policy: Policy, prefers: Preference, deadline: f64) -> Told {
    let (mut rng, mut choices, start) =
        (SmallRng::seed_from_u64(11), SmallRng::seed_from_u64(12), Instant::now());
    let model: id::Model = "storm".parse().unwrap();
    let region = |index: usize| -> id::Region { REGIONS[index].parse().unwrap() };
    let mut vms: Vec<Vec<RegionSelector>> = (0..3)
        .map(|r| (0..VMS).map(|_| RegionSelector::new(region(r), VMS as u32)).collect())
        .collect();
    let mut ends: Vec<Vec<f64>> = vec![Vec::new(); 3];
    let mut handed: Vec<(f64, usize, usize, usize)> = Vec::new();
    let mut queues: Vec<VecDeque<Request>> = (0..3).map(|_| VecDeque::new()).collect();
    let mut digests: VecDeque<(f64, usize, Room)> = VecDeque::new();
    let mut seen = [Room::default(); 3];
    let (mut latencies, mut away) = (Vec::new(), vec![0.0_f64; 120]);
    let mut told = Told::default();
    let steps = (120.0 / STEP) as usize;
    for step in 0..steps {
        let time = step as f64 * STEP;
        let now = start + Duration::from_secs_f64(time);
        let second = step.is_multiple_of((1.0 / STEP) as usize);
        for r in 0..3 {
            ends[r].retain(|&end| end > time);
            while ends[r].len() < SLOTS && queues[r].front().is_some_and(|q| q.begins <= time) {
                let Some(request) = queues[r].pop_front() else { break };
                let end = time + request.service;
                ends[r].push(end);
                if let Some((home, vm)) = request.from {
                    handed.push((end + TRIP, home, vm, r));
                }
                told.answered += 1;
                told.late += usize::from(end > request.due);
                latencies.push(end - (request.due - deadline));
            }
            if second {
                digests.push_back((time + 2.0, r, room(&ends[r], &queues[r])));
            }
        }
        handed.retain(|&(end, home, vm, r)| {
            if end <= time {
                vms[home][vm].finish_forward(&region(r), &model, now);
            }
            end > time
        });
        while digests.front().is_some_and(|&(arrives, ..)| arrives <= time) {
            let Some((_, r, room)) = digests.pop_front() else { break };
            seen[r] = room;
            let digest = Digest {
                region: region(r),
                sequence: step as u64,
                room: [(model.clone(), room)].into(),
                age: Duration::from_secs(2),
            };
            vms.iter_mut().flatten().for_each(|vm| vm.update_digest(digest.clone(), now));
        }
        for (home, load) in [1.5, 0.5, 0.5].into_iter().enumerate() {
            let rate = load * SLOTS as f64 / 2.0;
            if !rng.random_bool(rate * STEP) {
                continue;
            }
            let (vm, service) = (rng.random_range(0..VMS), rng.random_range(1.0..3.0));
            let wait = room(&ends[home], &queues[home]).wait;
            let facts = Criteria {
                home: &Home::Preferred(region(home)),
                prefers,
                model: &model,
                wait: Some(wait),
                service_time: Duration::from_secs(2),
                cold_penalty: Duration::from_secs(1),
                remaining: Duration::from_secs_f64(deadline),
                prefix_hash: rng.random(),
                forward_state: ForwardState::Original,
            };
            let target = match policy {
                Policy::StayHome => home,
                Policy::ShortestWait => {
                    let waits = |r: usize| if r == home { wait } else { seen[r].wait };
                    (0..3).min_by_key(|&r| (waits(r), r != home)).unwrap_or(home)
                }
                Policy::Ours => match vms[home][vm].decide(&facts, now, &mut choices) {
                    Decision::Forward(to) => (0..3).find(|&r| region(r) == to).unwrap_or(home),
                    Decision::Local | Decision::Redirect(_) => home,
                },
            };
            let moved = target != home;
            told.away += usize::from(moved);
            away[time as usize] += f64::from(u8::from(moved));
            let extra = if moved { TRIP * 2.0 + 1.0 } else { 0.0 };
            let begins = time + if moved { TRIP } else { 0.0 };
            let (due, service) = (time + deadline, service + extra);
            let from = moved.then_some((home, vm));
            queues[target].push_back(Request { due, begins, service, from });
        }
    }
    told.late += queues.iter().flatten().filter(|request| request.due < 120.0).count();
    latencies.sort_by(f64::total_cmp);
    told.p99 = latencies[latencies.len() * 99 / 100];
    told.swing = away.windows(2).map(|pair| (pair[1] - pair[0]).abs()).sum::<f64>() / 119.0;
    told
}

fn room(ends: &[f64], queue: &VecDeque<Request>) -> Room {
    let free = SLOTS.saturating_sub(ends.len() + queue.len());
    let wait = (queue.len() as f64 + 1.0) * 2.0 / SLOTS as f64;
    Room {
        capacity: Slots::new(SLOTS as u64),
        free: Slots::new(free as u64),
        wait: if free > 0 { Duration::ZERO } else { Duration::from_secs_f64(wait) },
    }
}

fn row(name: &str, prefers: Preference, deadline: f64) -> [Told; 3] {
    [Policy::Ours, Policy::ShortestWait, Policy::StayHome].map(|policy| {
        let told = run(policy, prefers, deadline);
        println!(
            "| {name} | {policy:?} | {} | {} | {} | {:.1} | {:.1} |",
            told.answered, told.late, told.away, told.p99, told.swing
        );
        told
    })
}

// Gulf is asked for half as much again as it can run, and callers want their answer within 8 s. At home alone they
// wait ever longer. Sent to the shortest wait by digests 2 s old, all VMs move at once, there and back, and requests
// leave that need not.
#[test]
fn latency_leaves_early_and_without_swings() {
    let [ours, shortest, home] = row("one region at 150%, latency", Preference::Latency, 8.0);
    assert!(ours.late * 10 < home.late);
    assert!(ours.late <= shortest.late);
    assert!(ours.swing < shortest.swing);
}

// The same load with hours of slack: nothing needs to leave home, and nothing does.
#[test]
fn home_and_cost_waits() {
    let [ours, shortest, _] = row("one region at 150%, home", Preference::Home, 3_600.0);
    assert_eq!((ours.away, ours.late), (0, 0));
    assert!(shortest.away > 0);
}
