//! Subscribes to control VMs by long polling and reports this VM's presence to them.
//!
//! Two control VMs are followed, so that the loss or lag of one delays nothing. A third one is
//! followed while neither of them hears a leader, since both may be on the minority side of a
//! partition.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use self::sources::Candidate;
use self::sources::FULL_ROSTER;
use self::sources::SLOTS;
use self::sources::Sources;
use super::State;
use crate::clock;
use crate::decide::freshness::Proof;
use crate::id;
use crate::roster::Delta;
use crate::routing::state::Replicated;
use crate::sync::Mutex;
use crate::unit::Version;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Role;
use crate::wire::message::Follow;
use crate::wire::message::Followed;

mod sources;

/// A long poll returns within
/// [`LONG_POLL_TIMEOUT`](crate::directory::service::LONG_POLL_TIMEOUT) plus a round trip between
/// regions. After this timeout the control VM is replaced by another one.
const CALL_TIMEOUT: Duration = Duration::from_millis(1800);
/// Minimum interval between calls, so that bursts of updates arrive in batches.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Upper bound on the random delay before a source is replaced by a better one, so that the VMs of a
/// fleet don't all move at once.
const MAX_MOVE_JITTER: Duration = Duration::from_secs(2);
/// Delay before the next try if no control VM is available.
const NO_SOURCE_DELAY: Duration = Duration::from_millis(50);

/// A revision of the report on crashes that no control VM has, so that it answers at once.
const NO_REVISION: u64 = u64::MAX;

/// Why a subscription ended.
enum End {
    /// The control VM failed.
    Failed,
    /// It is not up to date, or not needed any more.
    Unneeded,
    /// A better control VM is known.
    Moved,
}

/// Follows control VMs until shutdown.
pub async fn run(state: Arc<State>, stop: watch::Receiver<bool>) {
    let shared = Arc::new(Mutex::new(Sources::new(state.node().vm())));
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
            let candidates = candidates(state);
            let mut sources = sources.lock();
            let is_needed = sources.needs(slot);
            is_needed.then(|| sources.choose(slot, &candidates, Instant::now())).flatten()
        };
        let Some(vm) = vm else {
            tokio::select! {
                () = time::sleep(NO_SOURCE_DELAY) => continue,
                _ = stop.wait_for(|stop| *stop) => return,
            }
        };
        info!(state.log(), "control.followed"; "control" => %vm, "nth" => slot);
        let end = tokio::select! {
            end = follow_source(state, &vm, slot, sources, &mut draining) => end,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let mut sources = sources.lock();
        match end {
            End::Failed => {
                warn!(state.log(), "control.lost"; "control" => %vm, "nth" => slot);
                sources.fail(slot, Instant::now());
            }
            End::Unneeded => {
                info!(state.log(), "control.left"; "control" => %vm, "nth" => slot);
                sources.pass_over(slot, Instant::now());
            }
            End::Moved => {
                info!(state.log(), "control.left"; "control" => %vm, "nth" => slot);
                sources.leave(slot);
            }
        }
        state.unfollow(&vm);
    }
}

