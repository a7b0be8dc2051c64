//! Which VM holds which replica: replicas are named by their data folders, links by VMs.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::warn;
use tokio::sync::watch;
use tokio::time;

use crate::id;
use crate::store::Cache;
use crate::store::cache::ROUTES_FILE;
use crate::sync::Mutex;

/// Identities kept of each VM: one for each group that it holds a replica of, and some of disks that it lost.
const IDENTITIES: usize = 64;
/// Delay before the routes are saved, since those of a group that forms are learned one after the other.
const SAVE_DELAY: Duration = Duration::from_millis(200);

/// The identities of replicas and their VMs, those last confirmed at the end.
pub type Known = Vec<(id::Replica, id::Vm)>;

/// The VMs of replicas, as they tell themselves.
///
/// They are saved, since nobody can tell the VM of a lost disk's identity once all processes have restarted.
#[derive(Debug)]
pub struct Routes {
    known: Mutex<Known>,
    /// Counts the identities learned.
    learned: watch::Sender<u64>,
    cache: Cache<Known>,
}

impl Routes {
    /// Loads the routes that were saved in a folder.
    pub fn new(folder: &Path, log: &Logger) -> Self {
        let cache = Cache::new(folder, ROUTES_FILE);
        let known = Mutex::new(cache.load(log).unwrap_or_default());
        Self { known, learned: watch::Sender::default(), cache }
    }

    /// Notes where a replica is, as a message tells that may be late.
    pub fn learn(&self, replica: id::Replica, vm: &id::Vm) {
        let mut known = self.known.lock();
        if known.iter().any(|(id, of)| *id == replica && of == vm) {
            return;
        }
        known.retain(|(id, _)| *id != replica);
        known.push((replica, vm.clone()));
        if known.iter().filter(|(_, of)| of == vm).count() > IDENTITIES
            && let Some(oldest) = known.iter().position(|(_, of)| of == vm)
        {
            known.remove(oldest);
        }
        drop(known);
        self.learned.send_modify(|count| *count += 1);
    }

    /// Notes the replica that a VM names as its own now, which may be one whose disk has come back.
    pub fn confirm(&self, replica: id::Replica, vm: &id::Vm) {
        self.learn(replica, vm);
        let mut known = self.known.lock();
        if let Some(place) = known.iter().position(|(id, _)| *id == replica) {
            let confirmed = known.remove(place);
            known.push(confirmed);
        }
    }

    /// The name of a replica for the log: that of its VM, or its identity while its VM is unknown.
    pub fn name(&self, replica: id::Replica) -> String {
        self.vm(replica).map_or_else(|| replica.to_string(), |vm| vm.to_string())
    }

    /// Where a replica is, or was until its disk was lost.
    pub fn vm(&self, replica: id::Replica) -> Option<id::Vm> {
        self.known.lock().iter().find(|(id, _)| *id == replica).map(|(_, vm)| vm.clone())
    }

    /// Whether a replica is the last one that its VM named; one before is lost with its disk.
    pub fn is_current(&self, replica: id::Replica) -> bool {
        let known = self.known.lock();
        let Some((_, vm)) = known.iter().find(|(id, _)| *id == replica) else { return false };
        known.iter().rfind(|(_, of)| of == vm).is_some_and(|(id, _)| *id == replica)
    }

    /// Saves the routes after each change, until shutdown.
    pub async fn keep_saved(self: Arc<Self>, log: Logger, mut stop: watch::Receiver<bool>) {
        let mut learned = self.learned.subscribe();
        learned.mark_changed();
        loop {
            tokio::select! {
                changed = learned.changed() => if changed.is_err() { return },
                _ = stop.wait_for(|stop| *stop) => return,
            }
            time::sleep(SAVE_DELAY).await;
            learned.mark_unchanged();
            let (known, cache) = (self.known.lock().clone(), self.cache.clone());
            let save_log = log.clone();
            let saved = tokio::task::spawn_blocking(move || cache.save(&known, &save_log));
            if let Err(error) = saved.await {
                warn!(log, "copy.not_written"; "file" => ROUTES_FILE, "why" => %error);
            }
        }
    }
}

#[cfg(test)]
mod tests;
