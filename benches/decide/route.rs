//! The price of routing, retry, spill and shared slots, at 850 upstreams and 8,900 owners.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use masticstream::catalogue::Class;
use masticstream::catalogue::Home;
use masticstream::catalogue::Preference;
use masticstream::catalogue::Repeat;
use masticstream::decide::order::Demand;
use masticstream::decide::order::Engine;
use masticstream::decide::order::LoadRate;
use masticstream::decide::order::Placement;
use masticstream::decide::order::Workload;
use masticstream::decide::retry::Evidence;
use masticstream::decide::retry::Failure;
use masticstream::decide::retry::Layer;
use masticstream::decide::retry::Retry;
use masticstream::decide::route::CacheChange;
use masticstream::decide::route::CacheEvent;
use masticstream::decide::route::Criteria;
use masticstream::decide::route::Outcome;
use masticstream::decide::route::Router;
use masticstream::decide::spill;
use masticstream::decide::spill::Digest;
use masticstream::decide::spill::ForwardState;
use masticstream::decide::spill::RegionSelector;
use masticstream::decide::spill::Room;
use masticstream::id;
use masticstream::unit::Incarnation;
use masticstream::unit::Rate;
use masticstream::unit::Slots;
use masticstream::upstream::Announcement;
use masticstream::upstream::Kind;
use masticstream::upstream::Load;
use masticstream::upstream::Pool;
use masticstream::upstream::Role;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

const UPSTREAMS: usize = 850;
const OWNERS: usize = 8_900;

fn model() -> id::Model {
    "storm".parse().expect("a name")
}

fn upstream(number: usize) -> id::Upstream {
    format!("engine-{number}").parse().expect("a name")
}

fn announcement(number: usize) -> Announcement {
    Announcement {
        id: upstream(number),
        address: "127.0.0.1:9".parse().expect("an address"),
        region: "gulf".parse().expect("a name"),
        data_centre: "gulf-a".parse().expect("a name"),
        kind: Kind::Engine,
        slots: Slots::new(8),
        models: [model()].into(),
        adapters: [].into(),
        versions: [].into(),
        role: Role::Mixed,
        incarnation: Incarnation::new(1),
        checks_fence: true,
        sequence: 1,
    }
}

fn load(number: usize, sequence: u64) -> Load {
    Load {
        upstream: upstream(number),
        incarnation: Incarnation::new(1),
        sequence,
        running: (number % 8) as u32,
        waiting: 0,
        age: Duration::from_secs(1),
    }
}

fn route(now: Instant) -> Router {
    let mut route = Router::new(&"vm-1".parse().expect("a name"));
    for number in 0..UPSTREAMS {
        route.update_announcement(&announcement(number), now);
        route.update_load(&load(number, 1), now);
        let change = CacheChange::Stored(vec![number as u64 % 100, 1_000 + number as u64 % 100]);
        let event = CacheEvent { incarnation: Incarnation::new(1), sequence: 1, change };
        route.update_cache(&upstream(number), &event);
    }
    route
}

fn routing(c: &mut Criterion) {
    let (now, model, mut rng) = (Instant::now(), model(), SmallRng::seed_from_u64(1));
    let mut route = route(now);
    let plain = Criteria::new(&model, Class::Short);
    c.bench_function("route: pick", |b| b.iter(|| black_box(route.pick(&plain, now, &mut rng))));
    let known = plain.clone().with_prefix(&[7, 1_007, 2_007]);
    c.bench_function("route: pick, prefix held", |b| {
        b.iter(|| black_box(route.pick(&known, now, &mut rng)));
    });
    let unknown = plain.clone().with_prefix(&[9_999]);
    c.bench_function("route: pick, prefix held by none", |b| {
        b.iter(|| black_box(route.pick(&unknown, now, &mut rng)));
    });
    let (engine, took) = (upstream(9), Duration::from_secs(1));
    c.bench_function("route: sent and finished", |b| {
        b.iter(|| {
            route.start_attempt(&engine, now);
            route.finish_attempt(&engine, &plain, Outcome::Answered, took, now);
        });
    });
    let mut sequence = 1;
    c.bench_function("route: load report", |b| {
        b.iter(|| {
            sequence += 1;
            route.update_load(&load(9, sequence), now);
        });
    });
    let mut later = now;
    c.bench_function("route: pick, means worked out anew", |b| {
        b.iter(|| {
            later += Duration::from_millis(100);
            black_box(route.pick(&plain, later, &mut rng))
        });
    });
}

