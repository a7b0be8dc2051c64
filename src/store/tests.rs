pub(crate) mod faulty;
mod fuzz;
mod golden;
mod workload;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

use self::faulty::Fault;
use self::faulty::FaultyDisk;
use self::faulty::Loss;
use self::workload::Operation;
use self::workload::Workload;
use super::Corruption;
use super::Disk;
use super::Error;
use super::Folder;
use super::Memory;
use super::Storage;
use crate::consensus::Members;
use crate::consensus::Position;
use crate::consensus::Snapshot;
use crate::id;

/// A workload with several segments and two snapshots.
const OPERATIONS: [Operation; 14] = [
    Operation::Vote,
    Operation::Append { count: 4, replaced: 0 },
    Operation::Append { count: 3, replaced: 2 },
    Operation::Append { count: 9, replaced: 0 },
    Operation::Snapshot { kept: 2 },
    Operation::Append { count: 2, replaced: 0 },
    Operation::Vote,
    Operation::Install { ahead: 5 },
    Operation::Append { count: 6, replaced: 0 },
    Operation::Append { count: 6, replaced: 3 },
    Operation::Snapshot { kept: 0 },
    Operation::Append { count: 8, replaced: 0 },
    Operation::Install { ahead: -2 },
    Operation::Append { count: 2, replaced: 0 },
];

#[parameterized(
    crash_keeping_all = { Fault::Crash, Some(Loss::Nothing) },
    crash_losing_all = { Fault::Crash, Some(Loss::All) },
    crash_tearing = { Fault::Crash, Some(Loss::Tail) },
    crash_with_zeros = { Fault::Crash, Some(Loss::Zeros) },
    crash_with_garbage = { Fault::Crash, Some(Loss::Garbage) },
    kill = { Fault::Crash, None },
    full_disk = { Fault::Full, None },
    full_disk_then_power_loss = { Fault::Full, Some(Loss::All) },
    failed_sync = { Fault::Sync, None },
    failed_sync_then_power_loss = { Fault::Sync, Some(Loss::All) },
)]
fn keeps_acknowledged_state_after_a_fault_at_each_call(fault: Fault, loss: Option<Loss>) {
    // Guards against losing acknowledged state, or keeping half of an interrupted operation, when
    // the process dies or the disk fails at any one call.
    let mut workload = Workload::new(0);
    workload.open().expect("a good disk");
    OPERATIONS.iter().for_each(|operation| workload.run(*operation).expect("a good disk"));
    let calls = workload.disk.calls();
    for call in 0..calls {
        let mut workload = Workload::new(call);
        workload.disk.arm(call, fault);
        run(&mut workload, loss);
        workload.disk.lose_power(Loss::All, &mut workload.rng.clone());
        workload.open().expect("nothing unsynced was needed");
    }
}

/// Runs all operations, reopening the store after each failure.
fn run(workload: &mut Workload, loss: Option<Loss>) {
    reopen(workload, loss);
    for operation in OPERATIONS {
        if workload.run(operation).is_err() {
            recover(workload, loss);
        }
    }
}

fn reopen(workload: &mut Workload, loss: Option<Loss>) {
    if workload.open().is_err() {
        recover(workload, loss);
    }
}

fn recover(workload: &mut Workload, loss: Option<Loss>) {
    match loss {
        Some(loss) => workload.disk.lose_power(loss, &mut workload.rng.clone()),
        None => workload.disk.restart(),
    }
    workload.open().expect("a good disk from now on");
}

#[test]
fn failed_sync_is_not_taken_back_by_a_restart() {
    // Guards against counting entries read back from the page cache after a failed sync: a power
    // loss would drop them unless the start has rewritten the log.
    let mut workload = Workload::new(1);
    workload.open().expect("a good disk");
    workload.run(OPERATIONS[1]).expect("a good disk");
    workload.disk.arm(1, Fault::Sync);
    workload.run(OPERATIONS[3]).expect_err("the sync fails");
    workload.disk.restart();
    workload.open().expect("a good disk");
    let counted = workload.acknowledged.entries.len();
    workload.disk.lose_power(Loss::All, &mut workload.rng.clone());
    workload.open().expect("a good disk");
    assert_eq!(workload.acknowledged.entries.len(), counted);
}

#[test]
fn log_continues_after_a_snapshot_without_a_reset() {
    // Guards against a gap in the log after a kill between storing a leader's snapshot and
    // resetting the log.
    let mut workload = Workload::new(8);
    workload.open().expect("a good disk");
    workload.run(Operation::Install { ahead: 4 }).expect("a good disk");
    workload.disk.arm(4, Fault::Crash);
    workload.run(Operation::Install { ahead: 1 }).expect_err("killed between snapshot and reset");
    workload.disk.restart();
    workload.open().expect("a good disk");
    workload.run(Operation::Append { count: 1, replaced: 0 }).expect("a good disk");
    workload.open().expect("no gap");
}

#[test]
fn log_may_start_after_removed_segments() {
    // Guards against refusing a log whose first segment was removed and whose second was created
    // before the snapshot.
    let mut workload = Workload::new(9);
    workload.open().expect("a good disk");
    for _ in 0..3 {
        workload.run(Operation::Append { count: 8, replaced: 0 }).expect("a good disk");
    }
    workload.run(Operation::Snapshot { kept: 0 }).expect("a good disk");
    let names = workload.disk.names().expect("a good disk");
    assert!(!names.contains(&"log-0000000000000001".to_string()), "{names:?}");
    workload.open().expect("no gap");
}

