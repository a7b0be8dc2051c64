//! Asking for proofs that this control VM's configuration is the newest one; [`freshness`](crate::decide::freshness) tells why.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::Service;
use crate::clock;
use crate::decide::freshness::Proof;

/// A proof is asked for so often: entry VMs use what is left of its time.
const PERIOD: Duration = Duration::from_millis(300);
/// After a failure, and so often while none comes.
const AGAIN: Duration = Duration::from_millis(50);
/// An answer is waited for so long: two trips between regions, one of them for the majority, and a lost packet.
const LIMIT: Duration = Duration::from_millis(600);

/// Keeps a fresh proof until told to stop, where settings promise when a change is in force everywhere.
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
        service.note_touch();
        let pause = if proven { PERIOD } else { AGAIN };
        time::sleep_until(began + pause).await;
    }
}

/// Asks the leader which revision is the newest one; whether this VM holds it.
async fn prove(service: &Service) -> bool {
    let at = clock::now();
    let until = Instant::now() + LIMIT;
    let Ok(Some(revision)) = time::timeout_at(until, service.newest_revision()).await else {
        return false;
    };
    // The change may be on its way here.
    if time::timeout_at(until, service.holds(revision)).await.is_err() {
        return false;
    }
    service.take_proof(Proof { revision, at });
    true
}
