//! Following control VMs: what they know, and saying that this VM is there.
//!
//! Two are followed at a time, so that the loss of one, or its lag, holds nothing back; and a third one while neither of
//! the two hears a leader, since both may stand on the wrong side of a cut. Each call waits at the other end
//! for news, for a second at most; the traffic of an entry VM for control thus doesn't grow with the fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::Hub;
use crate::clock;
use crate::decide::freshness::Proof;
use crate::decide::route::rendezvous;
use crate::id;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Role;
use crate::wire::message::Follow;
use crate::wire::message::Followed;

/// The control VMs that are followed at a time, and the place of one more while none of them is in touch.
const FOLLOWED: usize = 3;
/// The place whose control VM tells of the entry VMs of all regions; the others tell of the own region's.
///
/// Failure: a hundred VMs are restarted in turn, and each of two hundred is told by two control VMs of each step of each of
/// them. Of the VMs of other regions any few that take requests suffice, and one source for them.
const WHOLE: usize = 0;
/// The place of the one more.
const SPARE: usize = 2;
/// A call that waits for news is answered within [`WATCH`](crate::directory::service::WATCH) and a trip between regions; a VM that takes longer has
/// stopped, and another one is followed.
const LIMIT: Duration = Duration::from_millis(1800);
/// Between two calls, so that a flood of news is told in a few batches.
const PACE: Duration = Duration::from_millis(40);
/// A control VM that gave no answer is left alone for so long: after a restart of everything, entry VMs are up before
/// control VMs, and must not lose a second to that.
const AWAY: Duration = Duration::from_millis(150);
/// Where none can be reached, one is tried again after this.
const PAUSE: Duration = Duration::from_millis(50);

/// Which control VMs are followed, and which gave no answer lately.
#[derive(Debug, Default)]
struct Followers {
    current: [Option<id::Vm>; FOLLOWED],
    away: HashMap<id::Vm, Instant>,
    in_touch: [bool; FOLLOWED],
}

impl Followers {
    /// A followed one says whether it is in touch; returns whether to go on with it. The spare one is of use while it is
    /// up to date and no other is.
    fn note(&mut self, nth: usize, in_touch: bool) -> bool {
        self.in_touch[nth] = in_touch;
        nth != SPARE || (in_touch && !self.has_source())
    }

    /// Whether a control VM should be followed in that place.
    fn wants(&self, nth: usize) -> bool {
        nth != SPARE || !self.has_source()
    }

    /// Whether one of the two that are always followed is up to date.
    fn has_source(&self) -> bool {
        self.in_touch[..SPARE].contains(&true)
    }
}

/// Follows control VMs until told to stop.
pub async fn run(hub: Arc<Hub>, stop: watch::Receiver<bool>) {
    let shared = Arc::new(Mutex::new(Followers::default()));
    let each = (0..FOLLOWED).map(|nth| follow(&hub, nth, &shared, stop.clone()));
    futures::future::join_all(each).await;
}

