//! The task that runs one replica.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::Config;
use super::Error;
use super::Fetches;
use super::Group;
use super::Machine;
use super::Message;
use super::Refusals;
use super::SlowWrites;
use super::Stage;
use super::Status;
use super::Stopped;
use super::batch::Batch;
use super::batch::Pending;
use super::batch::Waiting;
use super::fetch::Fetch;
use super::fetches::Tally;
use super::files::Files;
use super::files::Finished;
use super::meter::Meter;
use super::request::Answer;
use super::request::Look;
use super::request::Request;
use super::request::not_leader;
use super::serve::Serve;
use crate::consensus::Change;
use crate::consensus::Input;
use crate::consensus::Refusal;
use crate::consensus::Replica;
use crate::consensus::Snapshot;
use crate::consensus::Token;
use crate::id;
use crate::store::Disk;
use crate::store::Storage;
use crate::unit::Index;

/// Requests that may wait for the driver; whoever asks more waits for room.
const REQUESTS: usize = 1024;

/// Requests taken between two looks at timers and finished writes.
const BURST: usize = 256;

/// A write and its sync take a few milliseconds; one that takes this long delays elections.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// A replica with its files, its machine and all that waits for it. Run it as a task; it ends when the last
/// handle is dropped, or when it can't keep its promises any more.
pub struct Driver<M: Machine, D> {
    pub(super) config: Config,
    pub(super) replica: Replica,
    pub(super) machine: M,
    /// The last index that the machine has carried out.
    pub(super) applied: Index,
    pub(super) files: Files<M, D>,
    pub(super) requests: mpsc::Receiver<Request<M>>,
    pub(super) outbox: mpsc::Sender<(id::Replica, Message)>,
    pub(super) status: watch::Sender<Status>,
    pub(super) waiting: Waiting<M>,
    pub(super) pending: Pending<M>,
    pub(super) reads: BTreeMap<Token, Look<M>>,
    pub(super) tokens: u64,
    pub(super) fetch: Option<Fetch>,
    /// Another replica's snapshot, all of it, until the files are free.
    pub(super) arrived: Option<(Snapshot, Vec<u8>)>,
    /// The copies of the machine that other replicas fetch.
    pub(super) serves: BTreeMap<id::Replica, Serve>,
    /// Whether a snapshot is due, until the files are free.
    pub(super) snapshot_due: bool,
    /// The length of the last snapshot that was taken.
    pub(super) snapshot_bytes: usize,
    /// Since when time has not been told to the machine, while leading.
    pub(super) told: Option<Instant>,
    pub(super) meter: Arc<Meter>,
    pub(super) tally: Tally,
    /// The change that was asked for last.
    pub(super) asked_change: Option<(Token, Change)>,
    pub(super) refusals: Refusals,
    pub(super) slow_writes: SlowWrites,
    pub(super) failure: Option<Stopped>,
}

impl<M: Machine, D: Disk> Driver<M, D> {
    /// A replica on an opened folder, and the handle on it. What it sends goes into the outbox, and is dropped
    /// while that is full.
    pub fn new(
        config: Config,
        opened: Storage<D>,
        outbox: mpsc::Sender<(id::Replica, Message)>,
        rng: SmallRng,
    ) -> Result<(Group<M>, Self), Stopped> {
        let applied = opened.restored.snapshot.position.index;
        let machine = match &opened.snapshot_data {
            Some(data) => {
                ciborium::from_reader(data.as_slice()).map_err(|_| Stopped::Undecodable(applied))?
            }
            None => M::default(),
        };
        let replica = Replica::new(config.consensus.clone(), opened.restored, rng, Instant::now());
        let (sender, requests) = mpsc::channel(REQUESTS);
        let mut driver = Self {
            files: Files::new(opened.log, opened.snapshots),
            status: watch::Sender::new(status(&replica)),
            config,
            replica,
            machine,
            applied,
            requests,
            outbox,
            waiting: Waiting::new(),
            pending: Pending::new(),
            reads: BTreeMap::new(),
            tokens: 0,
            fetch: None,
            arrived: None,
            serves: BTreeMap::new(),
            snapshot_due: false,
            snapshot_bytes: opened.snapshot_data.as_ref().map_or(0, Vec::len),
            told: None,
            meter: Arc::new(Meter::new(Instant::now())),
            tally: Tally::default(),
            asked_change: None,
            refusals: Refusals::default(),
            slow_writes: SlowWrites::default(),
            failure: None,
        };
        let group = Group::new(sender, driver.status.subscribe(), driver.meter.clone());
        driver.publish();
        Ok((group, driver))
    }

    /// Runs until the last handle is dropped. After an error nothing more is acknowledged, and whatever waits for
    /// an answer hears that its outcome is unknown.
    pub async fn run(mut self) -> Result<(), Stopped> {
        loop {
            let deadline = self.deadline();
            tokio::select! {
                finished = self.files.next() => self.finished(finished?),
                request = self.requests.recv() => match request {
                    Some(request) => self.take(request),
                    None => break,
                },
                () = sleep_until(deadline) => {}
            }
            self.settle();
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
        }
        self.files.close().await
    }

