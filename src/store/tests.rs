pub(crate) mod faulty;
mod fuzz;
mod golden;
mod script;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

use self::faulty::Fault;
use self::faulty::Faulty;
use self::faulty::Loss;
use self::script::Act;
use self::script::Script;
use super::Damage;
use super::Disk;
use super::Error;
use super::Folder;
use super::Memory;
use super::Opened;
use crate::consensus::Members;
use crate::consensus::Position;
use crate::consensus::Snapshot;
use crate::id;

/// All that a store does, with several segments and two snapshots.
const ACTS: [Act; 14] = [
    Act::Vote,
    Act::Append { count: 4, overruled: 0 },
    Act::Append { count: 3, overruled: 2 },
    Act::Append { count: 9, overruled: 0 },
    Act::Snapshot { kept: 2 },
    Act::Append { count: 2, overruled: 0 },
    Act::Vote,
    Act::Install { ahead: 5 },
    Act::Append { count: 6, overruled: 0 },
    Act::Append { count: 6, overruled: 3 },
    Act::Snapshot { kept: 0 },
    Act::Append { count: 8, overruled: 0 },
    Act::Install { ahead: -2 },
    Act::Append { count: 2, overruled: 0 },
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
fn keeps_what_it_acknowledged_at_each_call(fault: Fault, loss: Option<Loss>) {
    // The process dies, or the disk fails, at one write, sync, rename or removal, each in turn, the first start
    // included. After the restart the store has all that it acknowledged, and the interrupted act whole or not at
    // all; then it works on, through a power loss at the end.
    let mut script = Script::new(0);
    script.open().expect("a good disk");
    ACTS.iter().for_each(|act| script.act(*act).expect("a good disk"));
    let calls = script.disk.calls();
    for call in 0..calls {
        let mut script = Script::new(call);
        script.disk.arm(call, fault);
        run(&mut script, loss);
        script.disk.lose_power(Loss::All, &mut script.rng.clone());
        script.open().expect("nothing unsynced was needed");
    }
}

/// Runs all acts, and starts the store again whenever it fails.
fn run(script: &mut Script, loss: Option<Loss>) {
    reopen(script, loss);
    for act in ACTS {
        if script.act(act).is_err() {
            recover(script, loss);
        }
    }
}

fn reopen(script: &mut Script, loss: Option<Loss>) {
    if script.open().is_err() {
        recover(script, loss);
    }
}

fn recover(script: &mut Script, loss: Option<Loss>) {
    match loss {
        Some(loss) => script.disk.lose_power(loss, &mut script.rng.clone()),
        None => script.disk.restart(),
    }
    script.open().expect("a good disk from now on");
}

#[test]
fn failed_sync_is_not_taken_back_by_a_restart() {
    // A sync fails and the kernel drops the pages. The process restarts, reads the log from the page cache and
    // counts on it; then the power fails. Unless the start has written the log anew, an entry that the replica
    // counts as synced is gone.
    let mut script = Script::new(1);
    script.open().expect("a good disk");
    script.act(ACTS[1]).expect("a good disk");
    script.disk.arm(1, Fault::Sync);
    script.act(ACTS[3]).expect_err("the sync fails");
    script.disk.restart();
    script.open().expect("a good disk");
    let counted = script.acknowledged.entries.len();
    script.disk.lose_power(Loss::All, &mut script.rng.clone());
    script.open().expect("a good disk");
    assert_eq!(script.acknowledged.entries.len(), counted);
}

#[test]
fn log_goes_on_after_a_snapshot_that_it_was_not_told_of() {
    // A leader's snapshot is stored, and the replica is killed before its log is reset. The log ends before the
    // snapshot; entries appended after the restart left a hole in it, and the next start refused the folder.
    let mut script = Script::new(8);
    script.open().expect("a good disk");
    script.act(Act::Install { ahead: 4 }).expect("a good disk");
    script.disk.arm(4, Fault::Crash);
    script.act(Act::Install { ahead: 1 }).expect_err("killed between snapshot and reset");
    script.disk.restart();
    script.open().expect("a good disk");
    script.act(Act::Append { count: 1, overruled: 0 }).expect("a good disk");
    script.open().expect("no hole");
}

#[test]
fn log_without_its_first_segments_begins_anywhere() {
    // The first segment is removed after a snapshot, and the second began before there was any. Taken for the
    // start of the whole log, its first entry seemed to lack those before it, and the start was refused.
    let mut script = Script::new(9);
    script.open().expect("a good disk");
    for _ in 0..3 {
        script.act(Act::Append { count: 8, overruled: 0 }).expect("a good disk");
    }
    script.act(Act::Snapshot { kept: 0 }).expect("a good disk");
    let names = script.disk.names().expect("a good disk");
    assert!(!names.contains(&"log-0000000000000001".to_string()), "{names:?}");
    script.open().expect("no gap");
}

#[test]
fn never_guesses_over_a_changed_byte() {
    // A failing disk changes one byte, each in turn. Either the start is refused with the file's name, or the very
    // last frame of the log is taken for torn, and nothing before it is touched.
    let mut script = Script::new(2);
    script.open().expect("a good disk");
    ACTS.iter().for_each(|act| script.act(*act).expect("a good disk"));
    let mut opened = script.opened.take().expect("open");
    opened.log = opened.log.with_segment_bytes(usize::MAX);
    script.opened = Some(opened);
    script.act(Act::Append { count: 3, overruled: 0 }).expect("a good disk");
    script.act(Act::Append { count: 3, overruled: 0 }).expect("a good disk");
    let files: BTreeMap<String, Vec<u8>> = contents(&script.disk);
    let whole = script.acknowledged.entries.len();
    let last = files.keys().rfind(|name| name.starts_with("log-")).expect("a log");
    for (name, bytes) in &files {
        let found = (0..bytes.len()).filter_map(|at| open_changed(&script.disk, name, at));
        for entries in found {
            assert_eq!((name, entries), (last, whole - 3), "{name} was read though it was changed");
        }
    }
}

/// How many entries a store with one byte changed gives back, if it opens.
fn open_changed(disk: &Faulty, name: &str, at: usize) -> Option<usize> {
    let copy = copied(disk);
    copy.flip(name, at);
    match Opened::new(copy, &mut SmallRng::seed_from_u64(3)) {
        Ok(opened) => Some(opened.restored.log.len()),
        Err(Error::Corrupt { name: told, .. }) => {
            assert!(told == name || told == "log", "{told} is blamed for {name}");
            None
        }
        Err(other) => panic!("{other}"),
    }
}

fn contents(disk: &Faulty) -> BTreeMap<String, Vec<u8>> {
    let names = disk.names().expect("a good disk").into_iter();
    names.map(|name| (name.clone(), disk.read(&name).expect("a file"))).collect()
}

fn copied(disk: &Faulty) -> Faulty {
    let mut copy = Faulty::default();
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
fn refuses_a_folder_that_lacks_a_file(prefix: &str, kept: u64) {
    // Somebody cleans up and removes a file. A replica that went on without it would vote twice in a term, or
    // forget what it acknowledged.
    let mut script = Script::new(4);
    script.open().expect("a good disk");
    let acts = ACTS.iter().filter(|act| matches!(act, Act::Append { .. } | Act::Vote));
    acts.for_each(|act| script.act(*act).expect("a good disk"));
    script.act(Act::Snapshot { kept }).expect("a good disk");
    let names = script.disk.names().expect("a good disk");
    let name = names.iter().find(|name| name.starts_with(prefix)).expect("a file");
    script.disk.remove(name).expect("a good disk");
    let error =
        Opened::new(script.disk.clone(), &mut script.rng).map(drop).expect_err("a file is missing");
    assert!(matches!(error, Error::Corrupt { .. }), "{error}");
}

#[test]
fn folder_is_held_by_one_process() {
    let folder = tempfile::tempdir().expect("a folder");
    let held = Folder::open(folder.path()).expect("a free folder");
    assert!(matches!(Folder::open(folder.path()), Err(Error::Locked { .. })));
    drop(held);
    Folder::open(folder.path()).expect("free again");
}

#[test]
fn folder_keeps_its_identity_and_members() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut rng = SmallRng::seed_from_u64(5);
    let members = Members::new([id::Replica::new(1)]);
    let first = {
        let mut opened =
            Opened::new(Folder::open(folder.path()).expect("free"), &mut rng).expect("new");
        assert!(opened.is_pristine());
        opened.bootstrap(members.clone()).expect("writes");
        opened.id
    };
    let opened = Opened::new(Folder::open(folder.path()).expect("free"), &mut rng).expect("old");
    assert_eq!((opened.id, &opened.restored.snapshot.members), (first, &members));
    let other = Opened::new(Memory::default(), &mut rng).expect("new");
    assert_ne!(other.id, first);
}

#[test]
fn later_snapshot_is_kept_whichever_is_saved_last() {
    // The own snapshot is being written while a leader's later one arrives. If the older one were to replace it,
    // the log, which rests on the later one, couldn't be read any more.
    let mut script = Script::new(10);
    script.open().expect("a good disk");
    script.act(Act::Install { ahead: 9 }).expect("a good disk");
    let late = script.acknowledged.snapshot.clone();
    let opened = script.opened.as_mut().expect("open");
    let early = Snapshot { position: Position::default(), ..late.clone() };
    opened.snapshots.save(&early, b"older").expect("a good disk");
    assert_eq!(opened.snapshots.last(), Some(&late));
    script.open().expect("reads the later one");
}

#[test]
fn unknown_format_is_named() {
    // A newer version wrote the folder, and an older one is started on it by mistake.
    let mut script = Script::new(6);
    script.open().expect("a good disk");
    script.disk.flip("log-0000000000000001", 3);
    let error =
        Opened::new(script.disk.clone(), &mut script.rng).map(drop).expect_err("another format");
    assert!(matches!(error, Error::Corrupt { damage: Damage::Format(_), .. }), "{error}");
}
