//! What a catalogue costs, by its entries.

use std::time::Duration;

use super::Measure;
use super::Point;
use super::Slope;
use super::meter;
use crate::catalogue::Catalogue;
use crate::catalogue::Change;
use crate::catalogue::Class;
use crate::catalogue::Command;
use crate::catalogue::Delta;
use crate::catalogue::Edit;
use crate::catalogue::Entry;
use crate::catalogue::Home;
use crate::catalogue::Kind;
use crate::catalogue::Limits;
use crate::catalogue::Preference;
use crate::catalogue::Repeat;
use crate::catalogue::TokenDigest;
use crate::catalogue::View;
use crate::id;
use crate::unit::Rate;
use crate::unit::Version;

const SIZES: [usize; 3] = [1_000, 4_000, 8_900];

/// The costs of the catalogue.
pub struct Costs {
    /// Bytes of the whole.
    pub whole: Measure,
    /// Nanoseconds to encode it.
    pub encode: Measure,
    /// Nanoseconds to decode it and take it in.
    pub apply: Measure,
    /// Bytes of memory of a view.
    pub memory: Measure,
    /// Nanoseconds to work out what a subscriber lacks that is one change behind.
    pub delta: Measure,
    /// Bytes of that.
    pub delta_bytes: Measure,
    /// Nanoseconds to take it in.
    pub delta_apply: Measure,
}

/// An entry such as an operator writes.
pub fn entry(number: usize) -> Entry {
    let name: id::Model = "storm-70b".parse().expect("a name");
    let models = vec![name, "storm-8b".parse().expect("a name")];
    let home: id::Region = "region-1".parse().expect("a name");
    Entry {
        name: format!("organisation-{number}-drafts").parse().expect("a name"),
        owner: format!("organisation-{number}").parse().expect("a name"),
        class: Class::Short,
        kind: Kind::Engine { models },
        home: Home::Bound(home),
        limits: Limits {
            requests: Rate::per_second(12.5),
            tokens: Rate::per_second(4_000.0),
            concurrency: 40,
        },
        deadline: Duration::from_secs(30),
        repeat: Repeat::Never,
        prefers: Preference::Latency,
        weight: 1,
        tokens: vec![TokenDigest::new([number as u8; 32])],
    }
}

fn put(catalogue: &mut Catalogue, number: usize, replaces: Version) {
    let operation = id::Operation::new(number as u128 + u128::from(replaces.get()) * 100_000 + 1);
    let edit = Edit::Put(entry(number).into());
    catalogue.apply(&Command::Change(Change::new(operation, replaces, edit)));
}

fn decoded(bytes: &[u8]) -> Delta {
    ciborium::from_reader(bytes).expect("encoded just now")
}

fn taken(bytes: &[u8]) -> View {
    let mut view = View::default();
    view.apply(&decoded(bytes));
    view
}

fn row(entries: usize) -> [f64; 7] {
    let mut catalogue = Catalogue::default();
    (0..entries).for_each(|number| put(&mut catalogue, number, Version::ZERO));
    let before = catalogue.view().version();
    let whole = catalogue.view().delta(Version::ZERO).expect("not empty");
    let mut bytes = Vec::new();
    ciborium::into_writer(&whole, &mut bytes).expect("writes to memory");
    let memory = meter::memory(|| taken(&bytes));
    let mut view = taken(&bytes);
    let first = catalogue.view().record(&entry(0).name).map(|record| record.version);
    put(&mut catalogue, 0, first.unwrap_or_default());
    let delta = catalogue.view().delta(before).expect("one change");
    let mut bytes_of_one = Vec::new();
    ciborium::into_writer(&delta, &mut bytes_of_one).expect("writes to memory");
    view.apply(&decoded(&bytes_of_one));
    let encode = meter::quickest(5, || meter::size(&whole));
    let apply = meter::quickest(5, || taken(&bytes));
    let scan = meter::nanos(|| catalogue.view().delta(before));
    let take = meter::nanos(|| view.apply(&decoded(&bytes_of_one)));
    [bytes.len() as f64, encode, apply, memory, scan, bytes_of_one.len() as f64, take]
}

/// Measures all of it.
pub fn costs() -> Costs {
    let rows: Vec<[f64; 7]> = SIZES.into_iter().map(row).collect();
    let measure = |what, unit, code, column: usize| {
        let point =
            |(size, row): (usize, &[f64; 7])| Point { size: size as f64, cost: row[column] };
        let slope = Slope::through(SIZES.into_iter().zip(&rows).map(point).collect());
        Measure { what, unit, size: "entries", code, slope }
    };
    Costs {
        whole: measure("whole catalogue", "bytes", "catalogue::Delta", 0),
        encode: measure("whole catalogue, encoded", "ns", "catalogue::Delta", 1),
        apply: measure("whole catalogue, decoded and applied", "ns", "catalogue::View", 2),
        memory: measure("view, memory", "bytes", "catalogue::View", 3),
        delta: measure("delta of one change, worked out", "ns", "catalogue::View::delta", 4),
        delta_bytes: measure("delta of one change", "bytes", "catalogue::Delta", 5),
        delta_apply: measure(
            "delta of one change, decoded and offered",
            "ns",
            "catalogue::View",
            6,
        ),
    }
}

impl Costs {
    /// All, in the order of the page.
    pub fn all(&self) -> [&Measure; 7] {
        [
            &self.whole,
            &self.encode,
            &self.apply,
            &self.memory,
            &self.delta,
            &self.delta_bytes,
            &self.delta_apply,
        ]
    }
}
