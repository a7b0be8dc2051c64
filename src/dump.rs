//! What a process holds, on request: numbers and names, never a prompt, an answer or a token.

use serde::Serialize;

use crate::control::service::Service;
use crate::entry::Hub;
use crate::group;
use crate::id;
use crate::unit::Slots;
use crate::unit::Version;
use crate::upstream::Announcement;

/// The short state of an entry daemon.
#[derive(Debug, Serialize)]
pub struct Status {
    /// The VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// The catalogue version in force.
    pub version: Version,
    /// Whether it takes no more requests.
    pub draining: bool,
    /// Requests in progress.
    pub streams: usize,
    /// Requests that wait for a place.
    pub waiting: usize,
    /// Upstreams whose lease runs.
    pub upstreams: usize,
    /// Places on them.
    pub slots: Slots,
    /// Entry VMs that are reached.
    pub live: Vec<id::Vm>,
}

/// The whole state of an entry daemon.
#[derive(Debug, Serialize)]
pub struct Entry {
    /// The short state.
    pub status: Status,
    /// Catalogue entries, with their versions.
    pub entries: Vec<Named>,
    /// Upstreams whose lease runs.
    pub upstreams: Vec<Announcement>,
    /// Requests under a key in progress.
    pub keys: usize,
    /// Processes with a link to this one.
    pub links: Vec<String>,
}

/// A catalogue entry's name and version.
#[derive(Debug, Serialize)]
pub struct Named {
    /// The name.
    pub name: id::Entry,
    /// The version.
    pub version: Version,
}

/// The short state of an entry daemon.
pub fn status(hub: &Hub) -> Status {
    let (waiting, upstreams, slots) = {
        let dispatch = hub.dispatch();
        let slots = dispatch.upstreams().map(|hosted| hosted.announcement.slots).sum();
        (dispatch.waiting(), dispatch.upstreams().count(), slots)
    };
    Status {
        vm: hub.me.clone(),
        region: hub.region().clone(),
        version: hub.version(),
        draining: hub.is_draining(),
        streams: hub.streams(),
        waiting,
        upstreams,
        slots,
        live: hub.live().into_iter().map(|live| live.vm).collect(),
    }
}

/// The whole state of an entry daemon.
pub fn entry(hub: &Hub) -> Entry {
    let upstreams = hub.fleet().upstreams().map(|hosted| hosted.announcement.clone()).collect();
    let view = hub.view();
    let entries = view.records().filter(|record| record.entry.is_some());
    let named = entries.map(|record| Named { name: record.name.clone(), version: record.version });
    let links = hub.mesh().map(|mesh| mesh.linked()).unwrap_or_default();
    Entry {
        status: status(hub),
        entries: named.collect(),
        upstreams,
        keys: hub.running.len(),
        links: links.iter().map(ToString::to_string).collect(),
    }
}

/// A replica of a control daemon.
#[derive(Debug, Serialize)]
pub struct Replica {
    /// The group.
    pub group: String,
    /// Where it stands; none while it opens its folder or joins.
    pub status: Option<group::Status>,
}

/// The replicas of a control daemon.
pub fn replicas(service: &Service) -> Vec<Replica> {
    let Some(seats) = service.seats() else { return Vec::new() };
    let catalogue = seats.catalogue.iter().map(|seat| Replica {
        group: seat.name.to_string(),
        status: seat.group().map(|group| group.status()),
    });
    let ledgers = seats.ledgers.values().map(|seat| Replica {
        group: seat.name.to_string(),
        status: seat.group().map(|group| group.status()),
    });
    catalogue.chain(ledgers).collect()
}
