use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::decide::place::Balancer;
use crate::decide::place::Endpoint;
use crate::decide::place::InFlight;
use crate::decide::place::Outcome;
use crate::decide::place::Query;
use crate::decide::place::Report;
use crate::decide::place::Sender;
use crate::decide::place::Work;
use crate::decide::sharing::Key;
use crate::decide::sharing::Load;
use crate::decide::sharing::SUMMARY_TTL;
use crate::decide::sharing::Summary;
use crate::decide::sharing::UPDATE_INTERVAL;
use crate::id;
use crate::unit::Slots;
use crate::unit::Tokens;

const SERVICE: &str = "s";

fn plain(name: &str) -> Endpoint {
    Endpoint {
        id: name.parse().unwrap(),
        incarnation: 1,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: Slots::new(6),
        memory: None,
        connections: 100,
        cold: None,
        open: true,
        draining: false,
        silent: false,
    }
}

fn engine(name: &str) -> Endpoint {
    Endpoint { memory: Some(Tokens::new(100_000)), ..plain(name) }
}

fn balancer(endpoints: Vec<Endpoint>, vms: u32, now: Instant) -> Balancer {
    vm(0, vms, endpoints, now)
}

/// The given VM among `vms` VMs.
fn vm(rank: usize, vms: u32, endpoints: Vec<Endpoint>, now: Instant) -> Balancer {
    let mut balancer = Balancer::new(SmallRng::seed_from_u64(1));
    let names: Vec<id::Vm> = (0..vms).map(|nth| format!("vm{nth}").parse().unwrap()).collect();
    let sender = Sender::new(names[rank].clone(), &names, now);
    balancer.sync(endpoints, HashMap::from([(SERVICE.to_owned(), sender)]), now);
    balancer
}

fn send(balancer: &mut Balancer, now: Instant) -> Option<InFlight> {
    let query = Query {
        service: SERVICE,
        work: Work::default(),
        tried: &[],
        holds_prefix: false,
        urgent: true,
        max_wait: Duration::MAX,
        only: None,
    };
    let placement = balancer.choose(&query, now)?;
    Some(balancer.record_sent(&placement, &Work::default(), now))
}

/// Sends until there is no room; returns how many were sent.
fn send_all(balancer: &mut Balancer, now: Instant) -> usize {
    (0..1000).map_while(|_| send(balancer, now)).count()
}

/// A summary by which other VMs have so many requests at an upstream.
fn summarize(balancer: &mut Balancer, name: &str, running: u32, now: Instant) {
    let key = Key::new(&name.parse().unwrap(), 1);
    let load = Load { running, ..Load::default() };
    let loads = vec![(key, load)];
    balancer.apply_summary(&Summary { shard: key.shard(), loads, ..Summary::default() }, now);
}

fn reject(balancer: &mut Balancer, (running, waiting): (u32, u32), now: Instant) {
    let in_flight = send(balancer, now).unwrap();
    balancer.record_rejection(
        &in_flight,
        Report { running, waiting, slots: None, pace: None },
        now,
    );
    balancer.record_end(in_flight, Outcome::Refused, now);
}

// Guards against regions that state room which their upstreams don't have, or none where nothing was ever rejected.
#[tokio::test(start_paused = true)]
async fn free_places_are_those_below_the_bounds() {
    let now = Instant::now();
    let mut balancer = balancer(vec![plain("a"), plain("b")], 1, now);
    assert_eq!(balancer.free_places(SERVICE, now), None);
    reject(&mut balancer, (6, 4), now);
    assert_eq!(balancer.free_places(SERVICE, now), Some(20), "both are of one service");
    let now = now + UPDATE_INTERVAL;
    assert_eq!(send_all(&mut balancer, now), 20);
    assert_eq!(balancer.free_places(SERVICE, now), Some(0));
    assert_eq!(balancer.free_places("other", now), None);
}

// Guards against a bound found where an upstream rejects for another reason than a full queue.
#[tokio::test(start_paused = true)]
async fn other_rejections_show_no_bound() {
    let now = Instant::now();
    let mut upstream = balancer(vec![plain("a")], 1, now);
    reject(&mut upstream, (2, 0), now);
    assert_eq!(upstream.free_places(SERVICE, now), None, "it has free slots");
    let mut engines = balancer(vec![engine("a")], 1, now);
    reject(&mut engines, (6, 24), now);
    assert_eq!(engines.free_places(SERVICE, now), None);
}

// Guards against VMs whose parts add up to more than an upstream holds, or to much less.
#[tokio::test(start_paused = true)]
async fn the_parts_of_all_vms_are_the_bound() {
    let start = Instant::now();
    for vms in [2, 6, 26, 80] {
        // Longer than it takes until parts that pass to other VMs are used.
        let now = start + Duration::from_secs(6);
        let sent = (0..vms as usize).map(|rank| {
            let mut balancer = vm(rank, vms, vec![plain("a")], start);
            reject(&mut balancer, (6, 24), start);
            send_all(&mut balancer, now)
        });
        assert_eq!(sent.sum::<usize>(), 30, "{vms} VMs");
    }
}

// Guards against idle slots where few VMs have requests, and against trust in a summary of a host that has just begun or is lost.
#[tokio::test(start_paused = true)]
async fn beyond_its_part_a_vm_sends_what_summaries_show_as_free() {
    let start = Instant::now();
    let mut balancer = balancer(vec![plain("a")], 10, start);
    reject(&mut balancer, (6, 24), start);
    let now = start + UPDATE_INTERVAL;
    assert_eq!(send_all(&mut balancer, now), 3, "its part");
    summarize(&mut balancer, "a", 0, now);
    assert_eq!(send_all(&mut balancer, now), 0, "the host may not have heard from others");
    let now = now + UPDATE_INTERVAL;
    summarize(&mut balancer, "a", 0, now);
    let now = now + UPDATE_INTERVAL;
    summarize(&mut balancer, "a", 0, now);
    assert_eq!(
        send_all(&mut balancer, now),
        18,
        "it has all the requests there, so that all are its own"
    );
    summarize(&mut balancer, "a", 9, now);
    assert_eq!(send_all(&mut balancer, now), 0);
    assert_eq!(send_all(&mut balancer, now + SUMMARY_TTL), 0, "only its part counts");
}

// Guards against a VM that offers one request after another to an upstream that has just rejected one.
#[tokio::test(start_paused = true)]
async fn after_a_rejection_a_vm_sends_no_more_than_before() {
    let now = Instant::now();
    let mut balancer = balancer(vec![plain("a")], 2, now);
    for _ in 0..2 {
        send(&mut balancer, now).unwrap();
    }
    reject(&mut balancer, (6, 24), now);
    assert!(send(&mut balancer, now).is_none());
    assert!(send(&mut balancer, now + UPDATE_INTERVAL).is_some());
}
