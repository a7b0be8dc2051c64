//! How a region stands, told to the other regions by the one VM that speaks for it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::time;

use crate::decide::spill::Digest;
use crate::decide::spill::Room;
use crate::entry::Hub;
use crate::id;
use crate::unit::Slots;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;

/// A digest is made this often: the rate at which regions tell each other.
const PERIOD: Duration = Duration::from_secs(2);
/// VMs that are asked for a digest. A region of 200 VMs would send its speaker 54 KB/s if all were asked.
const ASKED: usize = 16;
/// A VM that does not answer within this is left out.
const ASK: Duration = Duration::from_millis(500);

/// Makes a digest of the region again and again while this VM speaks for it.
pub async fn tell(hub: Arc<Hub>, mut stop: watch::Receiver<bool>) {
    let mut sequence = 0;
    loop {
        tokio::select! {
            () = time::sleep(PERIOD) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        if !hub.fleet().speaks() {
            continue;
        }
        sequence += 1;
        let (rooms, vms) = ask_some(&hub).await;
        let region = hub.region().clone();
        let digest = Digest { region, sequence, room: merge(&rooms, vms), age: Duration::ZERO };
        hub.fleet().put_digest(&digest);
    }
}

/// The rooms of some VMs of the region, and how many VMs it has.
async fn ask_some(hub: &Hub) -> (Vec<BTreeMap<id::Model, Room>>, usize) {
    let own = hub.dispatch().room();
    let Some(mesh) = hub.mesh() else { return (vec![own], 1) };
    let neighbours = hub.neighbours();
    let alive: Vec<Peer> =
        neighbours.into_iter().filter(|peer| hub.fleet().is_alive(&peer.vm)).collect();
    let drawn: Vec<Peer> = hub.random(|rng| alive.choose_multiple(rng, ASKED).cloned().collect());
    let asked = drawn.iter().map(|peer| mesh.call(peer, Request::Room, ASK));
    let told = future::join_all(asked).await.into_iter().filter_map(|reply| match reply {
        Ok(Reply::Room(room)) => Some(room),
        _ => None,
    });
    (std::iter::once(own).chain(told).collect(), alive.len() + 1)
}

/// Adds up what the VMs told: `free` holds the slots that each uses, until it is taken from the capacity here. Where
/// not all of them were asked, the others are taken to use as much on average.
fn merge(rooms: &[BTreeMap<id::Model, Room>], vms: usize) -> BTreeMap<id::Model, Room> {
    let mut sum: BTreeMap<id::Model, Room> = BTreeMap::new();
    for (model, room) in rooms.iter().flatten() {
        let total = sum.entry(model.clone()).or_default();
        total.capacity = total.capacity.max(room.capacity);
        total.free += room.free;
        // A request may come to any VM of the region, so the longest wait is what can be promised.
        total.wait = total.wait.max(room.wait);
    }
    let scale = vms as f64 / rooms.len().max(1) as f64;
    for room in sum.values_mut() {
        let used = Slots::new((room.free.get() as f64 * scale).round() as u64);
        room.free = room.capacity.saturating_sub(used);
    }
    sum
}

#[cfg(test)]
mod tests;
