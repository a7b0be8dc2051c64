use std::time::Duration;

use tokio::time::Instant;

use super::Merged;
use crate::id;
use crate::roster::Announcement;
use crate::roster::Delta;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::delta::Fact;
use crate::unit::Slots;
use crate::wire::Role;

fn fact(sequence: u64, standing: Standing, silent: bool) -> Fact<Announcement> {
    let said = Announcement {
        id: "x".parse().unwrap(),
        stamp: Stamp::new(1, sequence),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".parse().unwrap(),
        slots: Slots::new(8),
        standing,
        cold_left: Duration::ZERO,
        ends_in: None,
        models: Vec::new(),
    };
    Fact { said, silent }
}

fn delta(revision: u64, facts: Vec<Fact<Announcement>>) -> Delta {
    Delta { revision, whole: false, upstreams: facts, vms: Vec::new() }
}

fn vm(name: &str) -> id::Vm {
    name.parse().unwrap()
}

// One of two followed control VMs is cut off from the upstreams and finds them all silent. The other one still hears
// them; if the first one's word were enough, the entry VM would refuse requests beside healthy upstreams.
#[tokio::test(start_paused = true)]
async fn an_upstream_is_silent_only_where_all_say_so() {
    let now = Instant::now();
    let mut merged = Merged::default();
    merged.take(&vm("a"), 1, delta(1, vec![fact(5, Standing::Ready, false)]), now);
    merged.take(&vm("b"), 1, delta(1, vec![fact(3, Standing::Ready, true)]), now);
    assert!(!merged.upstreams().next().unwrap().silent);
    merged.take(&vm("a"), 1, delta(2, vec![fact(5, Standing::Ready, true)]), now);
    assert!(merged.upstreams().next().unwrap().silent);
    merged.unfollow(&vm("a"));
    merged.unfollow(&vm("b"));
    assert_eq!(merged.upstreams().count(), 1);
}

// The control VM that lags passes an old statement on after the other one has told that the upstream drains.
#[tokio::test(start_paused = true)]
async fn the_newest_statement_counts_whoever_passes_it_on() {
    let now = Instant::now();
    let mut merged = Merged::default();
    merged.take(&vm("a"), 1, delta(1, vec![fact(5, Standing::Draining, false)]), now);
    merged.take(&vm("b"), 1, delta(1, vec![fact(4, Standing::Ready, false)]), now);
    assert_eq!(merged.upstreams().next().unwrap().said.standing, Standing::Draining);
    merged.take(&vm("b"), 1, delta(2, vec![fact(6, Standing::Gone, false)]), now);
    assert_eq!(merged.upstreams().count(), 0);
}

fn entry(name: &str, region: &str, silent: bool) -> Fact<Presence> {
    let said = Presence {
        vm: vm(name),
        role: Role::Entry,
        stamp: Stamp::new(1, 1),
        nonce: 1,
        region: region.parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        standing: Standing::Ready,
        ready: true,
        callers: None,
        forwards: None,
        links: None,
    };
    Fact { said, silent }
}

fn whole(revision: u64, vms: Vec<Fact<Presence>>) -> Delta {
    Delta { revision, whole: true, upstreams: Vec::new(), vms }
}

// A control VM gives no answer for a moment, and two hundred VMs come back to it. Each would be told again of all upstreams and
// VMs, and requests would wait for that on the lines between regions.
#[tokio::test(start_paused = true)]
async fn a_control_vm_that_is_followed_again_tells_only_what_changed() {
    let now = Instant::now();
    let mut merged = Merged::default();
    merged.take(&vm("a"), 7, delta(40, vec![fact(5, Standing::Ready, false)]), now);
    merged.unfollow(&vm("a"));
    assert_eq!(merged.ask(&vm("a"), None), (7, 40));
    merged.take(&vm("a"), 7, delta(41, vec![fact(5, Standing::Ready, true)]), now);
    assert!(merged.upstreams().next().unwrap().silent);
}

// The control VM that tells of all regions' VMs is lost, and the other one tells of the own region's alone. Other regions' VMs
// stay as they were, or requests that only they can serve would be refused until a third control VM has told.
#[tokio::test(start_paused = true)]
async fn other_regions_vms_stay_while_nobody_tells_of_them() {
    let now = Instant::now();
    let (a, b, here) = (vm("a"), vm("b"), "here".parse().unwrap());
    let mut merged = Merged::default();
    merged.ask(&a, None);
    merged.ask(&b, Some(&here));
    let near = entry("near", "here", false);
    let far = entry("far", "there", false);
    merged.take(&a, 1, whole(3, vec![near.clone(), far]), now);
    merged.take(&b, 1, whole(3, vec![near]), now);
    merged.unfollow(&a);
    assert_eq!(merged.vms(Role::Entry).count(), 2);
    // It is asked for all from now on: what it left out until now must come.
    assert_eq!(merged.ask(&b, None), (1, 0));
    merged.take(&b, 1, whole(3, vec![entry("far", "there", true)]), now);
    assert_eq!(merged.vms(Role::Entry).count(), 0, "whole: it knows of no other VM");
}
