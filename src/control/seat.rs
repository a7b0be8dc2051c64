//! The place of one replica: its folder, its group, and the task that runs it for as long as the daemon lives.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;
use tokio::time::Instant;

use crate::consensus;
use crate::consensus::Repairs;
use crate::consensus::Role;
use crate::control::Name;
use crate::control::Routes;
use crate::control::form;
use crate::control::form::Step;
use crate::control::join::JOIN_TIMEOUT;
use crate::control::observe::Answer;
use crate::control::observe::Observer;
use crate::control::plan::Plan;
use crate::control::traffic::Counters;
use crate::control::traffic::Traffic;
use crate::group;
use crate::group::Driver;
use crate::group::Group;
use crate::group::Machine;
use crate::id;
use crate::store::Folder;
use crate::store::Storage;
use crate::wire::Cast;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::message::Identity;

/// Planned VMs are asked who they are this often while a group forms, while this replica is no member, and while members
/// are not all known.
const FORMING: Duration = Duration::from_millis(150);
/// The same once it runs.
const RUNNING: Duration = Duration::from_secs(1);
/// A VM that does not answer within this is left out.
const ASK: Duration = Duration::from_millis(500);
/// A replica that failed starts again after this; the disk may have room then.
const FAILED_PAUSE: Duration = Duration::from_secs(2);
/// Messages to or from other replicas that wait; more are dropped, which the protocol bears.
const BACKLOG: usize = 2048;

/// What all seats of a daemon share.
pub struct Shared {
    /// This VM.
    pub me: id::Vm,
    /// Which VMs hold replicas.
    pub plan: Box<dyn Plan>,
    /// Where replicas are.
    pub routes: Arc<Routes>,
    /// The links to other processes.
    pub mesh: Mesh,
    /// The log.
    pub log: Logger,
}

/// The place of one replica, for those who ask it.
pub struct Seat<M: Machine> {
    /// The group.
    pub name: Name,
    pub(super) shared: Arc<Shared>,
    /// Whether this VM is about to stop.
    pub(super) stopping: watch::Sender<bool>,
    group: watch::Receiver<Option<Group<M>>>,
    identity: watch::Receiver<Option<Identity>>,
    inbox: mpsc::Sender<(id::Replica, group::Message)>,
    traffic: Arc<Counters>,
}

