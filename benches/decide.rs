//! The price of admission, queue, limits and quarantine, at 850 upstreams and 8,900 owners.

#[path = "decide/route.rs"]
mod route;

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use masticstream::catalogue::Class;
use masticstream::catalogue::Limits;
use masticstream::decide::admission::Admission;
use masticstream::decide::admission::Decision;
use masticstream::decide::limit;
use masticstream::decide::limit::Allowance;
use masticstream::decide::limit::Coordinator;
use masticstream::decide::quarantine::Digest;
use masticstream::decide::quarantine::Quarantine;
use masticstream::decide::queue::Bounds;
use masticstream::decide::queue::Capacity;
use masticstream::decide::queue::Queue;
use masticstream::decide::queue::Ticket;
use masticstream::id;
use masticstream::unit::Bytes;
use masticstream::unit::Incarnation;
use masticstream::unit::Rate;
use masticstream::unit::Slots;
use masticstream::unit::Tokens;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

const UPSTREAMS: usize = 850;
const OWNERS: usize = 8_900;
const VMS: usize = 350;
const SLOTS: u64 = 8;

fn owner(number: usize) -> id::Owner {
    format!("organisation-{number}").parse().expect("a name")
}

fn upstream(number: usize) -> id::Upstream {
    format!("engine-{number}").parse().expect("a name")
}

fn ticket(number: usize, owners: &[id::Owner], now: Instant) -> Ticket {
    Ticket {
        request: id::Request::new(number as u128),
        owner: owners[number % owners.len()].clone(),
        class: Class::ALL[number / 7 % Class::COUNT],
        weight: 1,
        deadline: now + Duration::from_secs(3_600 + (number * 7_919 % 1_000) as u64),
        service: Duration::from_secs(1),
        tail: Duration::from_secs(2),
        size: Bytes::new(1_000),
        arrived: now,
    }
}

/// A request of each owner waits.
fn full(owners: &[id::Owner], now: Instant) -> Queue {
    let bounds = Bounds { count: 1 << 20, ..Bounds::default() };
    let mut queue = Queue::new(bounds);
    for number in 0..owners.len() {
        queue.push(ticket(number, owners, now), now).expect("room");
    }
    queue
}

fn queue(c: &mut Criterion) {
    let now = Instant::now();
    let owners: Vec<id::Owner> = (0..OWNERS).map(owner).collect();
    let capacity = Capacity::new(Slots::new(SLOTS * UPSTREAMS as u64));
    let mut queue = full(&owners, now);
    let mut number = OWNERS;
    c.bench_function("queue: push and pop", |b| {
        b.iter(|| {
            number += 1;
            queue.push(ticket(number, &owners, now), now).expect("room");
            black_box(queue.pop(now, &capacity))
        });
    });
    c.bench_function("queue: push and cancel", |b| {
        b.iter(|| {
            number += 1;
            queue.push(ticket(number, &owners, now), now).expect("room");
            black_box(queue.cancel(id::Request::new(number as u128)))
        });
    });
    c.bench_function("queue: nothing has expired", |b| b.iter(|| black_box(queue.expired(now))));
}

fn admission(c: &mut Criterion) {
    let now = Instant::now();
    let owners: Vec<id::Owner> = (0..OWNERS).map(owner).collect();
    let capacity = Capacity::new(Slots::new(SLOTS * UPSTREAMS as u64));
    let queue = full(&owners, now);
    let mut admission = Admission::new(SmallRng::seed_from_u64(1));
    let tickets: Vec<Ticket> =
        (0..OWNERS).map(|number| ticket(OWNERS + number, &owners, now)).collect();
    let mut next = (0..OWNERS).cycle();
    c.bench_function("admission: accept", |b| {
        b.iter(|| {
            let ticket = &tickets[next.next().unwrap_or(0)];
            black_box(admission.admit(ticket, &queue, &capacity, now))
        });
    });
    let hurried =
        |ticket: &Ticket| Ticket { deadline: now + Duration::from_secs(1), ..ticket.clone() };
    let hurried: Vec<Ticket> = tickets.iter().map(hurried).collect();
    c.bench_function("admission: refuse", |b| {
        b.iter(|| {
            let ticket = &hurried[next.next().unwrap_or(0)];
            let decision = admission.admit(ticket, &queue, &capacity, now);
            assert!(matches!(decision, Decision::Refuse { .. }));
            decision
        });
    });
}

fn limits(c: &mut Criterion) {
    let now = Instant::now();
    let rate = Rate::per_second(1e15);
    let limits = Limits { requests: rate, tokens: rate, concurrency: 1_000_000 };
    let entry: id::Entry = "storm-summaries".parse().expect("a name");
    let names: Vec<id::Vm> =
        (0..VMS).map(|vm| format!("vm-{vm}").parse().expect("a name")).collect();
    let mut allowance = Allowance::new(entry.clone(), names[0].clone(), &limits, VMS, now);
    c.bench_function("limit: charge and settle", |b| {
        b.iter(|| {
            let charge = allowance.charge(Tokens::new(100), now).expect("allowed");
            allowance.settle(charge, Tokens::new(120), now);
        });
    });
    let mut home = Coordinator::new(limits, VMS, Duration::from_secs(60), now);
    let later = now + Duration::from_secs(10);
    let mut seq = 0;
    c.bench_function("limit: a demand of one of 350 VMs", |b| {
        b.iter(|| {
            seq += 1;
            let mut demand = limit::Demand {
                entry: entry.clone(),
                vm: names[seq % VMS].clone(),
                seq: seq as u64,
                taken: 0,
                wanted: limits,
                held: limits,
                running: 1,
            };
            demand.taken = demand.seq.saturating_sub(VMS as u64);
            black_box(home.handle_demand(&demand, later))
        });
    });
    c.bench_function("limit: home of an entry among 350 VMs", |b| {
        b.iter(|| black_box(limit::coordinator(&entry, &names, VMS)));
    });
}

fn quarantine(c: &mut Criterion) {
    let now = Instant::now();
    let entry: id::Entry = "storm-summaries".parse().expect("a name");
    let upstreams: Vec<id::Upstream> = (0..UPSTREAMS).map(upstream).collect();
    let digests: Vec<Digest> =
        (0..OWNERS).map(|number| Digest::of(&entry, number.to_string().as_bytes())).collect();
    let mut quarantine = Quarantine::new(UPSTREAMS);
    // A bad ten minutes: every tenth upstream has died with all that it ran.
    for (number, upstream) in upstreams.iter().enumerate().step_by(10) {
        for digest in &digests[number..number + SLOTS as usize] {
            quarantine.started(*digest, upstream, now);
        }
        quarantine.crashed(upstream, Incarnation::new(1), now);
    }
    let later = now + Duration::from_secs(1);
    let mut next = (0..OWNERS).cycle();
    c.bench_function("quarantine: standing, start and answer", |b| {
        b.iter(|| {
            let number = next.next().unwrap_or(0);
            let (digest, upstream) = (digests[number], &upstreams[number * 31 % UPSTREAMS]);
            black_box(quarantine.status(&digest, later));
            if quarantine.may_start(&digest, upstream) {
                quarantine.started(digest, upstream, later);
                quarantine.stopped(&digest, upstream);
            }
        });
    });
    let body = vec![b'x'; 16_384];
    c.bench_function("quarantine: digest of 16 KiB", |b| {
        b.iter(|| black_box(Digest::of(&entry, &body)));
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    queue(&mut criterion);
    admission(&mut criterion);
    limits(&mut criterion);
    quarantine(&mut criterion);
    route::all(&mut criterion);
    criterion.final_summary();
}
