//! Logs the restrictions that upstreams state.

use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use super::State;
use crate::decide::feedback::Change;
use crate::decide::feedback::Event;

/// Interval at which changes are logged.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    /// Logs restrictions that begin, change or end, until the task is cancelled.
    pub async fn report_restrictions(&self) {
        loop {
            time::sleep(REPORT_INTERVAL).await;
            let changes = self.place().take_changes(Instant::now());
            for change in changes {
                self.log_change(&change);
            }
        }
    }

    fn log_change(&self, change: &Change) {
        let (upstream, source) = (&change.upstream, change.source.as_str());
        let age = change.age.as_millis() as u64;
        match &change.event {
            Event::LimitBegan(rate) => {
                info!(self.log, "upstream.limit_began"; "upstream" => %upstream,
                    "per_second" => rate.get(), "source" => source, "age_ms" => age);
            }
            Event::LimitChanged(rate) => {
                info!(self.log, "upstream.limit_changed"; "upstream" => %upstream,
                    "per_second" => rate.get(), "source" => source, "age_ms" => age);
            }
            Event::LimitEnded => {
                info!(self.log, "upstream.limit_ended"; "upstream" => %upstream,
                    "source" => source, "age_ms" => age);
            }
            Event::RefusalLimitBegan(rate) => {
                info!(self.log, "upstream.refusal_limit_began"; "upstream" => %upstream,
                    "per_second" => rate.get(), "source" => source, "age_ms" => age);
            }
            Event::RefusalLimitChanged(rate) => {
                info!(self.log, "upstream.refusal_limit_changed"; "upstream" => %upstream,
                    "per_second" => rate.get(), "source" => source, "age_ms" => age);
            }
            Event::RefusalLimitEnded => {
                info!(self.log, "upstream.refusal_limit_ended"; "upstream" => %upstream,
                    "source" => source, "age_ms" => age);
            }
            Event::BoundBegan(bound) => {
                info!(self.log, "upstream.bound_began"; "upstream" => %upstream,
                    "requests" => bound);
            }
            Event::BoundChanged(bound) => {
                info!(self.log, "upstream.bound_changed"; "upstream" => %upstream,
                    "requests" => bound);
            }
            Event::BoundEnded => {
                info!(self.log, "upstream.bound_ended"; "upstream" => %upstream);
            }
            Event::DrainBegan => {
                info!(self.log, "upstream.drain_began"; "upstream" => %upstream,
                    "source" => source, "age_ms" => age);
            }
            Event::DrainEnded => {
                info!(self.log, "upstream.drain_ended"; "upstream" => %upstream,
                    "source" => source, "age_ms" => age);
            }
            Event::BackoffBegan(left) => {
                info!(self.log, "upstream.backoff_began"; "upstream" => %upstream,
                    "left_ms" => left.as_millis() as u64, "source" => source, "age_ms" => age);
            }
            Event::BackoffExtended(left) => {
                info!(self.log, "upstream.backoff_extended"; "upstream" => %upstream,
                    "left_ms" => left.as_millis() as u64, "source" => source, "age_ms" => age);
            }
            Event::BackoffEnded => {
                info!(self.log, "upstream.backoff_ended"; "upstream" => %upstream,
                    "source" => source, "age_ms" => age);
            }
            Event::HeaderIgnored { name, value } => {
                warn!(self.log, "upstream.header_ignored"; "upstream" => %upstream,
                    "header" => name, "value" => value);
            }
        }
    }
}