fn retries(c: &mut Criterion) {
    let (now, model, mut rng) = (Instant::now(), model(), SmallRng::seed_from_u64(1));
    let owners: Vec<id::Owner> =
        (0..OWNERS).map(|n| format!("owner-{n}").parse().expect("a name")).collect();
    let mut retry = Retry::new(Instant::now());
    let (mut turn, mut time) = (0, now);
    c.bench_function("retry: decide on a failure", |b| {
        b.iter(|| {
            turn = (turn + 1) % OWNERS;
            time += Duration::from_micros(100);
            let failure = Failure {
                owner: &owners[turn],
                model: &model,
                repeat: Repeat::Allowed,
                evidence: &[Evidence::NothingSent],
                layer: Layer::First,
                time_left: Duration::from_secs(9),
                expected: Duration::from_secs(1),
            };
            retry.first_attempt(&owners[turn], &model, time);
            black_box(retry.decide(&failure, time, &mut rng))
        });
    });
}

fn spilling(c: &mut Criterion) {
    let (now, model, mut rng) = (Instant::now(), model(), SmallRng::seed_from_u64(1));
    let mut spill = RegionSelector::new("gulf".parse().expect("a name"), 117);
    for region in ["piedmont", "delta"] {
        let room =
            Room { capacity: Slots::new(2_000), free: Slots::new(500), wait: Duration::ZERO };
        let room = [(model.clone(), room)].into();
        let region = region.parse().expect("a name");
        spill.update_digest(Digest { region, sequence: 1, room, age: Duration::ZERO }, now);
    }
    let home = Home::Preferred("gulf".parse().expect("a name"));
    let facts = spill::Criteria {
        home: &home,
        prefers: Preference::Latency,
        model: &model,
        wait: Some(Duration::from_secs(30)),
        service_time: Duration::from_secs(2),
        cold_penalty: Duration::from_secs(1),
        remaining: Duration::from_secs(60),
        prefix_hash: 1,
        forward_state: ForwardState::Original,
    };
    c.bench_function("spill: decide", |b| {
        b.iter(|| black_box(spill.decide(&facts, now, &mut rng)));
    });
}

fn sharing(c: &mut Criterion) {
    let now = Instant::now();
    let host: id::Vm = "vm-2".parse().expect("a name");
    let mut pool = Pool::new("vm-1".parse().expect("a name"), Incarnation::new(1));
    (0..32).for_each(|number| pool.follows(&upstream(number), &host, now));
    let mut time = now;
    c.bench_function("pool: poll of 32 upstreams", |b| {
        b.iter(|| {
            time += Duration::from_millis(20);
            black_box(pool.poll(time))
        });
    });
}

fn placing(c: &mut Criterion) {
    let now = Instant::now();
    let models: Vec<id::Model> =
        (0..20).map(|n| format!("m-{n}").parse().expect("a name")).collect();
    let engine = |number: usize| Engine {
        id: upstream(number),
        slots: Slots::new(8),
        models: [models[number % 20].clone()].into(),
        role: Role::Mixed,
        max_models: 1,
        running: 4,
    };
    let engines: Vec<Engine> = (0..UPSTREAMS).map(engine).collect();
    let mut demand = Demand::new();
    for (number, model) in models.iter().enumerate() {
        demand.observe(&Workload::new(model.clone()), 100.0 + 20.0 * number as f64, now);
    }
    let mut placement = Placement::new(LoadRate::new(Rate::per_second(1e9)));
    c.bench_function("order: plan for 850 engines, 20 models", |b| {
        b.iter(|| black_box(placement.plan(&engines, &demand, &[].into(), now)));
    });
}

pub fn all(criterion: &mut Criterion) {
    routing(criterion);
    retries(criterion);
    spilling(criterion);
    sharing(criterion);
    placing(criterion);
}
