//! Issues repeats from the fixed minimum of the retry limit.

use std::time::Duration;

use slog::info;

use super::Service;
use crate::clock;
use crate::consensus::Role;
use crate::decide::retry::limit::Rank;
use crate::wire::Reply;

/// When an entry VM may ask again a VM that issues nothing at present, or for a service that it does not know.
const NOTHING_ISSUED: Duration = Duration::from_secs(1);

/// The group has no leader that this VM knows.
#[derive(Debug)]
struct NoLeader;

impl Service {
    /// Handles an entry VM's request for a repeat.
    pub(in crate::directory) fn handle_issue_repeat(&self, service: &str) -> Reply {
        let document = self.routing.borrow().document.clone();
        let is_known = document
            .is_some_and(|document| document.services.iter().any(|known| known.name == service));
        if !is_known {
            return Reply::RepeatIssued(Err(NOTHING_ISSUED));
        }
        let rank = self.rank();
        let issued = match rank {
            Ok(rank) => {
                let mut reserve = self.reserve.lock();
                reserve.issue(&self.node.bounds.repeats, rank, service, clock::now())
            }
            Err(NoLeader) => Err(NOTHING_ISSUED),
        };
        let rank = rank.ok().flatten();
        if issued.is_ok() {
            self.metrics.record_repeat();
        }
        info!(self.log, "repeat.asked"; "service" => service, "issued" => issued.is_ok(),
            "nth" => rank.map(|rank| rank.nth), "voters" => rank.map(|rank| rank.voters),
            "next_ms" => issued.err().map(|after| after.as_millis() as u64));
        Reply::RepeatIssued(issued)
    }

    /// Collects repeats while this VM is a voter.
    pub(in crate::directory) fn refresh_reserve(&self) {
        let Ok(rank) = self.rank() else { return };
        let mut reserve = self.reserve.lock();
        reserve.set_rank(&self.node.bounds.repeats, rank, clock::now());
    }

    /// This VM among the voters, if it is one. Without a leader that is unknown: it may have been removed.
    fn rank(&self) -> Result<Option<Rank>, NoLeader> {
        let status = self.group().ok_or(NoLeader)?.status();
        if status.leader.is_none() {
            return Err(NoLeader);
        }
        let voters: Vec<_> = status.members.with_role(Role::Voter).collect();
        let nth = voters.iter().position(|voter| *voter == status.id);
        Ok(nth.map(|nth| Rank { nth: nth as u32, voters: voters.len() as u32 }))
    }
}