/// Follows one control VM until a call fails or another one is to be followed.
async fn follow_source(
    state: &State,
    vm: &id::Vm,
    slot: usize,
    sources: &Mutex<Sources>,
    draining: &mut watch::Receiver<bool>,
) -> End {
    let jitter = MAX_MOVE_JITTER.mul_f64((state.random() % 1024) as f64 / 1024.0);
    let peer = Peer::new(vm.clone(), Role::Control);
    let mut is_behind = false;
    let mut crashes = 0;
    let mut doubt = state.doubt();
    state.report_known_crashes(&peer);
    loop {
        draining.mark_unchanged();
        let doubted = *doubt.borrow_and_update();
        if doubted.is_some_and(|until| Instant::now() < until) {
            crashes = NO_REVISION;
        }
        let (sent, asked_at) = (clock::now(), Instant::now());
        let can_defer = sources.lock().defers_routing(slot);
        let call = fetch(state, &peer, slot, (can_defer && !is_behind, crashes));
        let followed = tokio::select! {
            followed = call => followed,
            // Draining must be reported before the pending call returns.
            Ok(()) = draining.changed() => continue,
            // What the pending call returns may have been true before this VM paused.
            Ok(_) = doubt.wait_for(|until| *until > doubted) => continue,
        };
        let Some(followed) = followed else {
            if state.has_paused_since(asked_at) {
                continue;
            }
            return End::Failed;
        };
        let is_fresh = followed.in_touch;
        let newest = followed.routing_revision;
        crashes = followed.crashes.as_ref().map_or(crashes, |shared| shared.revision);
        let has_more = followed.piece.as_ref().is_some_and(|piece| piece.has_more);
        if !apply(state, vm, followed, sent) {
            return End::Failed;
        }
        if is_fresh && !has_more {
            state.end_doubt(asked_at);
        }
        let candidates = candidates(state);
        {
            let mut sources = sources.lock();
            if !sources.record_freshness(slot, is_fresh) {
                return End::Unneeded;
            }
            if !has_more && sources.should_move(slot, &candidates, jitter, Instant::now()) {
                return End::Moved;
            }
        }
        is_behind = newest.is_some_and(|newest| newest > state.routing().revision);
        if !has_more && !is_behind {
            time::sleep(MIN_CALL_INTERVAL).await;
        }
    }
}

async fn fetch(
    state: &State,
    peer: &Peer,
    slot: usize,
    (defers_routing, crashes): (bool, u64),
) -> Option<Followed> {
    let region = Some(&state.node().region).filter(|_| slot != FULL_ROSTER);
    let cursor = state.merged().prepare_request(&peer.vm, region);
    let (presence, routing) = (state.next_presence(), state.routing().revision);
    let only_of = region.cloned();
    let (epoch, roster, base) = (cursor.epoch, cursor.revision, Some(cursor.base));
    // A VM that has just started needs the first state that it can get.
    let defers_routing = defers_routing && routing > Version::ZERO;
    let crashes = Some(crashes);
    let follow =
        Follow { presence, epoch, roster, only_of, routing, base, defers_routing, crashes };
    let reply = state.mesh()?.call(peer, Request::Follow(Box::new(follow)), CALL_TIMEOUT).await;
    match reply {
        Ok(Reply::Followed(followed)) => Some(*followed),
        Ok(_) | Err(_) => None,
    }
}

/// Applies a reply; returns whether it could be decoded.
fn apply(state: &State, vm: &id::Vm, followed: Followed, sent: Instant) -> bool {
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
                return false;
            }
        }
    }
    if let Some(shared) = followed.crashes {
        match ciborium::from_reader(&shared.report[..]) {
            Ok(report) => state.apply_crash_report(&report),
            Err(error) => {
                warn!(state.log(), "crashes.unreadable"; "control" => %vm, "why" => %error);
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
    let Some(piece) = followed.piece else { return true };
    let base = piece.base;
    match piece.into_delta() {
        Ok((delta, scope)) => {
            learn_links(state, &delta);
            state.apply_piece(vm, followed.epoch, base, (delta, scope));
            true
        }
        Err(error) => {
            warn!(state.log(), "roster.unreadable"; "control" => %vm, "why" => %error);
            false
        }
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

/// The known control VMs: those that are reported as live, and the seeds.
fn candidates(state: &State) -> Vec<Candidate> {
    let merged = state.merged();
    let live = merged.vms(Role::Control).map(|vm| Candidate {
        vm: vm.vm.clone(),
        is_local: vm.region == state.node().region,
        is_live: true,
    });
    let mut candidates: Vec<Candidate> = live.collect();
    for (vm, _) in state.seeds().links() {
        if !candidates.iter().any(|known| known.vm == vm) {
            candidates.push(Candidate { vm, is_local: false, is_live: false });
        }
    }
    candidates
}
