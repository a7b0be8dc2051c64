//! Placement with and without an index of the engines' caches.

use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::decide::engine::Output;
use crate::decide::held;
use crate::decide::place::Balancer;
use crate::decide::place::Endpoint;
use crate::decide::place::Placement;
use crate::decide::place::Prefix;
use crate::decide::place::Query;
use crate::decide::place::Work;
use crate::decide::sharing::Cursor;
use crate::decide::sharing::Key;
use crate::decide::sharing::SHARDS;
use crate::decide::sharing::Summary;
use crate::unit::Slots;
use crate::unit::Tokens;

const NAMES: [&str; 3] = ["a", "b", "c"];
const PREFIX: Tokens = Tokens::new(13_300);
const OWN: Tokens = Tokens::new(3_720);

fn engine(name: &str) -> Endpoint {
    Endpoint {
        id: name.parse().unwrap(),
        incarnation: 1,
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: Slots::new(12),
        memory: Some(Tokens::new(305_617)),
        connections: 100,
        cold: None,
        open: true,
        draining: false,
        silent: false,
    }
}

fn balancer(now: Instant) -> Balancer {
    let mut balancer = Balancer::new(SmallRng::seed_from_u64(1));
    balancer.sync(NAMES.map(engine).to_vec(), HashMap::new(), now);
    balancer
}

fn work(part: u64) -> Work {
    Work {
        prefix: Some(Prefix { key: part, tokens: PREFIX }),
        chain: held::Chain::new(&[(part, PREFIX)]),
        suffix: OWN,
        output: Output { limit: Tokens::new(120), hint: None },
    }
}

fn choose(balancer: &mut Balancer, part: u64, now: Instant) -> Placement {
    let max_wait = Duration::from_millis(1_500);
    let (work, holds_prefix) = (work(part), true);
    let query =
        Query { service: "s", work, tried: &[], holds_prefix, urgent: true, max_wait, only: None };
    balancer.choose(&query, now).unwrap()
}

/// Tells a balancer what each engine holds.
fn tell(balancer: &mut Balancer, held: [&[u64]; 3], is_doubted: bool, now: Instant) {
    let change = |name: &str, parts: &[u64]| held::Change {
        engine: Key::new(&name.parse().unwrap(), 1),
        epoch: 1,
        position: 1 + u64::from(is_doubted),
        is_whole: !is_doubted,
        is_doubted,
        added: parts.iter().map(|part| (*part, 13_300)).collect(),
        removed: Vec::new(),
    };
    let changes: Vec<held::Change> =
        NAMES.iter().zip(held).map(|(name, parts)| change(name, parts)).collect();
    for shard in 0..SHARDS {
        let of_shard = changes.iter().filter(|change| change.engine.shard() == shard);
        let changes = of_shard.cloned().collect();
        let told = held::Exchange { known: Cursor::default(), changes };
        balancer.apply_summary(&Summary { shard, held: Some(told), ..Summary::default() }, now);
    }
}

// Guards against prompts that are read again beside an engine that holds them.
#[tokio::test(start_paused = true)]
async fn the_engine_that_holds_the_prefix_is_chosen() {
    let now = Instant::now();
    for (nth, holder) in NAMES.iter().enumerate() {
        let mut balancer = balancer(now);
        balancer.enable_held();
        let mut held: [&[u64]; 3] = [&[]; 3];
        held[nth] = &[7];
        tell(&mut balancer, held, false, now);
        let placement = choose(&mut balancer, 7, now);
        assert_eq!((placement.id.as_str(), placement.prefill), (*holder, OWN));
    }
}

// Guards against a queue at the engine that holds a prefix while others idle.
#[tokio::test(start_paused = true)]
async fn a_queue_costs_more_than_reading_again() {
    let now = Instant::now();
    let mut balancer = balancer(now);
    balancer.enable_held();
    tell(&mut balancer, [&[7], &[], &[]], false, now);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let placement = choose(&mut balancer, 7, now);
        used.insert(placement.id.clone());
        balancer.record_sent(&placement, &work(7), now);
    }
    assert_eq!(used.len(), NAMES.len());
}

// Guards against VMs that send a prefix which nobody holds to different engines.
#[tokio::test(start_paused = true)]
async fn a_prefix_that_nobody_holds_goes_to_one_engine() {
    let now = Instant::now();
    let (mut one, mut other) = (balancer(now), balancer(now));
    for vm in [&mut one, &mut other] {
        vm.enable_held();
        tell(vm, [&[1], &[2], &[3]], false, now);
    }
    for part in 100..150 {
        assert_eq!(choose(&mut one, part, now).id, choose(&mut other, part, now).id);
    }
}

// Guards against decisions that change without the setting, and against an index that is used although it is in doubt.
#[tokio::test(start_paused = true)]
async fn without_an_index_decisions_are_as_before() {
    let now = Instant::now();
    let (mut plain, mut ignoring, mut doubting) = (balancer(now), balancer(now), balancer(now));
    doubting.enable_held();
    for (nth, vm) in [&mut plain, &mut ignoring, &mut doubting].into_iter().enumerate() {
        let held: [&[u64]; 3] = if nth == 0 { [&[]; 3] } else { [&[7], &[8], &[9]] };
        tell(vm, held, false, now);
        tell(vm, held, nth > 0, now);
    }
    for part in 0..60 {
        let expected = choose(&mut plain, part % 12, now);
        assert_eq!(choose(&mut ignoring, part % 12, now), expected);
        assert_eq!(choose(&mut doubting, part % 12, now), expected);
        for vm in [&mut plain, &mut ignoring, &mut doubting] {
            vm.record_sent(&expected, &work(part % 12), now);
        }
    }
}
