//! Replicas in one process, with a network that can be cut and disks that can fail.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use super::super::Config;
use super::super::Driver;
use super::super::Error;
use super::super::Group;
use super::super::Machine;
use super::super::Message;
use super::super::Stopped;
use crate::consensus;
use crate::consensus::Members;
use crate::consensus::Role;
use crate::id;
use crate::store::Storage;
use crate::store::tests::faulty::FaultyDisk;
use crate::store::tests::faulty::Loss;

/// Longer than an election takes, lost votes included.
const ELECTED: Duration = Duration::from_secs(20);

/// Which replica can't hear which, and how often a message gets lost (out of a hundred).
#[derive(Debug, Default)]
struct Faults {
    cut: BTreeSet<id::Replica>,
    loss: u32,
}

struct Running<M: Machine> {
    group: Group<M>,
    driver: JoinHandle<Result<(), Stopped>>,
    pump: AbortHandle,
}

/// A group of replicas, by their number in the order in which they were made.
pub struct Cluster<M: Machine> {
    pub disks: Vec<FaultyDisk>,
    pub ids: Vec<id::Replica>,
    witness: Option<usize>,
    snapshot_entries: usize,
    running: Arc<Mutex<BTreeMap<id::Replica, Running<M>>>>,
    faults: Arc<Mutex<Faults>>,
    rng: SmallRng,
}

impl<M: Machine> Cluster<M> {
    /// Starts so many replicas; the last is a witness if that is asked for.
    pub fn new(count: usize, with_witness: bool, snapshot_entries: usize) -> Self {
        let mut cluster = Self {
            disks: vec![],
            ids: vec![],
            witness: with_witness.then(|| count - 1),
            snapshot_entries,
            running: Arc::default(),
            faults: Arc::default(),
            rng: SmallRng::seed_from_u64(11),
        };
        let mut opened = Vec::new();
        for number in 0..count {
            cluster.disks.push(FaultyDisk::default());
            opened.push(cluster.open(number).expect("a good disk"));
        }
        cluster.ids = opened.iter().map(|opened| opened.id).collect();
        let mut members = Members::new(cluster.ids.iter().copied());
        if with_witness {
            members = members.with_member(cluster.ids[count - 1], Role::Witness);
        }
        for (number, mut opened) in opened.into_iter().enumerate() {
            opened.bootstrap(members.clone()).expect("a good disk");
            cluster.run(number, opened).expect("a good disk");
        }
        cluster
    }

    fn open(&mut self, number: usize) -> Result<Storage<FaultyDisk>, crate::store::Error> {
        let disk = self.disks[number].clone();
        if self.witness == Some(number) {
            return Storage::witness(disk, &mut self.rng);
        }
        Storage::new(disk, &mut self.rng)
    }

    fn run(&mut self, number: usize, opened: Storage<FaultyDisk>) -> Result<(), Stopped> {
        let id = opened.id;
        let mut consensus = consensus::Config::new(id).with_snapshot_entries(self.snapshot_entries);
        if self.witness == Some(number) {
            consensus = consensus.with_witness();
        }
        let config = Config::new(id).with_consensus(consensus);
        let (outbox, sent) = mpsc::channel(10_000);
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let (group, driver) = Driver::<M, FaultyDisk>::new(config, opened, outbox, rng)?;
        let pump = tokio::spawn(pump(id, sent, self.running.clone(), self.faults.clone()));
        let running =
            Running { group, driver: tokio::spawn(driver.run()), pump: pump.abort_handle() };
        self.running.lock().expect("whole").insert(id, running);
        Ok(())
    }

    /// Starts a replica that was stopped.
    pub fn start(&mut self, number: usize) -> Result<(), Stopped> {
        let opened = self.open(number)?;
        assert_eq!(opened.id, self.ids[number], "the identity changed");
        self.run(number, opened)
    }

    /// Kills a replica in the middle of whatever it does; with a loss, its VM loses power.
    pub async fn kill(&mut self, number: usize, loss: Option<Loss>) {
        let running = self.running.lock().expect("whole").remove(&self.ids[number]);
        let Some(Running { driver, pump, .. }) = running else { return };
        pump.abort();
        driver.abort();
        driver.await.map(drop).unwrap_or_default();
        match loss {
            Some(loss) => self.disks[number].lose_power(loss, &mut self.rng),
            None => self.disks[number].restart(),
        }
    }

    /// Waits for a driver to end by itself.
    pub async fn ended(&mut self, number: usize) -> Result<(), Stopped> {
        let running = self.running.lock().expect("whole").remove(&self.ids[number]);
        let Running { driver, group, pump } = running.expect("runs");
        let ended = timeout(ELECTED, driver).await.expect("ends").expect("no panic");
        drop(group);
        pump.abort();
        ended
    }

    /// Cuts a replica off, or heals its links.
    pub fn cut(&self, number: usize, off: bool) {
        let cut = &mut self.faults.lock().expect("whole").cut;
        if off {
            cut.insert(self.ids[number])
        } else {
            cut.remove(&self.ids[number])
        };
    }

    /// Lets so many of a hundred messages get lost.
    pub fn lose(&self, loss: u32) {
        self.faults.lock().expect("whole").loss = loss;
    }

    pub fn group(&self, number: usize) -> Group<M> {
        self.find(number).expect("runs")
    }

    pub fn find(&self, number: usize) -> Option<Group<M>> {
        let running = self.running.lock().expect("whole");
        running.get(&self.ids[number]).map(|running| running.group.clone())
    }

    /// The number of the leader that a majority follows, once there is one.
    pub async fn leader(&self) -> usize {
        let find = async {
            loop {
                if let Some(number) = self.confirmed_leader().await {
                    return number;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(ELECTED, find).await.expect("a leader")
    }

    async fn confirmed_leader(&self) -> Option<usize> {
        for number in 0..self.ids.len() {
            let Some(group) = self.find(number) else { continue };
            let read = timeout(Duration::from_secs(2), group.read(|_| ()));
            if group.status().leads && read.await == Ok(Ok(())) {
                return Some(number);
            }
        }
        None
    }

    /// Proposes at whoever leads until there is an outcome that is sure.
    pub async fn propose(&self, command: impl Fn() -> M::Command) -> Result<M::Reply, Error> {
        loop {
            let leader = self.leader().await;
            match self.group(leader).propose(command()).await {
                Err(error) if error.is_final() => sleep(Duration::from_millis(20)).await,
                outcome => return outcome,
            }
        }
    }
}

/// Carries a replica's messages, encoded as they would be on a link.
async fn pump<M: Machine>(
    from: id::Replica,
    mut sent: mpsc::Receiver<(id::Replica, Message)>,
    running: Arc<Mutex<BTreeMap<id::Replica, Running<M>>>>,
    faults: Arc<Mutex<Faults>>,
) {
    let mut rng = SmallRng::seed_from_u64(from.get() as u64);
    while let Some((to, message)) = sent.recv().await {
        let is_lost = {
            let faults = faults.lock().expect("whole");
            let cut = faults.cut.contains(&from) || faults.cut.contains(&to);
            cut || rng.random_range(0..100) < faults.loss
        };
        let group = running.lock().expect("whole").get(&to).map(|running| running.group.clone());
        let Some(group) = group.filter(|_| !is_lost) else { continue };
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).expect("encodes");
        let message = ciborium::from_reader(bytes.as_slice()).expect("decodes");
        group.receive(from, message).await.unwrap_or_default();
    }
}
