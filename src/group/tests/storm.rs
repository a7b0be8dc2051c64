//! A group under crashes, cuts, lost messages and failing disks, with callers that never give up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;
use tokio::time::timeout;

use super::cluster::Cluster;
use super::start;
use crate::fuzz;
use crate::id;
use crate::ledger::Command;
use crate::ledger::Finish;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::ledger::Reply;
use crate::ledger::Step;
use crate::store::tests::faulty::Fault;
use crate::store::tests::faulty::Loss;
use crate::unit::Index;

const KEYS: u64 = 6;
const REPLICAS: usize = 3;

/// What callers were told.
#[derive(Debug, Default)]
struct Told {
    granted: BTreeMap<u64, BTreeSet<id::Attempt>>,
    finished: BTreeSet<u64>,
}

async fn disturb(cluster: &mut Cluster<Ledger>, rng: &mut SmallRng) {
    let number = rng.random_range(0..REPLICAS);
    let losses = [Loss::Nothing, Loss::All, Loss::Tail, Loss::Zeros, Loss::Garbage];
    match rng.random_range(0..6) {
        0 => cluster.cut(number, true),
        1 => cluster.cut(number, false),
        2 => cluster.kill(number, Some(losses[rng.random_range(0..losses.len())])).await,
        3 => cluster.kill(number, None).await,
        4 => {
            let faults = [Fault::Crash, Fault::Full, Fault::Sync];
            let fault = faults[rng.random_range(0..faults.len())];
            cluster.disks[number].arm(rng.random_range(0..9), fault);
        }
        _ => cluster.lose(rng.random_range(0..40)),
    }
}

/// Starts again whatever has ended, as a supervisor would.
async fn supervise(cluster: &mut Cluster<Ledger>) {
    for number in 0..REPLICAS {
        let runs = match cluster.find(number) {
            Some(group) => group.peek(|_| ()).await.is_ok(),
            None => false,
        };
        if !runs {
            cluster.kill(number, None).await;
            cluster.disks[number].restart();
            cluster.start(number).expect("no damage, whatever happened");
        }
    }
}

async fn resend(cluster: &Cluster<Ledger>, told: &mut Told, rng: &mut SmallRng) {
    let number = rng.random_range(0..REPLICAS);
    let Some(group) = cluster.find(number) else { return };
    let key = rng.random_range(0..KEYS);
    let first = told.granted.get(&key).and_then(|attempts| attempts.first().copied());
    let claim = start(key, rng.random());
    let command = match first.filter(|_| rng.random_range(0..4) == 0) {
        Some(attempt) => {
            let step = Step { owner: claim.owner, key: claim.key, attempt };
            Command::Finish(Finish { step, outcome: Outcome::Whole, answer: None })
        }
        None => Command::Start(claim.clone()),
    };
    let outcome = timeout(Duration::from_secs(1), group.propose(command)).await;
    match outcome {
        Ok(Ok(Reply::Granted)) => {
            told.granted.entry(key).or_default().insert(claim.attempt);
        }
        Ok(Ok(Reply::Done)) => {
            told.finished.insert(key);
        }
        Ok(Ok(Reply::Running { .. })) => {
            assert!(!told.finished.contains(&key), "an end that was told was forgotten");
        }
        _ => {}
    }
}

#[tokio::test(start_paused = true)]
async fn no_key_is_granted_twice() {
    // Callers resend a few keys to any replica while replicas are cut off, killed and lose power, disks fill up or
    // fail a sync, and messages get lost. No key is ever granted to two attempts, what was told as finished stays
    // so on every leader, and every folder opens again. At the end all replicas agree.
    for seed in 0..fuzz::config(300).cases {
        let mut rng = SmallRng::seed_from_u64(u64::from(seed));
        let mut cluster = Cluster::<Ledger>::new(REPLICAS, false, 15);
        let mut told = Told::default();
        for _ in 0..150 {
            if rng.random_range(0..4) == 0 {
                disturb(&mut cluster, &mut rng).await;
            }
            resend(&cluster, &mut told, &mut rng).await;
            if rng.random_range(0..3) == 0 {
                supervise(&mut cluster).await;
            }
            sleep(Duration::from_millis(rng.random_range(0..400))).await;
        }
        finish(&mut cluster, &told).await;
    }
}

async fn finish(cluster: &mut Cluster<Ledger>, told: &Told) {
    cluster.lose(0);
    for number in 0..REPLICAS {
        cluster.cut(number, false);
        cluster.disks[number].restart();
    }
    supervise(cluster).await;
    for (key, attempts) in &told.granted {
        assert_eq!(attempts.len(), 1, "key {key} was granted to {attempts:?}");
        let reply = cluster.propose(|| Command::Start(start(*key, 1))).await;
        assert_ne!(reply, Ok(Reply::Granted), "key {key} was forgotten");
        let is_finished = matches!(reply, Ok(Reply::Finished { .. }));
        assert!(is_finished || !told.finished.contains(key), "the end of key {key} was forgotten");
    }
    let states = timeout(Duration::from_secs(60), settled(cluster)).await.expect("they catch up");
    assert!(states.iter().all(|state| *state == states[0]), "the replicas differ");
    for number in 0..REPLICAS {
        cluster.kill(number, None).await;
    }
}

/// The machines of all replicas, once all have carried out the same entries.
async fn settled(cluster: &Cluster<Ledger>) -> Vec<Ledger> {
    loop {
        sleep(Duration::from_millis(100)).await;
        let before = applied(cluster);
        let mut states = Vec::new();
        for number in 0..REPLICAS {
            states.push(cluster.group(number).peek(Ledger::clone).await.expect("runs"));
        }
        if before.len() == 1 && before == applied(cluster) {
            return states;
        }
    }
}

fn applied(cluster: &Cluster<Ledger>) -> BTreeSet<Index> {
    (0..REPLICAS).map(|number| cluster.group(number).status().applied).collect()
}
