//! What membership costs a VM, by the size of its region.

use std::time::Duration;

use super::Measure;
use super::Point;
use super::Slope;
use super::meter;
use super::network::Network;

/// Sizes of the region, the largest that of the target.
const SIZES: [usize; 4] = [25, 50, 100, 200];
const CODE: &str = "membership::Member";
const QUIET: Duration = Duration::from_secs(20);
const SETTLE: Duration = Duration::from_secs(4);
/// Changed upstreams that one measurement is spread over.
const CHANGED: usize = 60;

/// The costs of membership.
pub struct Costs {
    /// Bytes a second that a VM sends while nothing changes.
    pub quiet: Measure,
    /// Messages a second of it.
    pub quiet_messages: Measure,
    /// Nanoseconds a second of it.
    pub quiet_nanos: Measure,
    /// Bytes that a VM sends for one change of the catalogue.
    pub change: Measure,
    /// Nanoseconds of it.
    pub change_nanos: Measure,
    /// Bytes that a VM sends for one change of an upstream.
    pub announce: Measure,
    /// Nanoseconds of it.
    pub announce_nanos: Measure,
    /// Bytes of memory, by facts.
    pub memory: Measure,
    /// Bytes that a restarted VM receives until it has everything, by facts.
    pub restart: Measure,
}

/// One size.
struct Row {
    costs: [f64; 7],
    facts: f64,
    memory: f64,
    restart: f64,
    /// Kept to the end, so that the next size doesn't use its memory again unseen.
    _network: Network,
}

fn row(vms: usize) -> Row {
    let upstreams = vms * 12 / 5;
    let (mut network, memory) = meter::grown(|| Network::new(vms, upstreams));
    let each = vms as f64;
    // The processor time is that of the speakers of other regions as well.
    let all = each + 12.0;
    let quiet = network.run(QUIET);
    let seconds = QUIET.as_secs_f64();
    let rest = network.run(SETTLE);
    network.change_catalogue(2);
    let change = network.run(SETTLE);
    (0..CHANGED).for_each(|upstream| network.announce(upstream));
    let announce = network.run(SETTLE);
    let facts = network.facts() as f64;
    network.restart_last();
    let restart = network.run(SETTLE);
    let extra = |used: u64, rest: u64| used.saturating_sub(rest) as f64;
    let costs = [
        quiet.bytes as f64 / each / seconds,
        quiet.nanos as f64 / all / seconds,
        extra(change.bytes, rest.bytes) / each,
        extra(change.nanos, rest.nanos) / all,
        extra(announce.bytes, rest.bytes) / each / CHANGED as f64,
        extra(announce.nanos, rest.nanos) / all / CHANGED as f64,
        quiet.messages as f64 / each / seconds,
    ];
    let restart = restart.received as f64;
    Row { costs, facts, memory: memory / all, restart, _network: network }
}

/// Measures all of it.
pub fn costs() -> Costs {
    let rows: Vec<Row> = SIZES.into_iter().map(row).collect();
    let by_vms = |what, unit, column: usize| {
        let point = |(vms, row): (usize, &Row)| Point { size: vms as f64, cost: row.costs[column] };
        let slope = Slope::through(SIZES.into_iter().zip(&rows).map(point).collect());
        Measure { what, unit, size: "VMs of the region", code: CODE, slope }
    };
    let by_facts = |what, cost: fn(&Row) -> f64| {
        let point = |row: &Row| Point { size: row.facts, cost: cost(row) };
        let slope = Slope::through(rows.iter().map(point).collect());
        Measure { what, unit: "bytes", size: "facts of the region", code: CODE, slope }
    };
    Costs {
        quiet: by_vms("membership, no changes, sent", "bytes/s", 0),
        quiet_nanos: by_vms("membership, no changes", "ns/s", 1),
        quiet_messages: by_vms("membership, no changes, sent", "1/s", 6),
        change: by_vms("news that all VMs have a new catalogue, sent", "bytes", 2),
        change_nanos: by_vms("news that all VMs have a new catalogue", "ns", 3),
        announce: by_vms("news of one upstream, sent", "bytes", 4),
        announce_nanos: by_vms("news of one upstream", "ns", 5),
        memory: by_facts("membership, memory of a VM", |row| row.memory),
        restart: by_facts("received by a restarted VM within 4 s", |row| row.restart),
    }
}

impl Costs {
    /// All, in the order of the page.
    pub fn all(&self) -> [&Measure; 9] {
        [
            &self.quiet,
            &self.quiet_messages,
            &self.quiet_nanos,
            &self.change,
            &self.change_nanos,
            &self.announce,
            &self.announce_nanos,
            &self.memory,
            &self.restart,
        ]
    }
}
