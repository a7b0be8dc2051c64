use std::net::SocketAddr;

use super::addresses;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::wire::Role;

fn vm(name: &str, region: &str, port: u16) -> Presence {
    Presence {
        vm: name.parse().unwrap(),
        role: Role::Entry,
        stamp: Stamp::new(1, 1),
        nonce: 1,
        region: region.parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        standing: Standing::Ready,
        ready: true,
        callers: Some(SocketAddr::from(([127, 0, 0, 1], port))),
        forwards: None,
        links: None,
    }
}

fn ports(region: &str, present: &[Presence], all: &[Presence]) -> Vec<u16> {
    ports_for(region, &[], present, all)
}

fn ports_for(region: &str, homes: &[&str], present: &[Presence], all: &[Presence]) -> Vec<u16> {
    let homes = homes.iter().map(|home| home.parse().unwrap()).collect();
    let found = addresses(&region.parse().unwrap(), &homes, present.iter(), all.iter());
    found.iter().map(SocketAddr::port).collect()
}

#[test]
fn callers_stay_in_their_region_while_it_has_a_vm() {
    let mut vms = vec![vm("a", "r", 1), vm("b", "r", 2), vm("c", "s", 3)];
    assert_eq!(ports("r", &vms, &vms), [1, 2]);
    vms[0].ready = false;
    vms[1].standing = Standing::Draining;
    assert_eq!(ports("r", &vms, &vms), [3]);
    assert_eq!(ports_for("r", &["r"], &vms, &vms), [2], "it still takes what is bound");
}

// Guards against an empty answer from a control VM that is isolated while the entry VMs still work.
#[test]
fn known_vms_are_returned_when_none_is_heard() {
    let all = [vm("a", "r", 1), vm("c", "s", 3)];
    assert_eq!(ports("r", &[], &all), [1]);
    assert_eq!(ports("t", &[], &all), [1, 3]);
}

// Guards against sending home-bound requests to a foreign region while all VMs of the caller's
// region restart.
#[test]
fn homes_are_named_where_the_own_region_has_no_vm() {
    let vms = [vm("a", "r", 1), vm("b", "s", 2), vm("c", "t", 3)];
    assert_eq!(ports_for("q", &["r", "s"], &vms, &vms), [1, 2]);
    assert_eq!(
        ports_for("t", &["r", "s"], &vms, &vms),
        [3],
        "a caller's own region serves it first"
    );
    assert_eq!(ports_for("q", &["u"], &vms, &vms), [1, 2, 3], "an answer is better than none");
}
