//! A simulated disk with fault injection.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use rand::Rng;
use rand::rngs::SmallRng;

use super::super::Disk;

/// The fault injected at a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process dies: this call and all later ones fail, and a write is left incomplete.
    Crash,
    /// The disk is full: a write is left incomplete.
    Full,
    /// The sync fails, and the kernel drops the pages: reads see the bytes, the disk never gets them.
    Sync,
}

/// What a power loss does to unsynced bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// All of them are on the disk.
    Nothing,
    /// None of them is.
    All,
    /// Only the first half of them is.
    Tail,
    /// The file keeps its length and the second half of them is zeros.
    Zeros,
    /// The file keeps its length and the first half of them is garbage.
    Garbage,
}

#[derive(Debug, Clone, Default)]
struct File {
    bytes: Vec<u8>,
    /// The length of the durable bytes.
    synced: usize,
    /// The offset from which the kernel has dropped pages that no sync writes any more.
    dropped: Option<usize>,
}

#[derive(Debug, Clone, Copy)]
enum NameChange {
    Make(u64),
    Rename,
    Remove,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<u64, File>,
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    /// Unsynced changes of names: the change, the name and the new name.
    pending: Vec<(NameChange, String, String)>,
    next: u64,
    calls: u64,
    fault: Option<(u64, Fault)>,
    crashed: bool,
}

/// A simulated file system; clones share the same disk.
#[derive(Debug, Clone, Default)]
pub struct FaultyDisk(Arc<Mutex<State>>);

impl FaultyDisk {
    /// Injects a fault after that many calls.
    pub fn arm(&self, after: u64, fault: Fault) {
        let mut state = self.state();
        state.fault = Some((state.calls + after, fault));
    }

    /// The number of modifying calls so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Restarts the process without losing data.
    pub fn restart(&self) {
        let mut state = self.state();
        state.crashed = false;
        state.fault = None;
    }

    /// Simulates a power loss and restart. Name changes are kept in order, as in a journaling file
    /// system.
    pub fn lose_power(&self, loss: Loss, rng: &mut SmallRng) {
        self.restart();
        let mut state = self.state();
        let kept = match loss {
            Loss::Nothing => state.pending.len(),
            Loss::All => 0,
            _ => rng.random_range(0..=state.pending.len()),
        };
        let mut names = state.synced_names.clone();
        for (change, from, to) in state.pending.drain(..).take(kept) {
            apply(&mut names, change, &from, &to);
        }
        state.names = names.clone();
        state.synced_names = names;
        state.files.values_mut().for_each(|file| lose(file, loss));
    }

    /// Corrupts one byte.
    pub fn flip(&self, name: &str, at: usize) {
        let mut state = self.state();
        let number = state.names[name];
        state.files.get_mut(&number).expect("a file").bytes[at] ^= 0x41;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic while locked")
    }

    /// Counts a call and returns the fault to inject in it.
    fn count_call(state: &mut State) -> io::Result<Option<Fault>> {
        if state.crashed {
            return Err(io::Error::other("the process is gone"));
        }
        state.calls += 1;
        let due = state.fault.is_some_and(|(at, _)| state.calls > at);
        let fault = if due { state.fault.take().map(|(_, fault)| fault) } else { None };
        state.crashed = fault == Some(Fault::Crash);
        Ok(fault)
    }

    fn change_name(&self, change: NameChange, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        if Self::count_call(&mut state)?.is_some() {
            return Err(io::Error::other("fault"));
        }
        apply(&mut state.names, change, from, to);
        state.pending.push((change, from.to_string(), to.to_string()));
        Ok(())
    }
}

fn apply(names: &mut BTreeMap<String, u64>, change: NameChange, from: &str, to: &str) {
    match change {
        NameChange::Make(number) => drop(names.insert(from.to_string(), number)),
        NameChange::Remove => drop(names.remove(from)),
        NameChange::Rename => {
            let number = names.remove(from).expect("names change in order");
            names.insert(to.to_string(), number);
        }
    }
}

fn lose(file: &mut File, loss: Loss) {
    let length = file.bytes.len();
    let middle = file.synced + (length - file.synced) / 2;
    match loss {
        Loss::Nothing => {}
        Loss::All => file.bytes.truncate(file.synced),
        Loss::Tail => file.bytes.truncate(middle),
        Loss::Zeros => file.bytes[middle..].fill(0),
        Loss::Garbage => file.bytes[file.synced..middle].fill(0xa5),
    }
    if let Some(dropped) = file.dropped.take() {
        file.bytes.truncate(dropped);
    }
    file.synced = file.bytes.len();
}

impl Disk for FaultyDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        let file = state.names.get(name).and_then(|number| state.files.get(number));
        file.map(|file| file.bytes.clone()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let fault = Self::count_call(&mut state)?;
        let number = state.names.get(name).copied().unwrap_or(state.next);
        if number == state.next {
            state.next += 1;
            state.names.insert(name.to_string(), number);
            state.pending.push((NameChange::Make(number), name.to_string(), String::new()));
        }
        let written = if fault.is_some() { &bytes[..bytes.len() / 2] } else { bytes };
        state.files.entry(number).or_default().bytes.extend_from_slice(written);
        fault.map_or(Ok(()), |_| Err(io::ErrorKind::StorageFull.into()))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let fault = Self::count_call(&mut state)?;
        let number = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let file = state.files.entry(number).or_default();
        if fault.is_some() {
            if fault == Some(Fault::Sync) {
                file.dropped = file.dropped.or(Some(file.synced));
            }
            return Err(io::Error::other("fault"));
        }
        file.synced = file.bytes.len();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.change_name(NameChange::Rename, from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.change_name(NameChange::Remove, name, "")
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        if Self::count_call(&mut state)?.is_some() {
            return Err(io::Error::other("fault"));
        }
        state.pending.clear();
        state.synced_names = state.names.clone();
        Ok(())
    }
}
