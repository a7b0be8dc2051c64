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
    news: Notify,
}

impl Queue {
    /// An upstream said something.
    pub fn announced(&self, said: Announcement, is_news: bool) {
        let mut waiting = self.upstreams.lock().expect("no panic while locked");
        let repeats = if is_news { REPEATS } else { 0 };
        let repeats = waiting.get(&said.id).map_or(repeats, |(_, left)| repeats.max(*left));
        waiting.insert(said.id.clone(), (said, repeats));
        drop(waiting);
        self.ring(is_news);
    }

    /// A VM said something.
    pub fn met(&self, said: Presence, is_news: bool) {
        let mut waiting = self.vms.lock().expect("no panic while locked");
        let key = (said.vm.clone(), said.role);
        let repeats = if is_news { REPEATS } else { 0 };
        let repeats = waiting.get(&key).map_or(repeats, |(_, left)| repeats.max(*left));
        waiting.insert(key, (said, repeats));
        drop(waiting);
        self.ring(is_news);
    }

    fn ring(&self, is_news: bool) {
        if is_news {
            self.news.notify_one();
        }
    }

    /// What goes out now; what is to be repeated stays.
    fn take(&self) -> Heard {
        let upstreams = drain(&mut self.upstreams.lock().expect("no panic while locked"));
        let vms = drain(&mut self.vms.lock().expect("no panic while locked"));
        Heard { upstreams, vms }
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
