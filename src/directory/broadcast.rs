//! Broadcasts the statements that this control VM received directly to the other control VMs.
//!
//! Changed statements are sent at once and repeated for a second, since messages are lost when a
//! link fails. Heartbeats are sent in batches.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::error;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

use super::Service;
use crate::id;
use crate::roster::Announcement;
use crate::roster::Heartbeat;
use crate::roster::Presence;
use crate::sync::Mutex;
use crate::wire::Cast;
use crate::wire::Peer;
use crate::wire::Role;
use crate::wire::message::Heard;

/// Interval between batches of heartbeats; it is short compared with the timeouts for silence.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between batches: if many statements change at once, each is sent in a few batches together with the
/// others and not in one of its own.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Number of batches in which a changed statement is repeated.
const REPEATS: u8 = 4;

/// Statements to be broadcast.
#[derive(Debug, Default)]
pub struct Queue {
    upstreams: Mutex<HashMap<id::Upstream, (Announcement, u8)>>,
    vms: Mutex<HashMap<(id::Vm, Role), (Presence, u8)>>,
    /// Sequence numbers of renewed statements, by digest.
    heartbeats: Mutex<HashMap<u64, u64>>,
    changed: Notify,
}

impl Queue {
    /// Queues a changed announcement.
    pub fn push_announcement(&self, announcement: Announcement) {
        let mut pending = self.upstreams.lock();
        pending.insert(announcement.id.clone(), (announcement, REPEATS));
        drop(pending);
        self.changed.notify_one();
    }

    /// Queues a changed presence.
    pub fn push_presence(&self, presence: Presence) {
        let mut pending = self.vms.lock();
        pending.insert((presence.vm.clone(), presence.role), (presence, REPEATS));
        drop(pending);
        self.changed.notify_one();
    }

    /// Queues the renewal of an unchanged announcement.
    pub fn renew_announcement(&self, announcement: Announcement) {
        let mut pending = self.upstreams.lock();
        match pending.get_mut(&announcement.id) {
            Some((last, _)) => *last = announcement,
            // A heartbeat does not carry time spans, so others are sent in full.
            None if announcement.is_time_independent() => {
                self.push_heartbeat(announcement.digest(), announcement.stamp.sequence);
            }
            None => {
                pending.insert(announcement.id.clone(), (announcement, 0));
            }
        }
    }

    /// Queues the renewal of an unchanged presence.
    pub fn renew_presence(&self, presence: Presence) {
        let mut pending = self.vms.lock();
        let key = (presence.vm.clone(), presence.role);
        match pending.get_mut(&key) {
            Some((last, _)) => *last = presence,
            // The presence of a control VM is sent in full, since it carries the address for links.
            None if presence.role == Role::Entry => {
                self.push_heartbeat(presence.digest(), presence.stamp.sequence);
            }
            None => {
                pending.insert(key, (presence, 0));
            }
        }
    }

    fn push_heartbeat(&self, digest: u64, sequence: u64) {
        let mut pending = self.heartbeats.lock();
        let last = pending.entry(digest).or_default();
        *last = sequence.max(*last);
    }

    /// Takes the statements to send; those to be repeated stay queued.
    fn take(&self) -> Heard {
        let upstreams = take_pending(&mut self.upstreams.lock());
        let vms = take_pending(&mut self.vms.lock());
        let alive = std::mem::take(&mut *self.heartbeats.lock());
        let alive = alive.into_iter().map(Heartbeat::from).collect();
        Heard { upstreams, vms, alive, wanted: Vec::new() }
    }
}

fn take_pending<K: Eq + std::hash::Hash, T: Clone>(pending: &mut HashMap<K, (T, u8)>) -> Vec<T> {
    let out = pending.values().map(|(statement, _)| statement.clone()).collect();
    pending.retain(|_, (_, repeats)| {
        *repeats = repeats.saturating_sub(1);
        *repeats > 0
    });
    out
}

/// Broadcasts until shutdown.
pub async fn run(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    let mut batches = time::interval(BATCH_INTERVAL);
    batches.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = batches.tick() => (),
            () = service.broadcast().changed.notified() => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        let heard = service.broadcast().take();
        if heard.is_empty() {
            continue;
        }
        let Some(mesh) = service.mesh() else { continue };
        let others = service.control_vms().into_iter().filter(|vm| *vm != service.vm());
        let peers = others.map(|vm| Peer::new(vm, Role::Control));
        if let Err(error) = mesh.cast_all(peers, Cast::Heard(Box::new(heard))) {
            error!(service.log(), "broadcast.not_sent"; "why" => %error);
        }
        time::sleep(MIN_INTERVAL).await;
    }
}
