//! Proofs that this control VM holds the newest routing state.

use std::sync::MutexGuard;
use std::time::Duration;

use super::Service;
use crate::clock;
use crate::decide::freshness::Freshness;
use crate::decide::freshness::Proof;
use crate::unit::Version;

/// Age of a proof beyond which this VM is reported as not up to date, so that entry VMs follow
/// another one.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1200);

impl Service {
    pub(super) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock()
    }

    /// Applies a proof that no newer routing state existed.
    pub(in crate::directory) fn apply_proof(&self, proof: Proof) {
        let revision = self.routing.borrow().revision;
        self.freshness().observe(proof, revision, clock::now());
    }

    /// Waits until this VM holds at least the given revision of the routing state.
    pub(in crate::directory) async fn wait_for_revision(&self, revision: Version) {
        let mut routing = self.routing.subscribe();
        // The sender can't be dropped while `self` is borrowed.
        routing.wait_for(|routing| routing.revision >= revision).await.ok();
    }

    /// Notifies followers if this VM has become up to date or outdated.
    pub(in crate::directory) fn update_sync_status(&self) {
        let has_leader = self.group().is_some_and(|group| group.status().leader.is_some());
        let is_proven = self.node.bounds.revocation.is_none()
            || self.freshness().is_within(MAX_PROOF_AGE, clock::now());
        let up_to_date = has_leader && is_proven;
        self.up_to_date.send_if_modified(|last| std::mem::replace(last, up_to_date) != up_to_date);
    }
}
