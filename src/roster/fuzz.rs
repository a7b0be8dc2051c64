//! A follower's copy against the table that it follows, with lost replies, repeated polls, restarts and changes of level.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::Announcement;
use super::Delta;
use super::Heartbeat;
use super::Interest;
use super::MergedTable;
use super::Observed;
use super::Presence;
use super::Scope;
use super::Stamp;
use super::Standing;
use super::Table;
use super::fixture;
use super::merged::Cursor;
use super::slice::Position;
use super::table::Timeouts;
use crate::fuzz;
use crate::id;
use crate::unit::Slots;
use crate::wire::Role;

const TIMEOUTS: Timeouts =
    Timeouts { upstream: Duration::from_secs(5), vm: Duration::from_secs(5) };
const UPSTREAMS: usize = 700;
const VMS: usize = 300;

/// An operation on the table or the follower. Ranges are of upstreams or VMs by number.
#[derive(Debug, Clone)]
enum Op {
    Announce(usize, usize, Standing),
    Leave(usize, usize),
    Present(usize, usize),
    Renew,
    Advance(u64),
    Poll { is_lost: bool },
    Restart,
}

fn op() -> impl Strategy<Value = Op> {
    let standing = prop_oneof![Just(Standing::Ready), Just(Standing::Draining)];
    prop_oneof![
        4 => (0..UPSTREAMS, 1..400usize, standing).prop_map(|(from, len, is)| Op::Announce(from, len, is)),
        2 => (0..UPSTREAMS, 1..400usize).prop_map(|(from, len)| Op::Leave(from, len)),
        2 => (0..VMS, 1..200usize).prop_map(|(from, len)| Op::Present(from, len)),
        3 => Just(Op::Renew),
        3 => (0..8000u64).prop_map(Op::Advance),
        8 => any::<bool>().prop_map(|is_lost| Op::Poll { is_lost }),
        1 => Just(Op::Restart),
    ]
}

struct World {
    table: Table,
    epoch: u64,
    merged: MergedTable,
    control: id::Vm,
    interest: Interest,
    now: Instant,
    sequence: u64,
    /// The start of each upstream; one that has left comes back with a later one.
    starts: Vec<u64>,
}

fn regions() -> Vec<(id::DataCentre, id::Region)> {
    let region = |centre: &str, region: &str| (centre.parse().unwrap(), region.parse().unwrap());
    vec![region("a", "here"), region("b", "there")]
}

fn new_table() -> Table {
    Table::new(TIMEOUTS).with_regions(regions())
}

impl World {
    fn new() -> Self {
        let vm: id::Vm = "follower".parse().unwrap();
        let position = Position::of_vm(&vm);
        Self {
            table: new_table(),
            epoch: 1,
            merged: MergedTable::default().with_position(position, regions()),
            control: "control".parse().unwrap(),
            interest: Interest { position, region: None },
            now: Instant::now(),
            sequence: 0,
            starts: vec![1; UPSTREAMS],
        }
    }

    fn announcement(&mut self, nth: usize, standing: Standing) -> Announcement {
        self.sequence += 1;
        Announcement {
            id: format!("u{nth}").parse().unwrap(),
            stamp: Stamp::new(self.starts[nth], self.sequence),
            service: "s".to_owned(),
            address: ([127, 0, (nth / 256) as u8, (nth % 256) as u8], 1).into(),
            data_centre: if nth.is_multiple_of(3) { "b" } else { "a" }.parse().unwrap(),
            slots: Slots::new(8),
            standing,
            cold_left: Duration::ZERO,
            ends_in: None,
            models: Vec::new(),
        }
    }

