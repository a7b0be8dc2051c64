//! Proofs that what this control VM holds is the newest routing state.

use std::sync::MutexGuard;
use std::time::Duration;

use super::Service;
use crate::clock;
use crate::decide::freshness::Freshness;
use crate::decide::freshness::Proof;
use crate::unit::Version;

/// A control VM without a proof for so long stands on the wrong side of a partition: entry VMs look for another one.
const PROOF_LATE: Duration = Duration::from_millis(1200);

impl Service {
    pub(super) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().expect("no panic while locked")
    }

    /// Takes a proof that there was no newer routing state.
    pub(in crate::directory) fn take_proof(&self, proof: Proof) {
        let held = self.routing.borrow().revision;
        self.freshness().observe(proof, held, clock::now());
    }

    /// Waits until this VM holds that revision of the routing state, or a later one.
    pub(in crate::directory) async fn holds(&self, revision: Version) {
        let mut routing = self.routing.subscribe();
        // The sender lives as long as this.
        routing.wait_for(|routing| routing.revision >= revision).await.ok();
    }

    /// Tells followers whether this VM is up to date, where that has changed.
    pub(in crate::directory) fn note_touch(&self) {
        let hears = self.group().is_some_and(|group| group.status().leader.is_some());
        let is_proven = self.node.bounds.revocation.is_none()
            || self.freshness().is_within(PROOF_LATE, clock::now());
        let now = hears && is_proven;
        self.in_touch.send_if_modified(|last| std::mem::replace(last, now) != now);
    }
}
