//! Pauses of this process, after which it waits for news of upstreams.

use std::pin::pin;
use std::sync::MutexGuard;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;
use tokio::time::error::Elapsed;

use super::State;
use crate::clock;
use crate::decide::place::Balancer;
use crate::decide::place::OBSERVATION_INTERVAL;

/// How much longer an attempt may take whose time ran out during a pause: its response may have arrived, unread.
const PAUSE_GRACE: Duration = Duration::from_millis(50);

impl State {
    /// The placement. Each access shows that the process runs, so that no decision is made by outdated data after a pause.
    pub(in crate::gateway) fn place(&self) -> MutexGuard<'_, Balancer> {
        let mut place = self.place.lock();
        let now = Instant::now();
        if let Some(pause) = place.observe(clock::now(), now) {
            warn!(self.log, "process.stood_still"; "ms" => pause.as_millis() as u64);
            self.metrics.record_pause(pause);
            self.doubt.send_replace(place.doubt_until(now));
        }
        place
    }

    /// Detects pauses while there are no requests, until the task is cancelled.
    pub async fn observe_pauses(&self) {
        loop {
            time::sleep(OBSERVATION_INTERVAL).await;
            drop(self.place());
        }
    }

    /// Notifies when this VM begins or ceases to doubt what it knows of upstreams.
    pub(in crate::gateway) fn doubt(&self) -> watch::Receiver<Option<Instant>> {
        self.doubt.subscribe()
    }

    /// Records that a control VM has answered a question that was asked at that time.
    pub(in crate::gateway) fn end_doubt(&self, asked_at: Instant) {
        let mut place = self.place();
        if place.record_answer(asked_at, Instant::now()) {
            info!(self.log, "roster.confirmed";
                "after_ms" => asked_at.elapsed().as_millis() as u64);
            self.doubt.send_replace(None);
        }
    }

    /// Waits until a control VM has answered after a pause, but not for long; returns whether that took any time.
    pub(in crate::gateway) async fn wait_while_in_doubt(&self, deadline: Instant) -> bool {
        let Some(until) = self.place().doubt_until(Instant::now()) else { return false };
        let mut doubt = self.doubt.subscribe();
        // At the bound, what is known has to do.
        time::timeout_at(until.min(deadline), doubt.wait_for(Option::is_none)).await.ok();
        true
    }

    /// Whether this VM has paused since that time.
    pub(in crate::gateway) fn has_paused_since(&self, at: Instant) -> bool {
        self.place().has_paused_since(at)
    }

    /// Requires a future to complete in time. After a pause it is given the time to read what has arrived meanwhile.
    pub(in crate::gateway) async fn timeout<F: Future>(
        &self,
        span: Duration,
        future: F,
    ) -> Result<F::Output, Elapsed> {
        let started = Instant::now();
        let mut future = pin!(future);
        match time::timeout(span, &mut future).await {
            Err(_) if self.has_paused_since(started) => time::timeout(PAUSE_GRACE, future).await,
            done => done,
        }
    }
}
