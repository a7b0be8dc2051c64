//! Background tasks of a control daemon.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use super::Service;
use super::service::CRASH_REPEAT_INTERVAL;
use super::service::LONG_POLL_TIMEOUT;
use crate::clock::pause;
use crate::routing::State;
use crate::store::cache;

/// Interval of checks for the replica while it is not running.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before the upstreams are saved, so that bursts of changes are written once.
const ROSTER_SAVE_DELAY: Duration = Duration::from_millis(500);
/// Interval of checks for silent VMs and upstreams.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a tick beyond which the process is assumed to have been suspended.
const STALL_THRESHOLD: Duration = Duration::from_millis(1500);
/// The pause between two saves of the roster, in multiples of the time that the last one took.
const ROSTER_SAVE_PAUSE: u32 = 40;

/// Interval of the log lines on the bytes sent on links.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the bytes sent on links, by kind of frame, until shutdown.
pub async fn log_traffic(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(TRAFFIC_LOG_INTERVAL) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        if let Some(mesh) = service.mesh() {
            info!(service.log(), "links.sent"; "bytes" => %mesh.traffic());
        }
    }
}

/// Expires silent VMs and upstreams, and renews this VM's presence, until shutdown.
pub async fn tick(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut pauses = pause::Detector::new(STALL_THRESHOLD);
    let mut announced_at: Option<Instant> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        let now = Instant::now();
        if let Some(pause) = pauses.observe(now) {
            info!(service.log(), "process.stood_still"; "ms" => pause.as_millis() as u64);
            service.table().reset_timers(now);
        }
        if announced_at.is_none_or(|at| now.saturating_duration_since(at) >= LONG_POLL_TIMEOUT) {
            announced_at = Some(now);
            service.announce_presence();
        }
        service.refresh_table(now);
        service.refresh_reserve();
        service.refresh_quarantine(now);
        service.watch_leader(now);
    }
}

/// Publishes reports on crashes, saves them, and repeats them to the other control VMs, until shutdown.
pub async fn share_crashes(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    let repeat = async {
        loop {
            time::sleep(CRASH_REPEAT_INTERVAL).await;
            service.repeat_crash_report();
        }
    };
    tokio::select! {
        () = service.publish_crash_reports() => (),
        () = service.save_crashes() => (),
        () = repeat => (),
        _ = stop.wait_for(|stop| *stop) => (),
    }
}

/// Mirrors the replicated routing state for followers until shutdown.
pub async fn mirror_routing(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = mirror_while_running(&service) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        tokio::select! {
            () = time::sleep(POLL_INTERVAL) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Saves which VM holds which replica, until shutdown.
pub async fn save_routes(service: Arc<Service>, stop: watch::Receiver<bool>) {
    service.routes().clone().keep_saved(service.log().clone(), stop).await;
}

/// Saves the known upstreams after changes until shutdown.
///
/// In a large fleet something always changes, so the pause between two saves grows with the time that one takes.
pub async fn save_roster(service: Arc<Service>, mut stop: watch::Receiver<bool>) {
    let mut revision = service.revision.subscribe();
    let mut pause = ROSTER_SAVE_DELAY;
    loop {
        tokio::select! {
            changed = revision.changed() => if changed.is_err() { return },
            _ = stop.wait_for(|stop| *stop) => return,
        }
        time::sleep(pause).await;
        revision.mark_unchanged();
        let began = Instant::now();
        let upstreams = service.table().observed_upstreams(began);
        let (cache, log) = (service.roster_cache.clone(), service.log().clone());
        let saved = tokio::task::spawn_blocking(move || cache.save(&upstreams, &log));
        if let Err(error) = saved.await {
            warn!(service.log(), "copy.not_written"; "file" => cache::ROSTER_FILE, "why" => %error);
        }
        pause = ROSTER_SAVE_DELAY.max(began.elapsed() * ROSTER_SAVE_PAUSE);
    }
}

async fn mirror_while_running(service: &Service) {
    let Some(group) = service.group() else { return };
    let mut status = group.watch();
    let mut last = None;
    let mut slow_writes = status.borrow().slow_writes.count;
    loop {
        let now = status.borrow_and_update().clone();
        service.log_group_change(&now, &mut last);
        if now.slow_writes.count > slow_writes {
            slow_writes = now.slow_writes.count;
            warn!(service.log(), "disk.slow"; "file" => "log", "count" => slow_writes,
                "ms" => now.slow_writes.last.as_millis() as u64);
        }
        let held = service.routing.borrow().clone();
        let look = move |state: &State| {
            let newer = (state.revision() > held.revision).then(|| state.replicated());
            (newer, state.is_behind(&held).then(|| state.revision()))
        };
        match group.peek(look).await {
            Ok((None, Some(revision))) if now.leader.is_some() => {
                service.continue_from_copy(revision).await;
            }
            Ok((Some(newer), _)) => {
                info!(service.log(), "routing.in_force"; "revision" => %newer.revision,
                    "version" => newer.document.as_ref().map_or(0, |document| document.version.get()));
                service.routing.send_replace(newer.clone());
                let (cache, log) = (service.routing_cache.clone(), service.log().clone());
                let saved = tokio::task::spawn_blocking(move || cache.save(&newer, &log));
                if let Err(error) = saved.await {
                    warn!(service.log(), "copy.not_written"; "file" => cache::ROUTING_FILE, "why" => %error);
                }
            }
            Ok((None, _)) => (),
            Err(_) => return,
        }
        if status.changed().await.is_err() {
            return;
        }
    }
}
