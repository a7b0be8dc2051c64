//! Records for tests.

use super::Presence;
use super::Stamp;
use super::Standing;
use crate::wire::Role;

/// An entry VM of data centre `a` of the region that serves requests, without addresses.
pub fn entry_vm(vm: &str, region: &str, stamp: Stamp) -> Presence {
    Presence {
        vm: vm.parse().unwrap(),
        role: Role::Entry,
        stamp,
        nonce: 1,
        region: region.parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        standing: Standing::Ready,
        ready: true,
        callers: None,
        forwards: None,
        links: None,
        without_reach: false,
    }
}
