//! The state of the whole group: the replicas, the messages under way and what was so far.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use masticstream::consensus::Body;
use masticstream::consensus::Change;
use masticstream::consensus::Config;
use masticstream::consensus::Input;
use masticstream::consensus::Members;
use masticstream::consensus::Message;
use masticstream::consensus::Restored;
use masticstream::consensus::Role;
use masticstream::consensus::Token;
use masticstream::consensus::fault::Fault;
use masticstream::consensus::timer::Timeout;
use masticstream::id;

use super::bounds::Bounds;
use super::bounds::Group;
use super::explore::Explorer;
use super::explore::Node;
use super::ghost::Ghost;
use super::packet::Packet;
use super::peer::Effect;
use super::peer::Event;
use super::peer::Peer;
use super::peer::key;

/// One state of the group. Equal to another one if all that decides on what can follow is.
#[derive(Debug, Clone)]
pub struct World {
    pub peers: Vec<Arc<Node>>,
    /// In order of their numbers; a message under way twice stands here once.
    pub packets: Vec<Arc<Packet>>,
    pub ghost: Arc<Ghost>,
    pub bounds: Arc<Bounds>,
    pub violation: Option<Arc<str>>,
    /// What led here, for a report.
    cause: (id::Replica, Option<Arc<Packet>>, &'static str),
    key: u128,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u128(self.key);
    }
}

impl fmt::Display for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (id, packet, name) = &self.cause;
        write!(f, "{:2} {name}", id.get())?;
        match packet {
            Some(p) => write!(f, " from {:2} {:?}", p.from.get(), p.message),
            None => Ok(()),
        }
    }
}

/// The numbers of replicas in an exploration.
pub const fn replica(number: u128) -> id::Replica {
    id::Replica::new(number)
}

impl World {
    /// A new group that has held no election yet.
    pub fn new(explorer: &Explorer, bounds: Bounds) -> Self {
        let group = &explorer.group;
        let data = group.voters + group.learners;
        let mut members = Members::new((1..=group.voters).map(replica));
        for learner in group.voters + 1..=data {
            members = members.with_member(replica(learner), Role::Learner);
        }
        let mut configs: Vec<Config> =
            (1..=data).map(|number| config(group, replica(number))).collect();
        if group.witness {
            members = members.with_member(replica(data + 1), Role::Witness);
            configs.push(config(group, replica(data + 1)).with_witness());
        }
        let peer = |config| Peer::new(config, Restored::new(members.clone()));
        Self {
            peers: configs.into_iter().map(|config| explorer.node(peer(config))).collect(),
            packets: Vec::new(),
            ghost: Arc::default(),
            bounds: Arc::new(bounds),
            violation: None,
            cause: (replica(0), None, "start"),
            key: 0,
        }
        .keyed()
    }

    fn keyed(mut self) -> Self {
        let peers: Vec<u128> = self.peers.iter().map(|node| node.key).collect();
        let packets: Vec<u128> = self.packets.iter().map(|packet| packet.key).collect();
        self.key = key(&(peers, packets, &*self.ghost, &*self.bounds, self.violation.is_some()));
        self
    }

