//! The cost of each role at the target's size, from the slopes.

use super::catalogue;
use super::decide;
use super::ledger;
use super::membership;
use super::pool;
use super::target;
use super::wire;

/// Seconds between two greetings of each entry VM (src/entry/peers.rs).
const GREET: f64 = 1.5;
/// VMs of each other region in a round of greetings (src/entry/peers.rs).
const GREETED: f64 = 3.0;
/// VMs that the speaker asks in a round (src/entry/digest.rs).
const ASKED: f64 = 16.0;
/// Seconds between two questions of the speaker (src/entry/digest.rs).
const ROOM: f64 = 2.0;
/// Seconds between heartbeats on an idle link (src/wire/link.rs).
const HEARTBEAT: f64 = 0.7;
/// Seconds for which an owner's part of its limits is kept after its last request, about (decide::limit).
const KEPT: f64 = 6.0;
/// How often a second an entry VM looks for messages that are due (src/entry/daemon.rs).
const TICKS: f64 = 20.0;
/// Seconds that keys are kept (ledger::Limits).
const KEYS: f64 = 3.0 * 86_400.0;

/// Bytes of text of one token, about.
const TOKEN: f64 = 4.0;
/// Seconds between two tokens of an answer.
const TOKEN_TIME: f64 = 0.046;
/// Bytes of kept answers, at most (ledger::Limits).
const ANSWERS: f64 = 64.0 * 1024.0 * 1024.0;

/// All that was measured.
pub struct Costs {
    pub membership: membership::Costs,
    pub catalogue: catalogue::Costs,
    pub ledger: ledger::Costs,
    pub decide: decide::Costs,
    pub pool: pool::Costs,
    pub wire: wire::Costs,
}

/// One line of a role: what it sends each second and what it takes.
#[derive(Debug, Clone)]
pub struct Line {
    /// The mechanism.
    pub what: &'static str,
    /// The code that carries it.
    pub code: &'static str,
    /// Messages a second, sent; none where it isn't counted.
    pub messages: Option<f64>,
    /// Bytes a second, sent.
    pub bytes: f64,
    /// Nanoseconds of processor time a second.
    pub nanos: f64,
    /// Bytes of memory.
    pub memory: f64,
}

/// One role.
#[derive(Debug, Clone)]
pub struct Role {
    /// Its name.
    pub name: &'static str,
    /// Its mechanisms.
    pub lines: Vec<Line>,
}

impl Costs {
    /// Calls and replies of these sizes, so many a second each way, handled at both ends of a VM.
    fn exchange(&self, what: &'static str, code: &'static str, sent: [(f64, f64); 2]) -> Line {
        let messages = sent.iter().map(|(rate, _)| rate).sum();
        let bytes = sent.iter().map(|(rate, bytes)| rate * bytes).sum();
        // What is sent is matched by as much that comes in.
        let nanos = sent.iter().map(|(rate, bytes)| 2.0 * rate * self.wire.nanos(*bytes)).sum();
        Line { what, code, messages: Some(messages), bytes, nanos, memory: 0.0 }
    }

    /// Membership of a VM in the largest region.
    fn member(&self) -> Line {
        let costs = &self.membership;
        let (vms, upstreams) = (target::LARGEST_VMS, target::LARGEST_UPSTREAMS);
        let news = upstreams / target::UPSTREAM_PERIOD;
        let sum = |quiet: &super::Measure, change: &super::Measure, announce: &super::Measure| {
            let changes = change.slope.at(vms) * target::CHANGES;
            quiet.slope.at(vms) + changes + announce.slope.at(vms) * news
        };
        Line {
            what: "membership, with news of upstreams and of catalogues",
            code: "membership::Member",
            messages: Some(costs.quiet_messages.slope.at(vms)),
            bytes: sum(&costs.quiet, &costs.change, &costs.announce),
            nanos: sum(&costs.quiet_nanos, &costs.change_nanos, &costs.announce_nanos),
            memory: costs.memory.slope.at(2.0 * vms + upstreams + target::REGIONS),
        }
    }

    fn catalogue(&self) -> Line {
        let costs = &self.catalogue;
        let entries = target::OWNERS;
        Line {
            what: "catalogue, kept and brought up to date by deltas",
            code: "catalogue::View",
            messages: Some(target::CHANGES),
            bytes: target::CHANGES * costs.delta_bytes.slope.at(entries),
            nanos: target::CHANGES * costs.delta_apply.slope.at(entries),
            memory: costs.memory.slope.at(entries),
        }
    }

    fn slots(&self, what: &'static str, used: f64) -> Line {
        let costs = &self.pool;
        // Over all VMs of a region grants are as many as asks: each VM sends its part of both.
        let bytes = costs.ask_bytes.slope.at(used) + costs.grant_bytes.slope.at(used);
        Line {
            what,
            code: "upstream::Pool, entry::Dispatch",
            messages: Some(2.0 * costs.asks.slope.at(used)),
            bytes,
            nanos: costs.nanos.slope.at(used)
                + 2.0 * costs.asks.slope.at(used) * costs.told.slope.at(used)
                + TICKS * costs.due.slope.at(used),
            memory: 0.0,
        }
    }

    fn leases(&self) -> Line {
        let used = (target::REQUESTS / target::VMS * KEPT).min(target::OWNERS);
        let [demand, grant] = self.wire.limit;
        let sent = [(used, demand), (used, grant)];
        let line = self.exchange("leases of limits, renewed each second", "decide::limit", sent);
        Line { memory: 2.0 * self.decide.limit_memory.slope.at(used), ..line }
    }