async fn follow(
    hub: &Hub,
    nth: usize,
    followers: &Mutex<Followers>,
    mut stop: watch::Receiver<bool>,
) {
    let mut draining = hub.draining();
    loop {
        let vm = {
            let mut followers = followers.lock().expect("no panic while locked");
            if followers.wants(nth) { choose(hub, nth, &mut followers) } else { None }
        };
        let Some(vm) = vm else {
            tokio::select! {
                () = time::sleep(PAUSE) => continue,
                _ = stop.wait_for(|stop| *stop) => return,
            }
        };
        info!(hub.log(), "control.followed"; "control" => %vm, "nth" => nth);
        tokio::select! {
            () = keep_following(hub, &vm, nth, followers, &mut draining) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        warn!(hub.log(), "control.lost"; "control" => %vm, "nth" => nth);
        let mut followers = followers.lock().expect("no panic while locked");
        followers.current[nth] = None;
        followers.in_touch[nth] = false;
        followers.away.insert(vm.clone(), Instant::now() + AWAY);
        hub.unfollow(&vm);
    }
}

/// Follows one control VM until it gives no answer.
async fn keep_following(
    hub: &Hub,
    vm: &id::Vm,
    nth: usize,
    followers: &Mutex<Followers>,
    draining: &mut watch::Receiver<bool>,
) {
    let peer = Peer::new(vm.clone(), Role::Control);
    loop {
        draining.mark_unchanged();
        let sent = clock::now();
        let asked = ask(hub, &peer, nth);
        let followed = tokio::select! {
            followed = asked => followed,
            // What this VM says of itself has changed, and must be known before the present call returns.
            Ok(()) = draining.changed() => continue,
        };
        let Some(followed) = followed else { return };
        let in_touch = followed.in_touch;
        take(hub, vm, followed, sent);
        if !followers.lock().expect("no panic while locked").note(nth, in_touch) {
            return;
        }
        time::sleep(PACE).await;
    }
}

async fn ask(hub: &Hub, peer: &Peer, nth: usize) -> Option<Followed> {
    let region = Some(&hub.node().region).filter(|_| nth != WHOLE);
    let (epoch, roster) = hub.merged().ask(&peer.vm, region);
    let (presence, routing) = (hub.state_presence(), hub.routing().revision);
    let only_of = region.cloned();
    let follow = Follow { presence, epoch, roster, only_of, routing };
    let reply = hub.mesh()?.call(peer, Request::Follow(Box::new(follow)), LIMIT).await;
    match reply {
        Ok(Reply::Followed(followed)) => Some(*followed),
        Ok(_) | Err(_) => None,
    }
}

fn take(hub: &Hub, vm: &id::Vm, followed: Followed, sent: Instant) {
    if let Some((stamp, nonce)) = followed.known_as {
        hub.overtake(stamp, nonce);
    }
    if let Some(routing) = followed.routing {
        hub.take_routing(routing);
    }
    if let Some(proof) = followed.proof.and_then(|message| Proof::from_message(message, sent)) {
        hub.take_proof(proof);
    }
    if let Some(delta) = followed.roster {
        let links = delta.vms.iter().filter_map(|fact| Some((&fact.said, fact.said.links?)));
        if let Some(mesh) = hub.mesh() {
            links.for_each(|(vm, link)| mesh.learn(Peer::new(vm.vm.clone(), vm.role), link));
        }
        hub.take_roster(vm, followed.epoch, delta);
    }
}

/// The first one followed stands in the own region, so that a region that is cut off goes on by itself; the second one
/// stands elsewhere where that can be had, so that a region's lagging control VMs hold nothing back.
fn choose(hub: &Hub, nth: usize, followers: &mut Followers) -> Option<id::Vm> {
    let now = Instant::now();
    followers.away.retain(|_, until| now < *until);
    let taken: Vec<id::Vm> = followers.current.iter().flatten().cloned().collect();
    let mut candidates: Vec<(u8, u64, id::Vm)> = Vec::new();
    let me = hub.node().vm();
    let mut add = |vm: &id::Vm, here: bool| {
        let is_listed = candidates.iter().any(|(_, _, listed)| listed == vm);
        if taken.contains(vm) || followers.away.contains_key(vm) || is_listed {
            return;
        }
        let wants_here = nth == 0;
        let weight = rendezvous::weight(nth as u64, &format!("{me}/{vm}"));
        candidates.push((u8::from(here != wants_here), u64::MAX - weight, vm.clone()));
    };
    let merged = hub.merged();
    for vm in merged.vms(Role::Control) {
        add(&vm.vm, vm.region == hub.node().region);
    }
    for (vm, _) in hub.seeds().links() {
        add(&vm, false);
    }
    let (_, _, vm) = candidates.into_iter().min()?;
    followers.current[nth] = Some(vm.clone());
    Some(vm)
}

#[cfg(test)]
mod tests;
