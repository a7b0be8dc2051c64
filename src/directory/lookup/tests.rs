use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::Index;
use super::MAX_ADDRESSES;
use super::addresses;
use super::select;
use crate::roster::Heartbeat;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::Table;
use crate::roster::fixture;
use crate::roster::table::Timeouts;

fn vm(name: &str, region: &str, port: u16) -> Presence {
    let callers = Some(SocketAddr::from(([127, 0, 0, 1], port)));
    Presence { callers, ..fixture::entry_vm(name, region, Stamp::new(1, 1)) }
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

// Guards against naming a VM that is off because an earlier answer is given again.
#[tokio::test(start_paused = true)]
async fn index_follows_each_change_of_a_vm() {
    let timeouts = Timeouts { upstream: Duration::from_secs(5), vm: Duration::from_secs(3) };
    let mut table = Table::new(timeouts);
    let now = Instant::now();
    let (mut index, region) = (Index::default(), "r".parse().unwrap());
    let mut ports = |table: &Table| -> Vec<u16> {
        let addresses = index.addresses(&region, BTreeSet::new(), table);
        addresses.iter().map(SocketAddr::port).collect()
    };
    table.apply_presence(vm("a", "r", 1), now);
    table.apply_presence(vm("b", "r", 2), now);
    assert_eq!(ports(&table), [1, 2]);
    let later = now + Duration::from_secs(2);
    let renewed = Presence { stamp: Stamp::new(1, 2), ..vm("a", "r", 1) };
    table.apply_presence(renewed.clone(), later);
    table.expire(now + Duration::from_secs(4));
    assert_eq!(ports(&table), [1], "a silent VM is not named");
    table.apply_heartbeats(&[Heartbeat { digest: vm("b", "r", 2).digest(), sequence: 9 }], later);
    assert_eq!(ports(&table), [1, 2], "one that is back is");
    let draining = Presence { standing: Standing::Draining, stamp: Stamp::new(1, 3), ..renewed };
    table.apply_presence(draining, later);
    assert_eq!(ports(&table), [2]);
}

// Guards against callers that all use the same 64 VMs of a larger region.
#[test]
fn callers_spread_over_more_vms_than_fit_into_an_answer() {
    let all: Vec<SocketAddr> = (1..=200).map(|port| ([127, 0, 0, 1], port).into()).collect();
    let mut named = BTreeSet::new();
    for random in (0..1000).step_by(37) {
        let answer = select(&all, random);
        assert_eq!(answer.iter().collect::<BTreeSet<_>>().len(), MAX_ADDRESSES);
        named.extend(answer);
    }
    assert_eq!(named.len(), all.len());
    assert_eq!(select(&all[..3], 2), all[..3]);
    assert!(select(&[], 2).is_empty());
}
