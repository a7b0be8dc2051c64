//! Subscribes to control VMs by long polling and reports this VM's presence to them.
//!
//! Two control VMs are followed, so that the loss or lag of one delays nothing. A third one is
//! followed while neither of them hears a leader, since both may be on the minority side of a
//! partition.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::State;
use crate::clock;
use crate::decide::freshness::Proof;
use crate::decide::route::rendezvous;
use crate::id;
use crate::roster::Delta;
use crate::routing::state::Replicated;
use crate::unit::Version;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Role;
use crate::wire::message::Follow;
use crate::wire::message::Followed;

/// Number of subscriptions: two permanent ones and the fallback.
const SLOTS: usize = 3;
/// The subscription that receives the entry VMs of all regions; the others receive those of this
/// region.
///
/// Guards against an update storm during rolling restarts: a few VMs of each other region are
/// enough, and so is one source for them.
const FULL_ROSTER: usize = 0;
/// The subscription that is active only while no other source is up to date.
const FALLBACK: usize = 2;
/// A long poll returns within
/// [`LONG_POLL_TIMEOUT`](crate::directory::service::LONG_POLL_TIMEOUT) plus a round trip between
/// regions. After this timeout the control VM is replaced by another one.
const CALL_TIMEOUT: Duration = Duration::from_millis(1800);
/// Minimum interval between calls, so that bursts of updates arrive in batches.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Backoff for a control VM that did not respond. It is short because entry VMs start faster than
/// control VMs after a power failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(150);
/// Delay before the next try if no control VM is available.
const NO_SOURCE_DELAY: Duration = Duration::from_millis(50);

/// The followed control VMs and those in backoff.
#[derive(Debug, Default)]
struct Sources {
    current: [Option<id::Vm>; SLOTS],
    backoff: HashMap<id::Vm, Instant>,
    is_fresh: [bool; SLOTS],
}

impl Sources {
    /// Records whether a source is up to date and returns whether to keep following it. The
    /// fallback is kept only while it is up to date and no other source is.
    fn record_freshness(&mut self, slot: usize, is_fresh: bool) -> bool {
        self.is_fresh[slot] = is_fresh;
        slot != FALLBACK || (is_fresh && !self.has_fresh_source())
    }

    /// Whether the subscription should be active.
    fn needs(&self, slot: usize) -> bool {
        slot != FALLBACK || !self.has_fresh_source()
    }

    /// Whether a source need not send routing states, since the first one does.
    ///
    /// Each state would otherwise reach each VM twice, once over the links between regions.
    fn defers_routing(&self, slot: usize) -> bool {
        slot != FULL_ROSTER && self.is_fresh[FULL_ROSTER]
    }

    /// Whether a permanent source is up to date.
    fn has_fresh_source(&self) -> bool {
        self.is_fresh[..FALLBACK].contains(&true)
    }
}

/// Follows control VMs until shutdown.
pub async fn run(state: Arc<State>, stop: watch::Receiver<bool>) {
    let shared = Arc::new(Mutex::new(Sources::default()));
    let each = (0..SLOTS).map(|slot| run_slot(&state, slot, &shared, stop.clone()));
    futures::future::join_all(each).await;
}

