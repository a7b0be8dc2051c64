use std::time::Duration;

use tokio::time::Instant;

use super::MergedTable;
use crate::id;
use crate::roster::Announcement;
use crate::roster::Delta;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::delta::Observed;
use crate::roster::fixture;
use crate::unit::Slots;
use crate::wire::Role;

fn observed(sequence: u64, standing: Standing, silent: bool) -> Observed<Announcement> {
    let record = Announcement {
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
    Observed { record, silent }
}

fn delta(revision: u64, upstreams: Vec<Observed<Announcement>>) -> Delta {
    Delta { revision, is_full: false, upstreams, vms: Vec::new() }
}

fn vm(name: &str) -> id::Vm {
    name.parse().unwrap()
}

// Guards against refusing requests because one of two control VMs is partitioned from healthy upstreams.
#[tokio::test(start_paused = true)]
async fn upstream_is_silent_only_if_all_control_vms_report_it() {
    let now = Instant::now();
    let mut merged = MergedTable::default();
    merged.apply_delta(&vm("a"), 1, delta(1, vec![observed(5, Standing::Ready, false)]), now);
    merged.apply_delta(&vm("b"), 1, delta(1, vec![observed(3, Standing::Ready, true)]), now);
    assert!(!merged.upstreams().next().unwrap().silent);
    merged.apply_delta(&vm("a"), 1, delta(2, vec![observed(5, Standing::Ready, true)]), now);
    assert!(merged.upstreams().next().unwrap().silent);
    merged.unfollow(&vm("a"));
    merged.unfollow(&vm("b"));
    assert_eq!(merged.upstreams().count(), 1);
}

// Guards against a lagging control VM replacing a newer record with an older one.
#[tokio::test(start_paused = true)]
async fn newest_record_wins_regardless_of_source() {
    let now = Instant::now();
    let mut merged = MergedTable::default();
    merged.apply_delta(&vm("a"), 1, delta(1, vec![observed(5, Standing::Draining, false)]), now);
    merged.apply_delta(&vm("b"), 1, delta(1, vec![observed(4, Standing::Ready, false)]), now);
    assert_eq!(merged.upstreams().next().unwrap().record.standing, Standing::Draining);
    merged.apply_delta(&vm("b"), 1, delta(2, vec![observed(6, Standing::Gone, false)]), now);
    assert_eq!(merged.upstreams().count(), 0);
}

fn entry(name: &str, region: &str, silent: bool) -> Observed<Presence> {
    let record = fixture::entry_vm(name, region, Stamp::new(1, 1));
    Observed { record, silent }
}

fn full_delta(revision: u64, vms: Vec<Observed<Presence>>) -> Delta {
    Delta { revision, is_full: true, upstreams: Vec::new(), vms }
}

// Guards against fetching the full table again after a short disconnect from a control VM.
#[tokio::test(start_paused = true)]
async fn reconnecting_resumes_from_the_last_revision() {
    let now = Instant::now();
    let mut merged = MergedTable::default();
    merged.apply_delta(&vm("a"), 7, delta(40, vec![observed(5, Standing::Ready, false)]), now);
    merged.unfollow(&vm("a"));
    let cursor = merged.prepare_request(&vm("a"), None);
    assert_eq!((cursor.epoch, cursor.revision), (7, 40));
    merged.apply_delta(&vm("a"), 7, delta(41, vec![observed(5, Standing::Ready, true)]), now);
    assert!(merged.upstreams().next().unwrap().silent);
}

// Guards against dropping other regions' VMs when the only control VM that reports them is lost.
#[tokio::test(start_paused = true)]
async fn vms_of_other_regions_stay_while_no_source_reports_them() {
    let now = Instant::now();
    let (a, b, here) = (vm("a"), vm("b"), "here".parse().unwrap());
    let mut merged = MergedTable::default();
    merged.prepare_request(&a, None);
    merged.prepare_request(&b, Some(&here));
    let near = entry("near", "here", false);
    let far = entry("far", "there", false);
    merged.apply_delta(&a, 1, full_delta(3, vec![near.clone(), far]), now);
    merged.apply_delta(&b, 1, full_delta(3, vec![near]), now);
    merged.unfollow(&a);
    assert_eq!(merged.vms(Role::Entry).count(), 2);
    // Removing the filter requires a full delta.
    let cursor = merged.prepare_request(&b, None);
    assert_eq!((cursor.epoch, cursor.revision), (1, 0));
    merged.apply_delta(&b, 1, full_delta(3, vec![entry("far", "there", true)]), now);
    assert_eq!(merged.vms(Role::Entry).count(), 0, "a full delta replaces the source's VMs");
}

// Guards against a cold period that moves forward each time the same record comes by another way, and against a new
// cold period of a running upstream that is missed.
#[tokio::test(start_paused = true)]
async fn a_repeated_record_does_not_extend_the_cold_period() {
    let now = Instant::now();
    let cold = |sequence, millis| {
        let mut observed = observed(sequence, Standing::Ready, false);
        observed.record.cold_left = Duration::from_millis(millis);
        vec![observed]
    };
    let mut merged = MergedTable::default();
    let until = |merged: &MergedTable| merged.upstreams().next().unwrap().cold_until;
    merged.apply_delta(&vm("a"), 1, delta(1, cold(5, 3000)), now);
    let later = now + Duration::from_millis(400);
    merged.apply_delta(&vm("b"), 1, delta(1, cold(5, 3000)), later);
    assert_eq!(until(&merged), now + Duration::from_secs(3));
    merged.apply_delta(&vm("b"), 1, delta(2, cold(4, 3000)), later);
    assert_eq!(until(&merged), now + Duration::from_secs(3));
    merged.apply_delta(&vm("b"), 1, delta(3, cold(6, 3000)), later);
    assert_eq!(until(&merged), later + Duration::from_secs(3));
}
