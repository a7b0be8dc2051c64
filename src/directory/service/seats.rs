//! Whether the control group has a leader, and how many losses it bears.

use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time::Instant;

use super::Service;
use crate::consensus::Members;
use crate::id;
use crate::wire::Role;

/// Time without a known leader after which operators are told. It exceeds an election.
const LEADER_TIMEOUT: Duration = Duration::from_secs(4);

/// Since when this VM knows no leader.
#[derive(Debug, Default)]
pub struct Leaderless {
    since: Option<Instant>,
    is_reported: bool,
}

impl Service {
    /// Logs that the group has had no leader for some time, and that it has one again.
    pub(in crate::directory) fn watch_leader(&self, now: Instant) {
        let Some(status) = self.group().map(|group| group.status()) else { return };
        if status.members.is_empty() {
            return;
        }
        let mut leaderless = self.leaderless.lock();
        if status.leader.is_some() {
            if leaderless.is_reported {
                info!(self.log, "group.has_leader"; "term" => %status.term);
            }
            *leaderless = Leaderless::default();
            return;
        }
        let since = *leaderless.since.get_or_insert(now);
        let lasted = now.saturating_duration_since(since);
        if lasted >= LEADER_TIMEOUT && !leaderless.is_reported {
            leaderless.is_reported = true;
            let (heard, silent): (Vec<_>, Vec<_>) =
                status.members.voters().partition(|&id| self.is_heard(id));
            let names = |ids: Vec<id::Replica>| {
                ids.into_iter().map(|id| self.routes.name(id)).collect::<Vec<_>>()
            };
            warn!(self.log, "group.without_leader"; "ms" => lasted.as_millis() as u64,
                "term" => %status.term, "commit" => %status.commit,
                "majority" => status.members.majority(),
                "voters_heard" => ?names(heard), "voters_silent" => ?names(silent));
        }
    }

    /// How many more voters can be lost before the group has no majority; negative if it has none.
    pub(super) fn losses_borne(&self, members: &Members) -> i64 {
        let heard = members.voters().filter(|&id| self.is_heard(id)).count();
        heard as i64 - members.majority() as i64
    }

    fn is_heard(&self, replica: id::Replica) -> bool {
        let Some(vm) = self.routes.vm(replica).filter(|_| self.routes.is_current(replica)) else {
            return false;
        };
        vm == self.vm() || self.table().is_live(&vm, Role::Control)
    }
}