    /// Takes what else has come in, and starts what is due.
    fn settle(&mut self) {
        for _ in 0..BURST {
            let Ok(request) = self.requests.try_recv() else { break };
            self.take(request);
        }
        self.tick();
        self.propose();
        self.use_snapshots();
        self.files.flush();
        self.publish();
    }

    fn deadline(&self) -> Instant {
        let fetch = self.fetch.as_ref().map(Fetch::deadline);
        let told = self.told.map(|told| told + self.config.advance_every);
        [fetch, told].into_iter().flatten().fold(self.replica.deadline(), Instant::min)
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if now >= self.replica.deadline() {
            self.step(Input::Tick);
        }
        self.give_up_former_leader();
        if let Some(fetch) = &mut self.fetch {
            let next = fetch.tick(now);
            self.fetch_next(next);
        }
        self.serves.retain(|_, serve| !serve.is_over(now));
        if let Some(told) = self.told.filter(|told| now >= *told + self.config.advance_every) {
            self.told = Some(now);
            self.waiting.push(&M::advance(now - told), None);
        }
    }

    fn take(&mut self, request: Request<M>) {
        match request {
            Request::Propose { command, answer } => self.enqueue(&command, answer),
            Request::Read(look) => {
                let token = self.token();
                self.reads.insert(token, look);
                self.step(Input::Read { token });
            }
            Request::Peek(look) => look(Ok(&self.machine)),
            Request::Receive { from, message } => self.receive(from, message),
            Request::Change { change, answer } => {
                let token = self.token();
                self.pending.propose(token, Batch::Change(answer));
                self.asked_change = Some((token, change));
                self.step(Input::Change { change, token });
            }
            Request::HandOver { to } => self.step(Input::Transfer { to }),
            Request::Release { id } => self.step(Input::Release { id }),
            Request::Regions(regions) => self.step(Input::Regions(regions)),
            Request::Peers(answer) => drop(answer.send(self.replica.peers(Instant::now()))),
        }
    }

    fn enqueue(&mut self, command: &M::Command, answer: Answer<M::Reply>) {
        if !self.replica.is_leader() {
            drop(answer.send(Err(not_leader(self.replica.leader()))));
        } else if self.waiting.len() >= self.config.waiting {
            drop(answer.send(Err(Error::Refused(Refusal::LogFull))));
        } else {
            self.waiting.push(command, Some(answer));
        }
    }

    /// Proposes what waits: at once when the log is idle, and otherwise once the sync under way is over or a
    /// batch is full, so that under load many commands share an entry, a message and a sync.
    fn propose(&mut self) {
        while !self.files.is_writing() || self.waiting.bytes() >= self.config.batch_bytes {
            let Some((data, batch)) = self.waiting.take(self.config.batch_bytes) else { return };
            let token = self.token();
            self.pending.propose(token, batch);
            self.step(Input::Propose { data, token });
            self.files.flush();
        }
    }

    fn token(&mut self) -> Token {
        self.tokens += 1;
        Token::new(self.tokens)
    }

    pub(super) fn step(&mut self, input: Input) {
        for output in self.replica.step(input, Instant::now()) {
            self.carry_out(output);
        }
    }

    fn finished(&mut self, finished: Finished<M>) {
        match finished {
            Finished::Synced(sequence, took) => {
                if took >= SLOW_WRITE {
                    self.slow_writes.count += 1;
                    self.slow_writes.last = took;
                }
                self.step(Input::Persisted { sequence });
            }
            Finished::Saved(snapshot) => {
                self.step(Input::SnapshotTaken { index: snapshot.position.index });
            }
            Finished::Installed(snapshot, machine) => {
                self.tally.reach(Stage::Installed, Instant::now());
                self.install(snapshot, machine);
            }
            Finished::Undecodable => {
                self.tally.reach(Stage::Undecodable, Instant::now());
                self.step(Input::SnapshotFailed);
            }
            Finished::Nothing => {}
        }
    }

    fn publish(&mut self) {
        self.meter.record_turn(&self.replica, self.files.writing_since(), Instant::now());
        let mut status = status(&self.replica);
        status.applied = self.applied;
        status.waiting = self.waiting.len();
        status.pending = self.pending.len();
        status.dropped = self.meter.dropped();
        status.fetches = self.tally.fetches();
        status.refusals = self.refusals;
        status.slow_writes = self.slow_writes;
        self.status.send_if_modified(|last| {
            let changed = *last != status;
            *last = status;
            changed
        });
    }
}

fn status(replica: &Replica) -> Status {
    Status {
        id: replica.id(),
        term: replica.term(),
        leader: replica.leader(),
        leads: replica.is_leader(),
        commit: replica.commit(),
        applied: replica.applied(),
        snapshot: replica.log().snapshot().position,
        log_bytes: replica.log().bytes(),
        members: replica.log().members().clone(),
        settled: replica.log().members_index() <= replica.commit(),
        repairs: replica.repairs().clone(),
        waiting: 0,
        pending: 0,
        dropped: 0,
        slow_writes: SlowWrites::default(),
        phase: replica.phase(),
        fetches: Fetches::default(),
        refusals: Refusals::default(),
    }
}