    fn watch(&self) -> Line {
        let [ask, none] = self.wire.watch;
        // Two sources are asked each second; replies are given to as many on average.
        let sent = [(2.0, ask), (2.0, none)];
        self.exchange("watch of two sources of the catalogue", "src/entry/peers.rs", sent)
    }

    /// An entry VM of the largest region.
    fn entry(&self) -> Role {
        let others = target::VMS - 1.0;
        let [ask, answer] = self.wire.in_force;
        let greeted = GREETED * (target::REGIONS - 1.0) / GREET;
        let greet = [(greeted, ask), (greeted, answer)];
        let used = target::LARGEST_UPSTREAMS;
        let requests = target::REQUESTS / target::VMS;
        let route = Line {
            what: "routes to all upstreams of the region, means each 100 ms",
            code: "decide::route",
            messages: Some(0.0),
            bytes: 0.0,
            nanos: 10.0 * self.decide.refresh.slope.at(used),
            memory: self.decide.route_memory.slope.at(used),
        };
        let decisions = Line {
            what: "decisions on the VM's even part of the peak's requests",
            code: "decide::{admission, queue, limit, route}",
            messages: Some(0.0),
            bytes: 0.0,
            nanos: requests * self.decide.request(target::OWNERS, target::LARGEST_UPSTREAMS),
            memory: 0.0,
        };
        let links = [(others / HEARTBEAT, self.wire.ping), (0.0, 0.0)];
        let lines = vec![
            self.member(),
            self.catalogue(),
            self.watch(),
            self.leases(),
            route,
            decisions,
            self.slots("slots of all 480 upstreams of the region", used),
            self.exchange(
                "greeting of three VMs of each other region",
                "src/entry/peers.rs",
                greet,
            ),
            self.exchange("heartbeats on links to all VMs, at most", "wire::link", links),
        ];
        Role { name: "entry VM of the largest region", lines }
    }

    /// The VM that speaks for the largest region, beyond what each entry VM does.
    fn speaker(&self) -> Role {
        let asked = ASKED / ROOM;
        let ask = [(asked, self.wire.ask_room), (0.0, 0.0)];
        let mut line = self.exchange("rooms of 16 VMs of the region", "src/entry/digest.rs", ask);
        let room = self.wire.room.slope.at(target::MODELS);
        line.nanos += asked * self.wire.nanos(room);
        Role { name: "speaker of the largest region, besides", lines: vec![line] }
    }

    /// A voter of the catalogue that the largest region's VMs follow.
    fn voter(&self) -> Role {
        let watchers = target::LARGEST_VMS;
        let [_, none] = self.wire.watch;
        let watch = [(watchers, none), (0.0, 0.0)];
        let deltas = target::CHANGES * watchers;
        let bytes = self.catalogue.delta_bytes.slope.at(target::OWNERS);
        let tell = Line {
            what: "deltas worked out and sent to each watcher",
            code: "catalogue::View::delta",
            messages: Some(deltas),
            bytes: deltas * bytes,
            nanos: deltas
                * (self.catalogue.delta.slope.at(target::OWNERS) + self.wire.nanos(bytes)),
            memory: 0.0,
        };
        let lines = vec![
            self.catalogue(),
            self.exchange("watches of the region's 200 VMs", "src/control/service.rs", watch),
            tell,
        ];
        Role { name: "voter of the catalogue", lines }
    }

    /// The only replica group of the largest region's ledger.
    fn ledger(&self) -> Role {
        let part = target::LARGEST_VMS / target::VMS;
        let rate = target::REQUESTS * target::BOUND * part;
        let [start, finish] = self.wire.ledger;
        // Each command goes to two followers.
        let sent = [(2.0 * rate, start), (2.0 * rate, finish)];
        let line = self.exchange("commands sent on to two followers", "consensus, group", sent);
        let keys = rate * KEYS;
        let state = Line {
            what: "keys of three days, if the peak lasted all the time",
            code: "ledger::Ledger",
            messages: Some(0.0),
            bytes: 0.0,
            nanos: rate * self.ledger.command.slope.at(200_000.0),
            memory: self.ledger.memory.slope.at(keys),
        };
        let size = target::TOKENS / target::REQUESTS * TOKEN;
        let answers = Line {
            what: "answers kept with their keys, sent on to two followers",
            code: "ledger::Finish, group",
            messages: Some(0.0),
            bytes: 2.0 * rate * size,
            nanos: 2.0 * rate * self.wire.nanos(size),
            // The ledger keeps no more (ledger::Limits).
            memory: ANSWERS,
        };
        Role { name: "leader of the largest region's ledger", lines: vec![line, answers, state] }
    }

    /// What breaks the budget, with what would carry it instead.
    pub fn remedies(&self) -> Role {
        let service = target::TOKENS / target::REQUESTS * TOKEN_TIME;
        let running = target::REQUESTS / target::VMS * service;
        let lines = vec![
            self.slots(
                "slots of 32 upstreams alone (decide::route follows 32 of each model)",
                32.0,
            ),
            self.slots(
                "slots of upstreams that run the VM's requests at the peak, at most",
                running,
            ),
        ];
        Role { name: "the same with other mechanisms (not built)", lines }
    }

    /// All roles.
    pub fn roles(&self) -> [Role; 4] {
        [self.entry(), self.speaker(), self.voter(), self.ledger()]
    }
}
