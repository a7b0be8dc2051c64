//! How fast upstreams are at present: what other VMs and operators are told of it.

use tokio::time::Instant;

use super::Balancer;
use crate::decide::pace::Notice;
use crate::decide::pace::Pace;
use crate::decide::sharing::MAX_PACES;

impl Balancer {
    /// Returns the paces that this VM found in responses of a shard's upstreams and that differ from the usual one.
    pub fn paces(&self, shard: u8, now: Instant) -> Vec<Notice> {
        let upstreams = self.upstreams.values().filter(|upstream| upstream.key().shard() == shard);
        upstreams.filter_map(|upstream| upstream.pace_notice(now)).take(MAX_PACES).collect()
    }

    /// Returns the numbers of upstreams that are slower and faster at present than usual.
    pub fn pace_counts(&self, now: Instant) -> (usize, usize) {
        let paces = || self.upstreams.values().map(|upstream| upstream.pace(now));
        let unusual = |is_slower: bool| {
            let is_such = |pace: &Pace| pace.is_unusual() && (*pace > Pace::USUAL) == is_slower;
            paces().filter(is_such).count()
        };
        (unusual(true), unusual(false))
    }
}
