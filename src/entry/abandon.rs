//! Requests of VMs that are gone: their ledger is told, so that resends hear that the outcome is unknown.
//!
//! A request that was claimed by a VM which then died may have run, and nobody will ever tell how it ended. Without
//! this its key would seem to be running for ever, and its caller would come back for ever.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::entry::Hub;
use crate::entry::claim;
use crate::id;
use crate::ledger::Command;
use crate::unit::Incarnation;

/// The VMs of the region are looked at this often.
const PERIOD: Duration = Duration::from_secs(1);
/// A VM is given up this long after the others have found it dead. Giving one up too early does no harm but that
/// resends of what it runs are told "unknown" until it tells how they ended.
const GIVE_UP_AFTER: Duration = Duration::from_secs(8);

/// What is known of a VM's last life.
#[derive(Debug)]
struct Life {
    incarnation: Incarnation,
    missing: Option<Instant>,
}

/// Gives up this VM's own earlier lives, then those of VMs that are gone, while this VM speaks for the region.
pub async fn watch(hub: Arc<Hub>, mut stop: watch::Receiver<bool>) {
    tokio::select! {
        () = watch_on(&hub) => (),
        _ = stop.wait_for(|stop| *stop) => (),
    }
}

async fn watch_on(hub: &Hub) {
    let own = Incarnation::new(hub.incarnation().get().saturating_sub(1));
    give_up(hub, hub.me.clone(), own).await;
    let mut lives: BTreeMap<id::Vm, Life> = BTreeMap::new();
    loop {
        time::sleep(PERIOD).await;
        let now = Instant::now();
        note(hub, &mut lives, now);
        if hub.is_tied() && claim::reaches_ledger(hub).await {
            hub.confirm();
        }
        if !hub.fleet().speaks() {
            continue;
        }
        let gone = |life: &Life| life.missing.is_some_and(|since| now >= since + GIVE_UP_AFTER);
        let given_up: Vec<id::Vm> =
            lives.iter().filter(|(_, life)| gone(life)).map(|(vm, _)| vm.clone()).collect();
        for vm in given_up {
            if let Some(life) = lives.remove(&vm) {
                give_up(hub, vm, life.incarnation).await;
            }
        }
    }
}

fn note(hub: &Hub, lives: &mut BTreeMap<id::Vm, Life>, now: Instant) {
    let present = hub.fleet().places(now);
    for (vm, life) in lives.iter_mut() {
        if !present.iter().any(|(name, _)| name == vm) {
            life.missing.get_or_insert(now);
        }
    }
    for (vm, place) in present {
        lives.insert(vm, Life { incarnation: place.incarnation, missing: None });
    }
}

async fn give_up(hub: &Hub, vm: id::Vm, incarnation: Incarnation) {
    if vm != hub.me {
        warn!(hub.log, "a VM is given up; what it ran is unknown from now on"; "of" => %vm);
    }
    let command = Command::Abandon { vm, incarnation };
    while claim::ask(hub, hub.region(), command.clone()).await.is_err() {
        time::sleep(PERIOD).await;
    }
}
