//! Passing on to the other control VMs what this one has heard itself.
//!
//! News goes out at once and is repeated for a second, since a message is lost where a link has just broken; what merely
//! proves that somebody is still there goes out in batches.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

use super::Service;
use crate::id;
use crate::roster::Announcement;
use crate::roster::Heartbeat;
use crate::roster::Presence;
use crate::wire::Cast;
use crate::wire::Peer;
use crate::wire::Role;
use crate::wire::message::Heard;

/// What merely proves that somebody is there waits so long for more of its kind. Silence is told apart from seconds on.
const BATCH: Duration = Duration::from_millis(250);
/// News is repeated with so many batches.
const REPEATS: u8 = 4;

/// What waits to be passed on.
#[derive(Debug, Default)]
pub struct Queue {
    upstreams: Mutex<HashMap<id::Upstream, (Announcement, u8)>>,
    vms: Mutex<HashMap<(id::Vm, Role), (Presence, u8)>>,
    /// Digests and sequences of statements that are merely renewed.
    alive: Mutex<HashMap<u64, u64>>,
    news: Notify,
}

impl Queue {
    /// An upstream said something new.
    pub fn announced(&self, said: Announcement) {
        let mut waiting = self.upstreams.lock().expect("no panic while locked");
        waiting.insert(said.id.clone(), (said, REPEATS));
        drop(waiting);
        self.news.notify_one();
    }

    /// A VM said something new.
    pub fn met(&self, said: Presence) {
        let mut waiting = self.vms.lock().expect("no panic while locked");
        waiting.insert((said.vm.clone(), said.role), (said, REPEATS));
        drop(waiting);
        self.news.notify_one();
    }

    /// An upstream said that it is as it was.
    pub fn upstream_still_there(&self, said: Announcement) {
        let mut waiting = self.upstreams.lock().expect("no panic while locked");
        match waiting.get_mut(&said.id) {
            Some((last, _)) => *last = said,
            // Spans of time are no part of what a short word stands for.
            None if said.is_settled() => self.still_there(said.digest(), said.stamp.sequence),
            None => {
                waiting.insert(said.id.clone(), (said, 0));
            }
        }
    }

    /// A VM said that it is as it was.
    pub fn vm_still_there(&self, said: Presence) {
        let mut waiting = self.vms.lock().expect("no panic while locked");
        let key = (said.vm.clone(), said.role);
        match waiting.get_mut(&key) {
            Some((last, _)) => *last = said,
            // Others learn from what a control VM says where it takes links.
            None if said.role == Role::Entry => {
                self.still_there(said.digest(), said.stamp.sequence);
            }
            None => {
                waiting.insert(key, (said, 0));
            }
        }
    }

    fn still_there(&self, digest: u64, sequence: u64) {
        let mut waiting = self.alive.lock().expect("no panic while locked");
        let last = waiting.entry(digest).or_default();
        *last = sequence.max(*last);
    }

    /// What goes out now; what is to be repeated stays.
    fn take(&self) -> Heard {
        let upstreams = drain(&mut self.upstreams.lock().expect("no panic while locked"));
        let vms = drain(&mut self.vms.lock().expect("no panic while locked"));
        let alive = std::mem::take(&mut *self.alive.lock().expect("no panic while locked"));
        let alive = alive.into_iter().map(Heartbeat::from).collect();
        Heard { upstreams, vms, alive, wanted: Vec::new() }
    }
}

fn drain<K: Eq + std::hash::Hash, T: Clone>(waiting: &mut HashMap<K, (T, u8)>) -> Vec<T> {
    let out = waiting.values().map(|(said, _)| said.clone()).collect();
    waiting.retain(|_, (_, repeats)| {
        *repeats = repeats.saturating_sub(1);
        *repeats > 0
    });
    out
}

/// Passes on until told to stop.
pub async fn run(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    let mut batches = time::interval(BATCH);
    batches.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = batches.tick() => (),
            () = service.flood().news.notified() => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        let heard = service.flood().take();
        if heard.is_empty() {
            continue;
        }
        let Some(mesh) = service.mesh() else { continue };
        for vm in service.control_vms() {
            if vm != service.vm() {
                let peer = Peer::new(vm, Role::Control);
                mesh.cast(&peer, Cast::Heard(Box::new(heard.clone())));
            }
        }
    }
}
