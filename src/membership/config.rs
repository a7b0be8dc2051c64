//! What a member is told at its start, and the figures that it works by.

use std::time::Duration;

use crate::id;

/// How often [`super::Member::tick`] is to be called; facts wait at most this long at each hop.
///
/// A region of 200 VMs is five hops wide, so that a fact needs half a second and leaves time for one
/// repair within the two seconds that users were promised.
pub const TICK: Duration = Duration::from_millis(100);

/// Time between two probes of the same neighbour.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// After this long without an answer, other VMs are asked to probe in this one's stead.
///
/// A hundred times a round trip within a region, and less than half of [`PROBE_PERIOD`], so that the
/// indirect answer still comes in time.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// How many VMs are asked for an indirect probe; with three, one that is sick itself doesn't matter.
pub const HELPERS: usize = 3;

/// How long a suspected VM may refute before it is declared gone: two probes and the spread both ways.
pub const SUSPICION: Duration = Duration::from_secs(2);

/// A gap between two ticks that means this process itself stood still.
///
/// Its unanswered probes then say nothing about others, and are dropped.
pub const STALL: Duration = Duration::from_secs(1);

/// How long a VM that is declared gone still counts as alive.
///
/// After a healed partition each side brings the other the news that all of its VMs are gone. Each
/// of them refutes that within half a second; without the delay, each heal would empty the directory.
pub const GONE_DELAY: Duration = Duration::from_secs(1);

/// How long an upstream stays usable once the VM that holds its lease is gone or was restarted.
///
/// It is the lease of an announcement: within it a live upstream has announced itself elsewhere.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(3);

/// Hash rings; each VM probes one successor in each, and is probed by one predecessor in each.
///
/// Four random rings make a graph that stays connected when a quarter of its VMs is lost, and give
/// each fact four ways to arrive.
pub const RINGS: u64 = 4;

/// Most bytes of facts that go to one neighbour in one tick; the rest waits for the next tick.
pub const SPREAD_BYTES: usize = 8 * 1024;

/// Most bytes of facts in one message of a repair.
pub const MESSAGE_BYTES: usize = 16 * 1024;

/// Shortest time between two repairs that one VM starts.
pub const REPAIR_PERIOD: Duration = Duration::from_secs(1);

/// Most repairs that a VM answers in [`REPAIR_PERIOD`].
///
/// When a whole region starts at once everyone asks the first peers; each full answer is about
/// 150 KB, and those who get none ask another neighbour a second later.
pub const REPAIR_ANSWERS: u32 = 8;

/// Age at which the record of something gone no longer counts in digests.
pub const GONE_FADES: Duration = Duration::from_secs(600);

/// Age at which the record of something gone is dropped.
///
/// Well above [`GONE_FADES`], so that two VMs which learnt of it at different times don't hand the
/// record back and forth for ever.
pub const GONE_KEPT: Duration = Duration::from_secs(1200);

/// Time between two tries to reach a seed or a VM that is thought gone: how a partition heals.
pub const RECONNECT_PERIOD: Duration = Duration::from_secs(1);

/// Time between two digests that a region sends to the others.
pub const RELAY_PERIOD: Duration = Duration::from_secs(2);

/// A first peer, known from the settings.
#[derive(Debug, Clone)]
pub struct Seed {
    /// The peer.
    pub vm: id::Vm,
    /// Where it is.
    pub region: id::Region,
}

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// This VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// First peers, of this region and of others.
    pub seeds: Vec<Seed>,
}

impl Config {
    /// A member that knows no one yet.
    pub fn new(vm: id::Vm, region: id::Region) -> Self {
        Self { vm, region, seeds: Vec::new() }
    }

    /// Adds a first peer.
    #[must_use]
    pub fn with_seed(mut self, vm: id::Vm, region: id::Region) -> Self {
        if vm != self.vm {
            self.seeds.push(Seed { vm, region });
        }
        self
    }
}