    /// All states that one event leads to.
    pub fn successors(&self, explorer: &Explorer) -> Vec<Self> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        self.deliver(explorer, &mut next);
        for at in 0..self.peers.len() {
            self.act(explorer, at, &mut next);
            self.lead(explorer, at, &mut next);
        }
        next
    }

    /// Delivers each message, and keeps it under way as well if it may be duplicated.
    fn deliver(&self, explorer: &Explorer, next: &mut Vec<Self>) {
        for packet in &self.packets {
            let Some(at) = self.peers.iter().position(|node| node.peer.replica.id() == packet.to)
            else {
                continue;
            };
            let input = Input::Receive { from: packet.from, message: packet.message.clone() };
            let Some(mut world) = self.after(explorer, at, &Event::Input(input), "receives") else {
                continue;
            };
            world.cause.1 = Some(packet.clone());
            if self.bounds.duplicates > 0 {
                let mut twice = world.clone();
                twice.spend(|bounds| bounds.duplicates -= 1);
                next.push(twice.keyed());
            }
            // What it sends in answer may be the same message again.
            if let Ok(place) = world.packets.binary_search_by_key(&packet.key, |other| other.key) {
                world.packets.remove(place);
            }
            next.push(world.keyed());
        }
    }

    /// What may happen to any replica.
    fn act(&self, explorer: &Explorer, at: usize, next: &mut Vec<Self>) {
        let peer = &self.peers[at].peer;
        let mut add = |event: Event, name: &'static str, spend: fn(&mut Bounds)| {
            if let Some(mut world) = self.after(explorer, at, &event, name) {
                world.spend(spend);
                next.push(world.keyed());
            }
        };
        let turn = self
            .bounds
            .standing
            .get(self.bounds.standing.len().wrapping_sub(self.bounds.elections.into()));
        if self.bounds.elections > 0 && turn.is_none_or(|&id| id == peer.replica.id()) {
            let body = Message::new(peer.replica.term(), Body::TimeoutNow);
            let event = match explorer.group.pre_votes {
                true => Event::Timeout(Timeout::Election),
                false => Event::Input(Input::Receive { from: peer.replica.id(), message: body }),
            };
            add(event, "times out", |bounds| bounds.elections -= 1);
        }
        if !peer.pending.is_empty() {
            add(Event::Sync, "syncs", |_| {});
        }
        if peer.offered.is_some() {
            add(Event::Install, "installs a snapshot", |_| {});
        }
        let crashing = &self.bounds.crashing;
        if self.bounds.crashes > 0 && (crashing.is_empty() || crashing.contains(&peer.replica.id()))
        {
            for writes in 0..peer.pending.len().max(1) {
                add(Event::Crash(writes), "crashes", |bounds| bounds.crashes -= 1);
            }
        }
        let covered = peer.replica.log().snapshot().position.index;
        if self.bounds.snapshots > 0 && peer.replica.applied() > covered && !peer.config.witness {
            add(Event::Snapshot, "takes a snapshot", |bounds| bounds.snapshots -= 1);
        }
        if self.bounds.lost_folders > 0 {
            next.push(self.lose_folder(explorer, at));
        }
    }

    /// What may happen to a leader.
    fn lead(&self, explorer: &Explorer, at: usize, next: &mut Vec<Self>) {
        let leader = &self.peers[at].peer.replica;
        if !leader.is_leader() {
            return;
        }
        let mut add = |event: Event, name: &'static str, note: &dyn Fn(&mut Ghost, &mut Bounds)| {
            if let Some(mut world) = self.after(explorer, at, &event, name) {
                note(Arc::make_mut(&mut world.ghost), Arc::make_mut(&mut world.bounds));
                next.push(world.keyed());
            }
        };
        if self.bounds.proposals > 0 {
            let data = vec![self.bounds.proposals].into();
            let event = Event::Input(Input::Propose { data, token: Token::new(0) });
            add(event, "proposes", &|_, bounds| bounds.proposals -= 1);
        }
        if self.bounds.heartbeats > 0 {
            let event = Event::Timeout(Timeout::Heartbeat);
            add(event, "sends heartbeats", &|_, bounds| bounds.heartbeats -= 1);
        }
        if self.bounds.silences > 0 {
            let term = leader.term();
            let others =
                leader.log().members().with_role(Role::Voter).filter(|&id| id != leader.id());
            for id in others {
                add(
                    Event::Timeout(Timeout::Unresponsive(id)),
                    "misses a voter",
                    &|ghost, bounds| {
                        ghost.silenced.insert((term, id));
                        bounds.silences -= 1;
                    },
                );
            }
        }
        for (place, &change) in self.bounds.changes.iter().enumerate() {
            let event = Event::Input(Input::Change { change, token: Token::new(0) });
            add(event, named(change), &|_, bounds| {
                bounds.changes.remove(place);
            });
        }
        if self.bounds.reads > 0 {
            let token = Token::new(self.ghost.reads.len() as u64);
            let committed = self.ghost.committed.len();
            let mut asked = self.clone();
            Arc::make_mut(&mut asked.ghost).reads.push(committed);
            if let Some(mut world) =
                asked.after(explorer, at, &Event::Input(Input::Read { token }), "reads")
            {
                world.spend(|bounds| bounds.reads -= 1);
                next.push(world.keyed());
            }
        }
    }

    fn spend(&mut self, spend: impl Fn(&mut Bounds)) {
        spend(Arc::make_mut(&mut self.bounds));
    }

    /// The state after an event at one replica; none if it changes nothing there. A delivery that changes
    /// nothing is left out, for all that can follow it can follow without it.
    fn after(
        &self,
        explorer: &Explorer,
        at: usize,
        event: &Event,
        name: &'static str,
    ) -> Option<Self> {
        let (node, effects) = explorer.step(&self.peers[at], event);
        if node.key == self.peers[at].key && effects.is_empty() {
            return None;
        }
        let mut world = self.clone();
        world.cause = (node.peer.replica.id(), None, name);
        world.peers[at] = node;
        for effect in effects.iter() {
            if let Effect::Sent { to, message } = effect {
                world.post(explorer, at, *to, message);
            }
        }
        world.judge(at, &effects);
        if explorer.group.synced {
            world.drop_spent();
        }
        Some(world)
    }

    fn post(&mut self, explorer: &Explorer, at: usize, to: id::Replica, message: &Message) {
        let from = self.peers[at].peer.replica.id();
        if self.bounds.cut.iter().any(|&(a, b)| [(a, b), (b, a)].contains(&(from.get(), to.get())))
        {
            return;
        }
        let packet = explorer.packet(from, to, message);
        if let Err(place) = self.packets.binary_search_by_key(&packet.key, |other| other.key) {
            self.packets.insert(place, packet);
        }
    }

    /// Drops messages that can change nothing any more, so that states differ only in what matters.
    fn drop_spent(&mut self) {
        let peers = &self.peers;
        let receiver =
            |packet: &Packet| peers.iter().find(|node| node.peer.replica.id() == packet.to);
        self.packets.retain(|packet| {
            receiver(packet).is_some_and(|node| !packet.is_spent(&node.peer.replica))
        });
    }

    fn judge(&mut self, at: usize, effects: &[Effect]) {
        let others = self.peers.iter().enumerate().filter(|&(place, _)| place != at);
        let others: Vec<&Peer> = others.map(|(_, node)| &node.peer).collect();
        let mut ghost = (*self.ghost).clone();
        if let Err(violation) = ghost.judge(&self.peers[at].peer, &others, effects) {
            self.violation = Some(violation.into());
        }
        if ghost != *self.ghost {
            self.ghost = Arc::new(ghost);
        }
    }

    /// A folder is lost: what starts in its place is a newcomer. With the planted fault, it takes the old name.
    fn lose_folder(&self, explorer: &Explorer, at: usize) -> Self {
        let mut world = self.clone();
        world.spend(|bounds| bounds.lost_folders -= 1);
        let old = &self.peers[at].peer.config;
        let ghost = Arc::make_mut(&mut world.ghost);
        ghost.retired.insert(old.id);
        ghost.identities += 1;
        let mut config = old.clone();
        if explorer.group.fault != Some(Fault::VoteWithoutMembers) {
            config.id = replica(100 + ghost.identities);
        }
        world.cause = (old.id, None, "loses its folder");
        world.peers[at] = explorer.node(Peer::new(config, Restored::default()));
        world.keyed()
    }

    /// Delivers all messages and lets all writes be synced, with no other event.
    pub fn settled(mut self, explorer: &Explorer) -> Self {
        let bounds = std::mem::replace(&mut self.bounds, Arc::new(Bounds::NONE));
        loop {
            let Some(next) = self.successors(explorer).into_iter().next() else {
                break;
            };
            self = next;
        }
        self.packets.clear();
        self.bounds = bounds;
        self.keyed()
    }

    /// The first replica leads, and its first entry is committed everywhere.
    pub fn led(self, explorer: &Explorer) -> Self {
        let mut world = self;
        let bounds =
            std::mem::replace(&mut world.bounds, Arc::new(Bounds { elections: 1, ..Bounds::NONE }));
        let mut next = Vec::new();
        world.act(explorer, 0, &mut next);
        let mut world = next.remove(0).settled(explorer);
        world.bounds = Arc::new(Bounds { heartbeats: 1, ..Bounds::NONE });
        let mut next = Vec::new();
        world.lead(explorer, 0, &mut next);
        let mut world = next.remove(0).settled(explorer);
        world.bounds = bounds;
        world.keyed()
    }
}

fn config(group: &Group, id: id::Replica) -> Config {
    let mut config = Config::new(id).with_snapshot_entries(1);
    // Members that lag come to need a snapshot.
    config.retained_bytes = 0;
    if group.split {
        config.append_bytes = 1;
    }
    match group.fault {
        Some(fault) => config.with_fault(fault),
        None => config,
    }
}

const fn named(change: Change) -> &'static str {
    match change {
        Change::AddLearner(_) => "adds a learner",
        Change::AddWitness(_) => "adds a witness",
        Change::Promote(_) => "promotes a learner",
        Change::Remove(_) => "removes a member",
    }
}
