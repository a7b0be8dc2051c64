use std::collections::HashMap;

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
    let mut balancer = Balancer::new(SmallRng::seed_from_u64(1));
    let names: Vec<id::Vm> = (0..vms).map(|nth| format!("vm{nth}").parse().unwrap()).collect();
    let sender = Sender::new(names[0].clone(), &names, now);
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
        max_wait: std::time::Duration::MAX,
        only: None,
    };
    let placement = balancer.choose(&query, now)?;
    Some(balancer.record_sent(&placement, &Work::default(), now))
}

fn reject(balancer: &mut Balancer, (running, waiting): (u32, u32), now: Instant) {
    let in_flight = send(balancer, now).unwrap();
    balancer.record_rejection(&in_flight, Report { running, waiting }, now);
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
    assert!((0..20).all(|_| send(&mut balancer, now).is_some()));
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