/// Why a replica's run ended.
#[derive(Debug, Error)]
enum Ended {
    /// Its folder can't be opened or read.
    #[error("{0}")]
    Folder(#[from] crate::store::Error),
    /// It can keep no more promises.
    #[error("{0}")]
    Stopped(#[from] group::Stopped),
    /// The blocking task that opens the folder failed.
    #[error("the folder was not opened: {0}")]
    Open(#[from] tokio::task::JoinError),
}

/// The task's side of a seat.
struct Keeper<M: Machine> {
    shared: Arc<Shared>,
    name: Name,
    role: Role,
    folder: PathBuf,
    group: watch::Sender<Option<Group<M>>>,
    identity: watch::Sender<Option<Identity>>,
    stopping: watch::Receiver<bool>,
    rng: SmallRng,
    traffic: Arc<Counters>,
    /// The start of the process.
    started: Instant,
}

impl<M: Machine> Seat<M> {
    /// A seat, and the task that keeps it. The seed drives election timeouts.
    pub fn new(
        shared: Arc<Shared>,
        name: Name,
        role: Role,
        folder: PathBuf,
        seed: u64,
    ) -> (Self, impl Future<Output = ()> + Send + 'static) {
        let (group, group_seen) = watch::channel(None);
        let (identity, identity_seen) = watch::channel(None);
        let (inbox, messages) = mpsc::channel(BACKLOG);
        let (stopping, stopping_seen) = watch::channel(false);
        let traffic = Arc::new(Counters::default());
        let seat = Self {
            name: name.clone(),
            shared: shared.clone(),
            stopping,
            group: group_seen,
            identity: identity_seen,
            inbox,
            traffic: traffic.clone(),
        };
        let keeper = Keeper {
            shared,
            name,
            role,
            folder,
            group,
            identity,
            stopping: stopping_seen,
            rng: SmallRng::seed_from_u64(seed),
            traffic,
            started: Instant::now(),
        };
        (seat, keeper.keep(messages))
    }

    /// The replica, while it runs.
    pub fn group(&self) -> Option<Group<M>> {
        self.group.borrow().clone()
    }

    /// Who the replica is, as far as its folder is open.
    pub fn identity(&self) -> Option<Identity> {
        let mut identity = self.identity.borrow().clone()?;
        if let Some(group) = self.group() {
            let status = group.status();
            identity.pristine = false;
            identity.members = status.members;
            identity.leads = status.leads;
        }
        Some(identity)
    }

    /// Hands in a message for the replica; it may be dropped.
    pub fn receive(&self, from: id::Replica, message: group::Message) {
        self.traffic.received.increment();
        if self.inbox.try_send((from, message)).is_err() {
            self.traffic.full.increment();
        }
    }

    /// Notes a message for another replica, which is dropped.
    pub fn record_misdirected(&self) {
        self.traffic.misdirected.increment();
    }

    /// What became of the messages between this replica and others.
    pub fn traffic(&self) -> Traffic {
        self.traffic.read()
    }
}

impl<M: Machine> Keeper<M> {
    async fn keep(mut self, mut messages: mpsc::Receiver<(id::Replica, group::Message)>) {
        loop {
            let ended = self.run(&mut messages).await;
            self.group.send_replace(None);
            self.identity.send_replace(None);
            match ended {
                Ok(()) => return,
                Err(error) => {
                    error!(self.shared.log, "a replica stopped and starts again";
                        "group" => %self.name, "why" => %error);
                }
            }
            time::sleep(FAILED_PAUSE).await;
        }
    }

    async fn run(
        &mut self,
        messages: &mut mpsc::Receiver<(id::Replica, group::Message)>,
    ) -> Result<(), Ended> {
        let mut opened = self.open().await?;
        let own = opened.id;
        self.shared.routes.confirm(own, &self.shared.me);
        self.tell(&opened);
        if opened.is_empty() {
            match self.form(own).await {
                Step::Begin(members) => {
                    info!(self.shared.log, "group formed"; "group" => %self.name);
                    opened.bootstrap(members)?;
                }
                Step::Join | Step::Wait => {
                    info!(self.shared.log, "joining a group"; "group" => %self.name);
                }
            }
        }
        let (outbox, sent) = mpsc::channel(BACKLOG);
        let rng = SmallRng::from_rng(&mut self.rng);
        let (group, driver) = Driver::<M, Folder>::new(self.config(own), opened, outbox, rng)?;
        let (shared, name, traffic) =
            (self.shared.clone(), self.name.clone(), self.traffic.clone());
        let sender = Aborted(tokio::spawn(send(shared, name, own, sent, traffic)));
        self.group.send_replace(Some(group.clone()));
        let ended = tokio::select! {
            ended = driver.run() => ended.map_err(Ended::from),
            () = feed(&group, messages) => Ok(()),
            () = self.stay(own, &group) => Ok(()),
            () = self.observer().run(&group) => Ok(()),
            () = log_repairs(&self.shared, &self.name, &group) => Ok(()),
        };
        drop(sender);
        ended
    }

    fn observer(&self) -> Observer {
        Observer::new(self.shared.clone(), self.name.clone(), self.started)
    }

    async fn open(&mut self) -> Result<Storage<Folder>, Ended> {
        let folder = self.folder.clone();
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let is_witness = self.role == Role::Witness;
        let opened = tokio::task::spawn_blocking(move || {
            let disk = Folder::open(&folder)?;
            if is_witness { Storage::witness(disk, &mut rng) } else { Storage::new(disk, &mut rng) }
        });
        Ok(opened.await??)
    }

    fn tell(&self, opened: &Storage<Folder>) {
        let identity = Identity {
            replica: opened.id,
            pristine: opened.is_empty(),
            members: opened.restored.snapshot.members.clone(),
            leads: false,
        };
        self.identity.send_replace(Some(identity));
    }

    fn config(&self, own: id::Replica) -> group::Config {
        let plan = &self.shared.plan;
        let mut consensus = consensus::Config::new(own)
            .with_replacement(plan.replace_after(), plan.voters(&self.name));
        if let Some((heartbeat, election)) = plan.pace() {
            consensus = consensus.with_timing(heartbeat, election);
        }
        if self.role == Role::Witness {
            consensus = consensus.with_witness();
        }
        group::Config::new(own).with_consensus(consensus)
    }

    async fn form(&self, own: id::Replica) -> Step {
        loop {
            let told = self.ask_all().await;
            let founders = self.shared.plan.founders(&self.name);
            let step = form::step(&self.shared.me, own, &founders, &told);
            if step != Step::Wait {
                return step;
            }
            time::sleep(FORMING).await;
        }
    }

    /// Asks the other planned VMs who they are, and notes where replicas are.
    async fn ask_all(&self) -> Vec<(id::Vm, Identity)> {
        let planned = self.shared.plan.members(&self.name);
        let others = planned.into_iter().filter(|planned| planned.vm != self.shared.me);
        let asked = others.map(|planned| async move {
            let peer = Peer::new(planned.vm.clone(), crate::wire::Role::Control);
            let request = Request::Identity(self.name.clone());
            match self.shared.mesh.call(&peer, request, ASK).await {
                Ok(Reply::Identity(Some(identity))) => Some((planned.vm.clone(), identity)),
                _ => None,
            }
        });
        let told: Vec<_> = futures::future::join_all(asked).await.into_iter().flatten().collect();
        for (vm, identity) in &told {
            self.shared.routes.confirm(identity.replica, vm);
        }
        told
    }

    /// Keeps this replica a member until it stops: asks to be taken in whenever the leader does not list it.
    async fn stay(&self, own: id::Replica, group: &Group<M>) {
        let mut observer = self.observer();
        loop {
            let told = self.ask_all().await;
            let members = group.status().members;
            let vm = |id| self.shared.routes.vm(id);
            let is_complete = members.iter().all(|(id, _)| vm(id).is_some());
            let region = |(id, _)| Some((id, self.shared.plan.region(&vm(id)?)?));
            group.set_regions(members.iter().filter_map(region).collect()).await.ok();
            let leader = told.iter().find(|(_, identity)| identity.leads);
            let listed = leader.map_or(&members, |(_, identity)| &identity.members);
            let is_member = listed.contains(own);
            if let Some((vm, _)) = leader.filter(|_| !is_member && !*self.stopping.borrow()) {
                self.ask_in(own, vm, &mut observer).await;
            }
            time::sleep(if is_complete && is_member { RUNNING } else { FORMING }).await;
        }
    }

    async fn ask_in(&self, own: id::Replica, leader: &id::Vm, observer: &mut Observer) {
        let peer = Peer::new(leader.clone(), crate::wire::Role::Control);
        let witness = self.role == Role::Witness;
        let request = Request::Join { name: self.name.clone(), replica: own, witness };
        let began = Instant::now();
        let answer = match self.shared.mesh.call(&peer, request, JOIN_TIMEOUT).await {
            Ok(Reply::Joined(true)) => Answer::TakenIn,
            Ok(_) => Answer::Refused,
            Err(_) => Answer::None,
        };
        observer.asked(leader, answer, began.elapsed());
    }
}

/// Logs the changes of members that this replica makes while it leads, and those that it can't make.
async fn log_repairs<M: Machine>(shared: &Shared, name: &Name, group: &Group<M>) {
    let mut status = group.watch();
    let mut last = Repairs::default();
    loop {
        let repairs = status.borrow_and_update().repairs.clone();
        if let Some((change, reason)) = repairs.last.filter(|_| repairs.count != last.count) {
            info!(shared.log, "seats.changed"; "group" => %name, "change" => ?change,
                "vm" => shared.routes.name(change.target()), "why" => %reason);
        }
        if let Some(kept) = repairs.kept.filter(|_| repairs.kept != last.kept) {
            warn!(shared.log, "seat.kept"; "group" => %name, "vm" => shared.routes.name(kept),
                "why" => "it is silent or stops, and no caught-up replica waits for a seat");
        }
        last = repairs;
        if status.changed().await.is_err() {
            return;
        }
    }
}

/// A task that ends with its holder.
struct Aborted(JoinHandle<()>);

impl Drop for Aborted {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn feed<M: Machine>(
    group: &Group<M>,
    messages: &mut mpsc::Receiver<(id::Replica, group::Message)>,
) {
    while let Some((from, message)) = messages.recv().await {
        group.receive(from, message).await.ok();
    }
}

async fn send(
    shared: Arc<Shared>,
    name: Name,
    from: id::Replica,
    mut sent: mpsc::Receiver<(id::Replica, group::Message)>,
    traffic: Arc<Counters>,
) {
    while let Some((to, message)) = sent.recv().await {
        let Some(vm) = shared.routes.vm(to) else {
            traffic.unrouted.increment();
            continue;
        };
        traffic.passed_on.increment();
        let peer = Peer::new(vm, crate::wire::Role::Control);
        shared.mesh.cast(&peer, Cast::Group { name: name.clone(), from, to, message });
    }
}

/// A seed for one seat, so that replicas of one VM don't time out together.
pub fn seed(rng: &mut impl Rng) -> u64 {
    rng.random()
}
