//! Obtains proofs that this control VM holds the newest routing state; see
//! [`freshness`](crate::decide::freshness).

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::Service;
use crate::clock;
use crate::decide::freshness::Proof;

/// Renewal interval. Entry VMs use the remaining validity of a proof.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Retry interval after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for a proof: two round trips between regions and one retransmission.
const PROOF_TIMEOUT: Duration = Duration::from_millis(600);

/// Renews the proof until shutdown, if the settings limit the time to revoke a key.
pub async fn run(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    if service.node().bounds.revocation.is_none() {
        stop.wait_for(|stop| *stop).await.ok();
        return;
    }
    loop {
        let began = Instant::now();
        let proven = tokio::select! {
            proven = prove(&service) => proven,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        service.update_sync_status();
        let pause = if proven { RENEWAL_INTERVAL } else { RETRY_INTERVAL };
        time::sleep_until(began + pause).await;
    }
}

/// Asks the leader for the newest revision; returns whether this VM holds it.
async fn prove(service: &Service) -> bool {
    let at = clock::now();
    let until = Instant::now() + PROOF_TIMEOUT;
    let Ok(Some(revision)) = time::timeout_at(until, service.newest_revision()).await else {
        return false;
    };
    // The revision may still be in transit.
    if time::timeout_at(until, service.wait_for_revision(revision)).await.is_err() {
        return false;
    }
    service.apply_proof(Proof { revision, at });
    true
}
