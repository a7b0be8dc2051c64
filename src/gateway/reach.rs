//! Finds out whether this VM reaches upstreams, and tells the other VMs.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::State;
use crate::decide::reach::Check;
use crate::decide::reach::Reach;
use crate::http::client::Probe;
use crate::id;

/// Interval of checks, besides those after a failure.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a probing connection may take to be established.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Upstreams that are probed at once while the reach is in doubt, and while it is lost.
const DOUBT_PROBES: usize = 3;
const LOST_PROBES: usize = 1;

impl State {
    fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock()
    }

    /// Whether this VM reaches upstreams, as far as it knows.
    pub fn reaches_upstreams(&self) -> bool {
        self.reach().is_reached()
    }

    /// Whether a request may be sent to an upstream of this region.
    pub(super) fn may_send_here(&self, is_repeatable: bool) -> bool {
        self.reach().may_send(is_repeatable, Instant::now())
    }

    /// Records that something was received from an upstream.
    pub(super) fn record_answer(&self) {
        if self.reach().record_answer() {
            info!(self.log, "reach.regained"; "why" => "an upstream answered");
            self.place().forget_unreachable();
            self.report_reach();
        }
    }

    /// Records that an upstream could not be connected to, or that a request to it had no answer.
    pub(super) fn record_no_answer(&self, upstream: &id::Upstream) {
        self.reach().record_failure(upstream, Instant::now());
        self.reach_doubts.notify_one();
    }

    /// Wakes the tasks that report this VM to control VMs.
    fn report_reach(&self) {
        self.metrics.set_reach(self.reaches_upstreams());
        self.draining.send_modify(|_| ());
    }
}

/// Checks the reach until shutdown.
pub async fn run(state: Arc<State>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(CHECK_INTERVAL) => (),
            () = state.reach_doubts.notified() => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        check(&state).await;
    }
}

async fn check(state: &State) {
    let now = Instant::now();
    let silence = state.place().silence(now);
    let known = || state.upstream_addresses().len();
    if state.reach().check(silence, known, now) == Check::None {
        return;
    }
    let count = if state.reaches_upstreams() { DOUBT_PROBES } else { LOST_PROBES };
    let addresses = state.some_addresses(count, None);
    let mut probes: FuturesUnordered<_> =
        addresses.iter().map(|address| state.client.probe(*address, PROBE_TIMEOUT)).collect();
    let mut is_accepted = false;
    while let Some(probe) = probes.next().await {
        is_accepted |= probe == Probe::Accepted;
        if is_accepted {
            break;
        }
    }
    let lost = state.reach().record_probes(is_accepted, Instant::now());
    if let Some(evidence) = lost {
        warn!(state.log, "reach.lost"; "evidence" => ?evidence, "probed" => addresses.len(),
            "accepted" => is_accepted);
        for address in state.upstream_addresses() {
            state.client.forget(Some(address));
        }
        state.place().forget_silence();
        state.report_reach();
    }
}
