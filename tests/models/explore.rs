//! The exhaustive search over all states within the bounds.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use masticstream::consensus::Message;
use masticstream::id;
use pathfinding::prelude::bfs;
use tokio::time::Instant;

use super::bounds::Bounds;
use super::bounds::Group;
use super::packet::Packet;
use super::peer::Effect;
use super::peer::Event;
use super::peer::Peer;
use super::peer::key;
use super::world::World;

/// The states of one exploration at most: a gigabyte, of which CI holds four at a time.
const MAX_STATES: usize = 1_200_000;

/// A replica's state and its number.
#[derive(Debug)]
pub struct Node {
    pub peer: Peer,
    pub key: u128,
}

type Step = (Arc<Node>, Arc<[Effect]>);

/// Steps replicas, each state of one by each event once: a step has no other inputs, and states recur.
#[derive(Debug)]
pub struct Explorer {
    pub group: Group,
    nodes: RefCell<HashMap<u128, Arc<Node>>>,
    packets: RefCell<HashMap<u128, Arc<Packet>>>,
    steps: RefCell<HashMap<(u128, u128), Step>>,
}

/// What an exploration found.
#[derive(Debug)]
pub struct Report {
    pub states: usize,
    pub time: Duration,
    /// The broken invariant and the shortest way there.
    pub violation: Option<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} states in {:.1} s", self.states, self.time.as_secs_f64())?;
        match &self.violation {
            Some(violation) => write!(f, ": {violation}"),
            None => Ok(()),
        }
    }
}

impl Explorer {
    /// An exploration of a group.
    pub fn new(group: Group) -> Self {
        Self {
            group,
            nodes: RefCell::default(),
            packets: RefCell::default(),
            steps: RefCell::default(),
        }
    }

    /// The one copy of a replica's state.
    pub fn node(&self, peer: Peer) -> Arc<Node> {
        let key = peer.key(&self.group);
        self.nodes.borrow_mut().entry(key).or_insert_with(|| Arc::new(Node { peer, key })).clone()
    }

    /// The one copy of a message.
    pub fn packet(&self, from: id::Replica, to: id::Replica, message: &Message) -> Arc<Packet> {
        let key = key(&(from, to, message));
        let packet = || Arc::new(Packet { key, from, to, message: message.clone() });
        self.packets.borrow_mut().entry(key).or_insert_with(packet).clone()
    }

    /// What an event makes of a replica.
    pub fn step(&self, node: &Arc<Node>, event: &Event) -> Step {
        let number = (node.key, event.key());
        if let Some(step) = self.steps.borrow().get(&number) {
            return step.clone();
        }
        let mut peer = node.peer.clone();
        let effects = peer.act(event, &self.group).into();
        let step = (self.node(peer), effects);
        self.steps.borrow_mut().insert(number, step.clone());
        step
    }

    /// Explores all that can follow from a new group.
    pub fn explore(&self, bounds: Bounds) -> Report {
        self.explore_from(World::new(self, bounds))
    }

    /// Explores all that can follow once the first replica leads.
    pub fn explore_led(&self, bounds: Bounds) -> Report {
        self.explore_from(World::new(self, bounds).led(self))
    }

    /// Explores all that can follow from a state.
    pub fn explore_from(&self, start: World) -> Report {
        let begin = Instant::now();
        let states = Cell::new(0);
        let successors = |world: &World| {
            states.set(states.get() + 1);
            assert!(states.get() <= MAX_STATES, "more than {MAX_STATES} states: narrow the bounds");
            world.successors(self)
        };
        let path = bfs(&start, successors, |world| world.violation.is_some());
        let violation = path.map(|path| {
            let cause =
                path.last().and_then(|world| world.violation.as_deref()).unwrap_or_default();
            let steps: Vec<String> = path.iter().map(ToString::to_string).collect();
            format!("{cause}\n{}", steps.join("\n"))
        });
        Report { states: states.get(), time: begin.elapsed(), violation }
    }
}
