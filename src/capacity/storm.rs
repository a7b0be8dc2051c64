//! What failures cost at the target's size, worked out from the slopes.

use super::roles::Costs;
use super::target;

/// One failure.
#[derive(Debug, Clone)]
pub struct Storm {
    /// What fails.
    pub what: &'static str,
    /// VMs that start anew.
    pub vms: f64,
    /// Upstreams that announce anew.
    pub upstreams: f64,
    /// Bytes of catalogue that all of these VMs fetch.
    pub catalogue: f64,
    /// Seconds that one source is busy with encoding these.
    pub encoding: f64,
    /// Seconds that a VM decodes its catalogue.
    pub decoding: f64,
    /// Bytes of membership that all of these VMs receive.
    pub facts: f64,
    /// Bytes that each VM of the region sends on for the upstreams' announcements.
    pub announced: f64,
}

impl Costs {
    fn storm(&self, what: &'static str, vms: f64, upstreams: f64) -> Storm {
        let entries = target::OWNERS;
        let facts = 2.0 * target::LARGEST_VMS + target::LARGEST_UPSTREAMS + target::REGIONS;
        Storm {
            what,
            vms,
            upstreams,
            catalogue: vms * self.catalogue.whole.slope.at(entries),
            encoding: vms * self.catalogue.encode.slope.at(entries) / 1e9,
            decoding: self.catalogue.apply.slope.at(entries) / 1e9,
            facts: vms * self.membership.restart.slope.at(facts),
            announced: upstreams * self.membership.announce.slope.at(target::LARGEST_VMS),
        }
    }

    /// The failures of days and months.
    pub fn storms(&self) -> [Storm; 4] {
        let per_vm = target::LARGEST_UPSTREAMS / target::LARGEST_VMS;
        [
            self.storm("one VM restarted", 1.0, per_vm),
            self.storm(
                "94 VMs restarted, all at once",
                target::RESTARTS,
                target::RESTARTS * per_vm,
            ),
            self.storm(
                "a rack of 12 VMs lost and back",
                target::RACK_VMS,
                target::RACK_VMS * per_vm,
            ),
            self.storm(
                "a data centre of the largest region lost and back",
                target::DATA_CENTRE_VMS,
                target::DATA_CENTRE_UPSTREAMS,
            ),
        ]
    }
}
