//! What agreement costs: claims through three replicas with real syncs, starts after many changes, bytes per key.

use std::collections::BTreeMap;
use std::fs;
use std::hint::black_box;
use std::path::Path;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use criterion::Criterion;
use criterion::Throughput;
use hdrhistogram::Histogram;
use masticstream::consensus::Entry;
use masticstream::consensus::Members;
use masticstream::consensus::Payload;
use masticstream::consensus::Persist;
use masticstream::consensus::Position;
use masticstream::consensus::Snapshot;
use masticstream::group::Config;
use masticstream::group::Driver;
use masticstream::group::Group;
use masticstream::group::Message;
use masticstream::id;
use masticstream::ledger::Answer;
use masticstream::ledger::Command;
use masticstream::ledger::Digest;
use masticstream::ledger::Finish;
use masticstream::ledger::Ledger;
use masticstream::ledger::Outcome;
use masticstream::ledger::Reply;
use masticstream::ledger::Start;
use masticstream::ledger::Step;
use masticstream::store::Folder;
use masticstream::store::Storage;
use masticstream::unit::Incarnation;
use masticstream::unit::Index;
use masticstream::unit::Sequence;
use masticstream::unit::Term;
use masticstream::unit::Version;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

const CHANGES: u64 = 100_000;
const KEYS: u64 = 1_000_000;

type Peers = Arc<RwLock<BTreeMap<id::Replica, Group<Ledger>>>>;

fn start(key: u64) -> Start {
    Start {
        owner: "prehod".parse().expect("an owner"),
        entry: "mandate-drafts".parse().expect("an entry"),
        key: format!("mandate-2026-12-{key:012}").parse().expect("a key"),
        body: Digest::new((u128::from(key) + 1).to_be_bytes()),
        attempt: id::Attempt::new(u128::from(key)),
        vm: "ljubljana-1".parse().expect("a VM"),
        incarnation: Incarnation::new(1),
        home_since: Version::new(1),
    }
}

fn end(start: Start, answer: Option<Arc<Answer>>) -> Command {
    let step = Step { owner: start.owner, key: start.key, attempt: start.attempt };
    Command::Finish(Finish { step, outcome: Outcome::Whole, answer })
}

/// Three replicas in this process, each with a folder of its own on the disk.
struct Region {
    runtime: Runtime,
    leader: Group<Ledger>,
    _folder: TempDir,
}

impl Region {
    fn new(batch_bytes: usize) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let folder = tempfile::tempdir_in("target").expect("a folder");
        let leader = runtime.block_on(elect(folder.path(), batch_bytes));
        Self { runtime, leader, _folder: folder }
    }
}

