//! What frames between the system's processes weigh, and what encoding and decoding costs.

use std::collections::BTreeMap;

use super::Measure;
use super::Point;
use super::Slope;
use super::catalogue;
use super::ledger;
use super::meter;
use crate::decide::limit;
use crate::decide::spill;
use crate::id;
use crate::ledger::Command;
use crate::unit::Version;
use crate::wire::Cast;
use crate::wire::Frame;
use crate::wire::Reply;
use crate::wire::Request;

const MODELS: [usize; 4] = [1, 9, 40, 160];

/// Bytes of frames, without what WebSocket, TCP and IP add.
pub struct Costs {
    /// Nanoseconds to encode and decode, by bytes.
    pub codec: Measure,
    /// Bytes of a room of so many models.
    pub room: Measure,
    /// A question which catalogue is in force, and its answer.
    pub in_force: [f64; 2],
    /// A question for a newer catalogue, and the answer that there is none.
    pub watch: [f64; 2],
    /// A question for room.
    pub ask_room: f64,
    /// A demand for a part of limits, and the grant.
    pub limit: [f64; 2],
    /// A heartbeat.
    pub ping: f64,
    /// A claim of a key and its end.
    pub ledger: [f64; 2],
}

fn weigh(frame: &Frame) -> f64 {
    frame.encode().map_or(0.0, |bytes| bytes.len() as f64)
}

fn call(request: Request) -> f64 {
    weigh(&Frame::Call { number: 100_000, request })
}

fn reply(reply: Reply) -> f64 {
    weigh(&Frame::Reply { number: 100_000, reply })
}

fn room(models: usize) -> Frame {
    let name = |number| -> id::Model { format!("storm-{number}").parse().expect("a name") };
    let room: BTreeMap<id::Model, spill::Room> =
        (0..models).map(|number| (name(number), spill::Room::default())).collect();
    Frame::Reply { number: 100_000, reply: Reply::Room(room) }
}

fn limits() -> [f64; 2] {
    let entry = catalogue::entry(0);
    let demand = limit::Demand {
        entry: entry.name.clone(),
        vm: "region-0-vm-001".parse().expect("a name"),
        seq: 1_000,
        taken: 999,
        wanted: entry.limits,
        held: entry.limits,
        running: 3,
    };
    let grant = limit::Grant { entry: entry.name, seq: 1_000, share: entry.limits };
    [weigh(&Frame::Cast(Cast::Demand(demand))), weigh(&Frame::Cast(Cast::Grant(grant)))]
}

/// Measures all of it.
pub fn costs() -> Costs {
    let version = Version::new(100_000);
    let frames: Vec<Frame> = MODELS.into_iter().map(room).collect();
    let by_models = MODELS.into_iter().zip(&frames);
    let sizes = by_models
        .map(|(models, frame)| Point { size: models as f64, cost: weigh(frame) })
        .collect();
    let time = |frame: &Frame| {
        let cost = meter::nanos(|| frame.encode().map(|bytes| Frame::decode(&bytes)));
        Point { size: weigh(frame), cost }
    };
    let times = frames.iter().map(time).collect();
    let start = ledger::start(1);
    let finish = ledger::finish(&start);
    Costs {
        codec: Measure {
            what: "a frame encoded and decoded",
            unit: "ns",
            size: "bytes",
            code: "wire::Frame",
            slope: Slope::through(times),
        },
        room: Measure {
            what: "room told to the speaker",
            unit: "bytes",
            size: "models",
            code: "wire::Reply::Room",
            slope: Slope::through(sizes),
        },
        in_force: [call(Request::InForce), reply(Reply::InForce { version, takes_requests: true })],
        watch: [call(Request::Watch { have: version }), reply(Reply::Delta(None))],
        ask_room: call(Request::Room),
        limit: limits(),
        ping: weigh(&Frame::Ping),
        ledger: [call(Request::Ledger(Command::Start(start))), call(Request::Ledger(finish))],
    }
}

impl Costs {
    /// All, in the order of the page.
    pub fn all(&self) -> [&Measure; 2] {
        [&self.codec, &self.room]
    }

    /// Nanoseconds to handle one frame of so many bytes, half of encoding and decoding.
    pub fn nanos(&self, bytes: f64) -> f64 {
        self.codec.slope.at(bytes) / 2.0
    }
}