#[test]
fn never_guesses_over_a_changed_byte() {
    // Guards against using corrupt data: after any one-byte change, opening fails and names the
    // file, or only the last frame of the log is discarded as torn.
    let mut workload = Workload::new(2);
    workload.open().expect("a good disk");
    OPERATIONS.iter().for_each(|operation| workload.run(*operation).expect("a good disk"));
    let mut opened = workload.opened.take().expect("open");
    opened.log = opened.log.with_segment_bytes(usize::MAX);
    workload.opened = Some(opened);
    workload.run(Operation::Append { count: 3, replaced: 0 }).expect("a good disk");
    workload.run(Operation::Append { count: 3, replaced: 0 }).expect("a good disk");
    let files: BTreeMap<String, Vec<u8>> = contents(&workload.disk);
    let whole = workload.acknowledged.entries.len();
    let last = files.keys().rfind(|name| name.starts_with("log-")).expect("a log");
    for (name, bytes) in &files {
        let found = (0..bytes.len()).filter_map(|at| open_changed(&workload.disk, name, at));
        for entries in found {
            assert_eq!((name, entries), (last, whole - 3), "{name} was read though it was changed");
        }
    }
}

/// The number of entries recovered after one byte was changed, if the store opens.
fn open_changed(disk: &FaultyDisk, name: &str, at: usize) -> Option<usize> {
    let copy = copied(disk);
    copy.flip(name, at);
    match Storage::new(copy, &mut SmallRng::seed_from_u64(3)) {
        Ok(opened) => Some(opened.restored.log.len()),
        Err(Error::Corrupt { name: reported, .. }) => {
            assert!(reported == name || reported == "log", "{reported} is reported for {name}");
            None
        }
        Err(other) => panic!("{other}"),
    }
}

fn contents(disk: &FaultyDisk) -> BTreeMap<String, Vec<u8>> {
    let names = disk.names().expect("a good disk").into_iter();
    names.map(|name| (name.clone(), disk.read(&name).expect("a file"))).collect()
}

fn copied(disk: &FaultyDisk) -> FaultyDisk {
    let mut copy = FaultyDisk::default();
    for (name, bytes) in contents(disk) {
        copy.append(&name, &bytes).expect("a good disk");
    }
    copy
}

#[parameterized(
    identity = { "identity", 100 },
    snapshot = { "snapshot-", 0 },
    segment = { "log-0000000000000002", 100 },
)]
fn refuses_a_folder_with_a_missing_file(prefix: &str, kept: u64) {
    // Guards against starting with a file missing, which could lead to voting twice in a term or
    // losing acknowledged state.
    let mut workload = Workload::new(4);
    workload.open().expect("a good disk");
    let operations = OPERATIONS
        .iter()
        .filter(|operation| matches!(operation, Operation::Append { .. } | Operation::Vote));
    operations.for_each(|operation| workload.run(*operation).expect("a good disk"));
    workload.run(Operation::Snapshot { kept }).expect("a good disk");
    let names = workload.disk.names().expect("a good disk");
    let name = names.iter().find(|name| name.starts_with(prefix)).expect("a file");
    workload.disk.remove(name).expect("a good disk");
    let error = Storage::new(workload.disk.clone(), &mut workload.rng)
        .map(drop)
        .expect_err("a file is missing");
    assert!(matches!(error, Error::Corrupt { .. }), "{error}");
}

#[test]
fn folder_is_locked_by_one_process() {
    let folder = tempfile::tempdir().expect("a folder");
    let locked = Folder::open(folder.path()).expect("a free folder");
    assert!(matches!(Folder::open(folder.path()), Err(Error::Locked { .. })));
    drop(locked);
    Folder::open(folder.path()).expect("free again");
}

#[test]
fn folder_keeps_its_identity_and_members() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut rng = SmallRng::seed_from_u64(5);
    let members = Members::new([id::Replica::new(1)]);
    let first = {
        let mut opened =
            Storage::new(Folder::open(folder.path()).expect("free"), &mut rng).expect("new");
        assert!(opened.is_empty());
        opened.bootstrap(members.clone()).expect("writes");
        opened.id
    };
    let opened = Storage::new(Folder::open(folder.path()).expect("free"), &mut rng).expect("old");
    assert_eq!((opened.id, &opened.restored.snapshot.members), (first, &members));
    let other = Storage::new(Memory::default(), &mut rng).expect("new");
    assert_ne!(other.id, first);
}

#[test]
fn later_snapshot_is_kept_in_either_save_order() {
    // Guards against an older local snapshot replacing a leader's later one, which the log depends
    // on.
    let mut workload = Workload::new(10);
    workload.open().expect("a good disk");
    workload.run(Operation::Install { ahead: 9 }).expect("a good disk");
    let late = workload.acknowledged.snapshot.clone();
    let opened = workload.opened.as_mut().expect("open");
    let early = Snapshot { position: Position::default(), ..late.clone() };
    opened.snapshots.save(&early, b"older").expect("a good disk");
    assert_eq!(opened.snapshots.last(), Some(&late));
    workload.open().expect("reads the later one");
}

#[test]
fn unknown_format_is_reported() {
    // Guards against misreading a folder written by a newer version.
    let mut workload = Workload::new(6);
    workload.open().expect("a good disk");
    workload.disk.flip("log-0000000000000001", 3);
    let error = Storage::new(workload.disk.clone(), &mut workload.rng)
        .map(drop)
        .expect_err("another format");
    assert!(matches!(error, Error::Corrupt { corruption: Corruption::Format(_), .. }), "{error}");
}