async fn elect(folder: &Path, batch_bytes: usize) -> Group<Ledger> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut opened: Vec<Storage<Folder>> = Vec::new();
    for number in 0..3 {
        let folder = Folder::open(&folder.join(number.to_string())).expect("a folder");
        opened.push(Storage::new(folder, &mut rng).expect("opens"));
    }
    let members = Members::new(opened.iter().map(|opened| opened.id));
    let peers = Peers::default();
    for (seed, mut opened) in opened.into_iter().enumerate() {
        opened.bootstrap(members.clone()).expect("writes");
        let id = opened.id;
        let (outbox, sent) = mpsc::channel(100_000);
        let rng = SmallRng::seed_from_u64(seed as u64);
        let config = Config { batch_bytes, ..Config::new(id) };
        let (group, driver) = Driver::new(config, opened, outbox, rng).expect("starts");
        peers.write().expect("whole").insert(id, group);
        tokio::spawn(driver.run());
        tokio::spawn(carry(id, sent, peers.clone()));
    }
    loop {
        let all: Vec<_> = peers.read().expect("whole").values().cloned().collect();
        for group in all {
            if group.status().leads && group.read(|_| ()).await.is_ok() {
                return group;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn carry(from: id::Replica, mut sent: mpsc::Receiver<(id::Replica, Message)>, peers: Peers) {
    while let Some((to, message)) = sent.recv().await {
        let group = peers.read().expect("whole").get(&to).cloned();
        if let Some(group) = group {
            group.receive(from, message).await.ok();
        }
    }
}

/// What callers do, one key after the other.
#[derive(Clone)]
struct Load {
    callers: u64,
    answer: Option<Arc<Answer>>,
}

/// Claims and finishes so many keys; latencies of the claims in microseconds.
async fn claims(leader: &Group<Ledger>, first: u64, count: u64, load: &Load) -> Histogram<u64> {
    let mut tasks = Vec::new();
    for caller in 0..load.callers.min(count) {
        let (leader, load) = (leader.clone(), load.clone());
        tasks.push(tokio::spawn(async move {
            let mut latencies = Histogram::<u64>::new(3).expect("a histogram");
            for key in (first + caller..first + count).step_by(load.callers as usize) {
                let begun = Instant::now();
                let reply = leader.propose(Command::Start(start(key))).await;
                assert_eq!(reply, Ok(Reply::Granted));
                latencies.record(begun.elapsed().as_micros() as u64).expect("in range");
                let ended = leader.propose(end(start(key), load.answer.clone())).await;
                assert_eq!(ended, Ok(Reply::Done));
            }
            latencies
        }));
    }
    let mut all = Histogram::<u64>::new(3).expect("a histogram");
    for task in tasks {
        all.add(task.await.expect("no panic")).expect("same bounds");
    }
    all
}

fn claim(c: &mut Criterion) {
    let load = |callers| Load { callers, answer: None };
    let answered = Load {
        callers: 16,
        answer: Some(Arc::new(Answer::new(200, "application/json", vec![b'a'; 16 << 10]))),
    };
    let batch = Config::new(id::Replica::new(0)).batch_bytes;
    measure(c, "batches", batch, &[load(1), load(16), load(256), load(1024)]);
    measure(c, "one command an entry", 0, &[load(1), load(16), load(256)]);
    measure(c, "answers of 16 KiB", batch, &[answered]);
}

fn measure(c: &mut Criterion, name: &str, batch_bytes: usize, loads: &[Load]) {
    let region = Region::new(batch_bytes);
    let mut next = 0;
    let mut group = c.benchmark_group(format!("claim and finish, {name}"));
    group.sample_size(10).throughput(Throughput::Elements(1));
    for load in loads {
        let callers = load.callers;
        let mut latencies = Histogram::<u64>::new(3).expect("a histogram");
        group.bench_function(format!("{callers} callers"), |b| {
            b.iter_custom(|count| {
                let begun = Instant::now();
                let some = region.runtime.block_on(claims(&region.leader, next, count, load));
                next += count;
                latencies.add(some).expect("same bounds");
                begun.elapsed()
            });
        });
        let at = |quantile| latencies.value_at_quantile(quantile);
        let (p50, p99, worst) = (at(0.5), at(0.99), latencies.max());
        println!(
            "{name}, {callers} callers: a claim's p50 {p50} us, p99 {p99} us, worst {worst} us"
        );
    }
    group.finish();
}

/// A folder with so many changes, ten in an entry, and a snapshot after `covered` of them.
fn folder_with(path: &Path, covered: u64) -> Storage<Folder> {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut opened = Storage::new(Folder::open(path).expect("a folder"), &mut rng).expect("opens");
    opened.bootstrap(Members::new([opened.id])).expect("writes");
    let mut ledger = Ledger::default();
    for index in 1..=CHANGES / 10 {
        let mut data = Vec::new();
        for key in (index - 1) * 10..index * 10 {
            let command = Command::Start(start(key));
            ciborium::into_writer(&command, &mut data).expect("encodes");
            if key < covered {
                ledger.apply(&command);
            }
        }
        let position = Position::new(Index::new(index), Term::new(1));
        let entries = vec![Entry::new(position, Payload::Data(data.into()))];
        let sequence = Sequence::new(index);
        let persist = Persist { sequence, hard: None, reset: None, truncate: None, entries };
        opened.log.append(&[persist]).expect("writes");
    }
    if covered > 0 {
        let position = Position::new(Index::new(covered / 10), Term::new(1));
        let snapshot = Snapshot { position, members: Members::new([opened.id]) };
        let mut data = Vec::new();
        ciborium::into_writer(&ledger, &mut data).expect("encodes");
        opened.snapshots.save(&snapshot, &data).expect("writes");
        opened.log.compact(position.index, &snapshot).expect("writes");
    }
    opened
}

/// Opens a folder and brings the machine to the end of the log, as a driver does once it hears the commit.
fn restart(path: &Path) -> Ledger {
    let mut rng = SmallRng::seed_from_u64(3);
    let opened = Storage::new(Folder::open(path).expect("a folder"), &mut rng).expect("opens");
    let machine = opened.snapshot_data.as_deref();
    let mut ledger: Ledger =
        machine.map_or_else(Ledger::default, |data| ciborium::from_reader(data).expect("decodes"));
    let covered = opened.restored.snapshot.position.index;
    for entry in opened.restored.log.iter().filter(|entry| entry.index() > covered) {
        let Payload::Data(data) = &entry.payload else { continue };
        let mut data = data.as_ref();
        while !data.is_empty() {
            ledger.apply(&ciborium::from_reader(&mut data).expect("decodes"));
        }
    }
    ledger
}

fn restarts(c: &mut Criterion) {
    let mut group = c.benchmark_group("restart after 100000 changes");
    group.sample_size(10);
    for (name, covered) in [("no snapshot", 0), ("snapshot of 95000", 95_000)] {
        let folder = tempfile::tempdir_in("target").expect("a folder");
        drop(folder_with(folder.path(), covered));
        group.bench_function(name, |b| b.iter(|| black_box(restart(folder.path()).len())));
    }
    group.finish();
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or_default() * 1024
}

fn keys(c: &mut Criterion) {
    let before = resident_bytes();
    let mut ledger = Ledger::default();
    for key in 0..KEYS {
        let start = start(key);
        ledger.apply(&Command::Start(start.clone()));
        ledger.apply(&end(start, None));
    }
    let grown = resident_bytes().saturating_sub(before);
    println!("keys: {} bytes resident for each of {KEYS} ended keys", grown / KEYS);
    let mut data = Vec::new();
    ciborium::into_writer(&ledger, &mut data).expect("encodes");
    println!("keys: {} bytes of snapshot for each", data.len() as u64 / KEYS);
    let mut group = c.benchmark_group("a million keys");
    group.sample_size(10);
    group.bench_function("encode a snapshot", |b| {
        b.iter(|| {
            let mut data = Vec::with_capacity(data.len());
            ciborium::into_writer(&ledger, &mut data).expect("encodes");
            data
        });
    });
    group.bench_function("decode a snapshot", |b| {
        b.iter(|| ciborium::from_reader::<Ledger, _>(data.as_slice()).expect("decodes"));
    });
    let mut key = KEYS;
    group.bench_function("start", |b| {
        b.iter(|| {
            key += 1;
            ledger.apply(&Command::Start(start(key)))
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    keys(&mut criterion);
    restarts(&mut criterion);
    claim(&mut criterion);
    criterion.final_summary();
}
