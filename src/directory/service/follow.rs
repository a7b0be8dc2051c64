//! Long polls of followers.

use std::time::Duration;

use bytes::Bytes;
use slog::info;
use tokio::time;
use tokio::time::Instant;

use super::LONG_POLL_TIMEOUT;
use super::Service;
use crate::clock;
use crate::id;
use crate::roster::Delta;
use crate::roster::Interest;
use crate::roster::News;
use crate::roster::Piece;
use crate::roster::slice::Position;
use crate::routing::state::Replicated;
use crate::unit::Version;
use crate::wire::Reply;
use crate::wire::message::Follow;
use crate::wire::message::Followed;

/// How long the control VM that a follower gets routing states from has to send one. Then the others tell the follower
/// that there is a newer one, in case the first lags.
const DEFERRED_ROUTING_DELAY: Duration = Duration::from_millis(250);

/// Where a follower's copy of its slice ends.
#[derive(Debug, Clone, Copy)]
struct Held {
    revision: u64,
    base: u64,
}

impl Service {
    /// Handles a long poll: returns when there is an update for the follower, or at the timeout.
    pub(in crate::directory) async fn handle_follow(&self, follow: Follow) -> Reply {
        let received_at = clock::now();
        let is_current = follow.epoch == self.epoch;
        let follower = follow.presence.vm.clone();
        let interest = Interest { position: Position::of_vm(&follower), region: follow.only_of };
        let known_as = self.apply_presence(follow.presence);
        let revision = if is_current { follow.roster } else { 0 };
        let base = follow.base.map(|base| if is_current { base } else { 0 });
        let roster = async {
            match base {
                Some(base) => self.wait_for_news(&interest, Held { revision, base }).await,
                None => self.wait_for_revision_after(revision).await,
            }
        };
        self.wait_for_update(roster, (follow.routing, follow.defers_routing), follow.crashes).await;
        let mut followed = Followed {
            epoch: self.epoch,
            roster: None,
            routing: None,
            in_touch: *self.up_to_date.borrow(),
            // Read before the routing state, which is then at least as new as the proof.
            proof: self.freshness().proof().map(|proof| proof.to_message(received_at)),
            known_as,
            piece: None,
            encoded_routing: None,
            routing_revision: None,
            crashes: follow.crashes.and_then(|known| self.crash_report_after(known)),
        };
        match base {
            Some(base) => {
                followed.piece = self.next_piece(&follower, &interest, Held { revision, base });
            }
            None => followed.roster = self.whole_delta(interest.region.as_ref(), revision),
        }
        let newer = self.routing.borrow().clone();
        let newer = (newer.revision > follow.routing).then_some(newer);
        if follow.defers_routing {
            followed.routing_revision = newer.map(|newer| newer.revision);
        } else if base.is_some() {
            followed.encoded_routing = newer.map(|newer| self.encode_routing(&newer));
        } else {
            followed.routing = newer;
        }
        Reply::Followed(Box::new(followed))
    }

    /// The next piece of a follower's slice.
    fn next_piece(&self, follower: &id::Vm, interest: &Interest, held: Held) -> Option<Piece> {
        let Held { revision, base } = held;
        let piece = self.table().piece(interest, revision, base, Instant::now())?;
        self.metrics.record_piece(&piece);
        if piece.is_first {
            info!(self.log, "slice.begun"; "follower" => %follower, "base" => piece.base,
                "held" => revision);
        }
        Some(piece)
    }

    /// Encodes a routing state, once for all followers.
    fn encode_routing(&self, routing: &Replicated) -> Bytes {
        let mut encoded = self.encoded_routing.lock();
        if encoded.0 < routing.revision {
            *encoded = (routing.revision, routing.encode());
        }
        encoded.1.clone()
    }

    /// Waits until there is an update for a follower, or until the timeout.
    async fn wait_for_update(
        &self,
        roster: impl Future<Output = ()>,
        (held, defers_routing): (Version, bool),
        crashes: Option<u64>,
    ) {
        let mut up_to_date = self.up_to_date.subscribe();
        let routing = async {
            self.wait_for_revision(held.next()).await;
            if defers_routing {
                time::sleep(DEFERRED_ROUTING_DELAY).await;
            }
        };
        let crashes = async {
            match crashes {
                Some(known) => self.wait_for_crash_report(known).await,
                None => std::future::pending().await,
            }
        };
        let update = async {
            tokio::select! {
                () = crashes => (),
                _ = up_to_date.changed() => (),
                () = roster => (),
                () = routing => (),
            }
        };
        time::timeout(LONG_POLL_TIMEOUT, update).await.ok();
    }

    /// Waits for any change of the table.
    async fn wait_for_revision_after(&self, revision: u64) {
        let mut latest = self.revision.subscribe();
        // The sender can't be dropped while `self` is borrowed.
        latest.wait_for(|latest| *latest > revision).await.ok();
    }

    /// Waits until the follower lacks changes that are to be sent now.
    async fn wait_for_news(&self, interest: &Interest, held: Held) {
        let _waiting = self.batching.track_follower();
        let mut changes = self.wakeups.subscribe(interest.position);
        loop {
            let news = self.table().news(interest, held.revision, held.base);
            let due = match news {
                News::None => None,
                News::Withdrawals => return,
                News::Additions(first) => Some(self.batching.due(first)),
            };
            let pause =
                due.map_or(Duration::MAX, |due| due.saturating_duration_since(Instant::now()));
            if pause.is_zero() {
                return;
            }
            // The sender can't be dropped while `self` is borrowed.
            time::timeout(pause.min(LONG_POLL_TIMEOUT), changes.changed()).await.ok();
        }
    }

    /// The changes for a follower that does not take pieces.
    fn whole_delta(&self, region: Option<&id::Region>, revision: u64) -> Option<Delta> {
        let delta = self.table().delta(revision, Instant::now())?;
        let Some(region) = region else { return Some(delta) };
        let is_local = |centre: &id::DataCentre| self.node.region_of(centre) == Some(region);
        Some(delta.for_region(region, is_local))
    }
}