    fn presence(&mut self, nth: usize) -> Presence {
        self.sequence += 1;
        let region = if nth.is_multiple_of(3) { "there" } else { "here" };
        let presence = fixture::entry_vm(&format!("v{nth}"), region, Stamp::new(1, self.sequence));
        Presence { ready: nth.is_multiple_of(2), ..presence }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Announce(from, len, standing) => {
                for nth in from..(from + len).min(UPSTREAMS) {
                    let record = self.announcement(nth, standing);
                    self.table.apply_announcement(record, self.now);
                }
            }
            Op::Leave(from, len) => {
                for nth in from..(from + len).min(UPSTREAMS) {
                    let id = format!("u{nth}").parse().unwrap();
                    self.table.mark_gone(&id, None, self.now);
                    self.starts[nth] += 1;
                }
            }
            Op::Present(from, len) => {
                for nth in from..(from + len).min(VMS) {
                    let record = self.presence(nth);
                    self.table.apply_presence(record, self.now);
                }
            }
            Op::Renew => self.renew(),
            Op::Advance(millis) => {
                self.now += Duration::from_millis(millis);
                self.table.expire(self.now);
                self.table.adapt();
            }
            Op::Poll { is_lost } => {
                self.poll(is_lost);
            }
            Op::Restart => {
                self.table = new_table();
                self.epoch += 1;
            }
        }
    }

    /// Renews every other upstream.
    fn renew(&mut self) {
        self.sequence += 1;
        let live: Vec<Heartbeat> = self
            .table
            .upstreams()
            .step_by(2)
            .map(|record| Heartbeat { digest: record.digest(), sequence: self.sequence })
            .collect();
        self.table.apply_heartbeats(&live, self.now);
    }

    /// Polls once; returns whether there was anything to receive.
    fn poll(&mut self, is_lost: bool) -> bool {
        let cursor = self.merged.prepare_request(&self.control, None);
        let is_current = cursor.epoch == self.epoch;
        let Cursor { revision, base, .. } =
            if is_current { cursor } else { Cursor { revision: 0, base: 0, ..cursor } };
        let Some(piece) = self.table.piece(&self.interest, revision, base, self.now) else {
            return false;
        };
        if !is_lost {
            let base = piece.base;
            let changes: (Delta, Option<Scope>) = piece.into_delta().unwrap();
            self.merged.apply_piece(&self.control, self.epoch, base, changes, self.now);
        }
        true
    }

    /// Compares the follower's copy with its slice of the table.
    fn check(&mut self) {
        // New members of a group that grew are sent within a second.
        for _ in 0..6 {
            self.table.adapt();
        }
        let mut polls = 0;
        while self.poll(false) {
            polls += 1;
            assert!(polls < 100, "the follower never catches up");
        }
        let whole = self.table.delta(0, self.now).unwrap_or_default();
        let held: HashMap<&id::Upstream, (Standing, bool)> = self
            .merged
            .upstreams()
            .map(|upstream| (&upstream.record.id, (upstream.record.standing, upstream.silent)))
            .collect();
        for Observed { record, silent } in &whole.upstreams {
            let region = if record.data_centre.as_str() == "a" { "here" } else { "there" };
            let level = self.merged.upstream_level(&region.parse().unwrap(), "s");
            let is_own = level.joins(self.interest.position, Position::of_upstream(&record.id));
            let expected =
                (is_own && record.standing != Standing::Gone).then_some((record.standing, *silent));
            let found = held.get(&record.id).copied();
            assert_eq!(found, expected, "upstream {}", record.id);
        }
        for Observed { record, silent } in &whole.vms {
            let level = self.merged.vm_level(&record.region);
            let is_own = level.joins(self.interest.position, Position::of_vm(&record.vm));
            let found = self.merged.vms(Role::Entry).find(|vm| vm.vm == record.vm);
            let expected = (is_own && !silent).then_some(record.ready);
            assert_eq!(found.map(|vm| vm.ready), expected, "VM {}", record.vm);
        }
    }
}

proptest! {
    #![proptest_config(fuzz::config(120))]

    // Guards against a follower that misses a change, keeps what left its slice, or never catches up.
    #[test]
    fn follower_holds_its_slice_of_the_table(ops in prop::collection::vec(op(), 1..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let mut world = World::new();
            for op in &ops {
                world.apply(op);
            }
            world.check();
        });
    }
}
