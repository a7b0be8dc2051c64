//! What a ledger costs, by its keys.

use super::Measure;
use super::Point;
use super::Slope;
use super::meter;
use crate::id;
use crate::ledger::Command;
use crate::ledger::Digest;
use crate::ledger::Finish;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::ledger::Start;
use crate::ledger::Step;
use crate::unit::Incarnation;
use crate::unit::Version;

const SIZES: [u64; 3] = [50_000, 100_000, 200_000];

/// The costs of a ledger.
pub struct Costs {
    /// Bytes of the snapshot.
    pub snapshot: Measure,
    /// Bytes of memory.
    pub memory: Measure,
    /// Nanoseconds for one key: started and finished.
    pub command: Measure,
}

/// The claim of a key.
pub fn start(key: u64) -> Start {
    Start {
        owner: format!("organisation-{}", key % 8_900).parse().expect("a name"),
        entry: format!("organisation-{}-drafts", key % 8_900).parse().expect("a name"),
        key: format!("mandate-2026-12-{key:012}").parse().expect("a key"),
        body: Digest::new((u128::from(key) + 1).to_be_bytes()),
        attempt: id::Attempt::new(u128::from(key)),
        vm: "region-0-vm-001".parse().expect("a name"),
        incarnation: Incarnation::new(1),
        home_since: Version::new(1),
    }
}

/// The end of it.
pub fn finish(start: &Start) -> Command {
    let (owner, key) = (start.owner.clone(), start.key.clone());
    let step = Step { owner, key, attempt: start.attempt };
    Command::Finish(Finish { step, outcome: Outcome::Whole, answer: None })
}

fn run(ledger: &mut Ledger, key: u64) {
    let start = start(key);
    let finish = finish(&start);
    ledger.apply(&Command::Start(start));
    ledger.apply(&finish);
}

fn row(keys: u64) -> [f64; 3] {
    let fill = || {
        let mut ledger = Ledger::default();
        (0..keys).for_each(|key| run(&mut ledger, key));
        ledger
    };
    let memory = meter::memory(fill);
    let mut ledger = fill();
    let snapshot = meter::size(&ledger) as f64;
    let mut next = keys;
    let command = meter::nanos(|| {
        next += 1;
        run(&mut ledger, next);
    });
    [snapshot, memory, command]
}

/// Measures all of it.
pub fn costs() -> Costs {
    let rows: Vec<[f64; 3]> = SIZES.into_iter().map(row).collect();
    let measure = |what, unit, column: usize| {
        let point = |(size, row): (u64, &[f64; 3])| Point { size: size as f64, cost: row[column] };
        let slope = Slope::through(SIZES.into_iter().zip(&rows).map(point).collect());
        Measure { what, unit, size: "keys", code: "ledger::Ledger", slope }
    };
    Costs {
        snapshot: measure("ledger, snapshot", "bytes", 0),
        memory: measure("ledger, memory", "bytes", 1),
        command: measure("a key started and finished, applied", "ns", 2),
    }
}

impl Costs {
    /// All, in the order of the page.
    pub fn all(&self) -> [&Measure; 3] {
        [&self.snapshot, &self.memory, &self.command]
    }
}