async fn run_slot(
    state: &State,
    slot: usize,
    sources: &Mutex<Sources>,
    mut stop: watch::Receiver<bool>,
) {
    let mut draining = state.draining();
    loop {
        let vm = {
            let mut sources = sources.lock().expect("no panic while locked");
            if sources.needs(slot) { choose_source(state, slot, &mut sources) } else { None }
        };
        let Some(vm) = vm else {
            tokio::select! {
                () = time::sleep(NO_SOURCE_DELAY) => continue,
                _ = stop.wait_for(|stop| *stop) => return,
            }
        };
        info!(state.log(), "control.followed"; "control" => %vm, "nth" => slot);
        tokio::select! {
            () = follow_source(state, &vm, slot, sources, &mut draining) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        warn!(state.log(), "control.lost"; "control" => %vm, "nth" => slot);
        let mut sources = sources.lock().expect("no panic while locked");
        sources.current[slot] = None;
        sources.is_fresh[slot] = false;
        sources.backoff.insert(vm.clone(), Instant::now() + FAILURE_BACKOFF);
        state.unfollow(&vm);
    }
}

/// Follows one control VM until a call fails.
async fn follow_source(
    state: &State,
    vm: &id::Vm,
    slot: usize,
    sources: &Mutex<Sources>,
    draining: &mut watch::Receiver<bool>,
) {
    let peer = Peer::new(vm.clone(), Role::Control);
    let mut is_behind = false;
    loop {
        draining.mark_unchanged();
        let sent = clock::now();
        let can_defer = sources.lock().expect("no panic while locked").defers_routing(slot);
        let call = fetch(state, &peer, slot, can_defer && !is_behind);
        let followed = tokio::select! {
            followed = call => followed,
            // Draining must be reported before the pending call returns.
            Ok(()) = draining.changed() => continue,
        };
        let Some(followed) = followed else { return };
        let is_fresh = followed.in_touch;
        let newest = followed.routing_revision;
        let has_more = followed.piece.as_ref().is_some_and(|piece| piece.has_more);
        apply(state, vm, followed, sent);
        if !sources.lock().expect("no panic while locked").record_freshness(slot, is_fresh) {
            return;
        }
        is_behind = newest.is_some_and(|newest| newest > state.routing().revision);
        if !has_more && !is_behind {
            time::sleep(MIN_CALL_INTERVAL).await;
        }
    }
}

async fn fetch(state: &State, peer: &Peer, slot: usize, defers_routing: bool) -> Option<Followed> {
    let region = Some(&state.node().region).filter(|_| slot != FULL_ROSTER);
    let cursor = state.merged().prepare_request(&peer.vm, region);
    let (presence, routing) = (state.next_presence(), state.routing().revision);
    let only_of = region.cloned();
    let (epoch, roster, base) = (cursor.epoch, cursor.revision, Some(cursor.base));
    // A VM that has just started needs the first state that it can get.
    let defers_routing = defers_routing && routing > Version::ZERO;
    let follow = Follow { presence, epoch, roster, only_of, routing, base, defers_routing };
    let reply = state.mesh()?.call(peer, Request::Follow(Box::new(follow)), CALL_TIMEOUT).await;
    match reply {
        Ok(Reply::Followed(followed)) => Some(*followed),
        Ok(_) | Err(_) => None,
    }
}

fn apply(state: &State, vm: &id::Vm, followed: Followed, sent: Instant) {
    if let Some((stamp, nonce)) = followed.known_as {
        state.supersede(stamp, nonce);
    }
    if let Some(routing) = followed.routing {
        state.apply_routing(routing);
    }
    if let Some(encoded) = followed.encoded_routing {
        match Replicated::decode(&encoded) {
            Ok(routing) => state.apply_routing(routing),
            Err(error) => {
                warn!(state.log(), "routing.unreadable"; "control" => %vm, "why" => %error);
            }
        }
    }
    if let Some(proof) = followed.proof.and_then(|message| Proof::from_message(message, sent)) {
        state.apply_proof(proof);
    }
    // A control VM of an older release sends deltas of the whole roster.
    if let Some(delta) = followed.roster {
        learn_links(state, &delta);
        state.apply_roster(vm, followed.epoch, delta);
    }
    let Some(piece) = followed.piece else { return };
    let base = piece.base;
    match piece.into_delta() {
        Ok((delta, scope)) => {
            learn_links(state, &delta);
            state.apply_piece(vm, followed.epoch, base, (delta, scope));
        }
        Err(error) => warn!(state.log(), "roster.unreadable"; "control" => %vm, "why" => %error),
    }
}

fn learn_links(state: &State, delta: &Delta) {
    let Some(mesh) = state.mesh() else { return };
    for observed in &delta.vms {
        if let Some(link) = observed.record.links {
            mesh.learn(Peer::new(observed.record.vm.clone(), observed.record.role), link);
        }
    }
}

/// Prefers a control VM of this region for the first subscription, so that an isolated region keeps
/// working, and one of another region for the others, so that lagging control VMs of this region
/// delay nothing.
fn choose_source(state: &State, slot: usize, sources: &mut Sources) -> Option<id::Vm> {
    let now = Instant::now();
    sources.backoff.retain(|_, until| now < *until);
    let current: Vec<id::Vm> = sources.current.iter().flatten().cloned().collect();
    let mut candidates: Vec<(u8, u64, id::Vm)> = Vec::new();
    let own_vm = state.node().vm();
    let mut add_candidate = |vm: &id::Vm, is_local: bool| {
        let is_listed = candidates.iter().any(|(_, _, listed)| listed == vm);
        if current.contains(vm) || sources.backoff.contains_key(vm) || is_listed {
            return;
        }
        let prefers_local = slot == 0;
        let weight = rendezvous::weight(slot as u64, &format!("{own_vm}/{vm}"));
        candidates.push((u8::from(is_local != prefers_local), u64::MAX - weight, vm.clone()));
    };
    let merged = state.merged();
    for vm in merged.vms(Role::Control) {
        add_candidate(&vm.vm, vm.region == state.node().region);
    }
    for (vm, _) in state.seeds().links() {
        add_candidate(&vm, false);
    }
    let (_, _, vm) = candidates.into_iter().min()?;
    sources.current[slot] = Some(vm.clone());
    Some(vm)
}

#[cfg(test)]
mod tests;
