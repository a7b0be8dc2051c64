//! Prometheus metrics of a control daemon.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::consensus::Role;
use crate::control::Traffic;
use crate::control::plan::VOTERS;
use crate::control::vacant_seats;
use crate::group::Reading;
use crate::group::Status;
use crate::panics;
use crate::roster::Piece;

/// The metrics of one control daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    check_ins: Counter,
    rejected_check_ins: Counter,
    panics: Gauge,
    pieces: Counter,
    piece_bytes: Counter,
    slices: Counter,
    repeats: Counter,
    upstreams: Gauge,
    followers: Gauge,
    vms: Gauge,
    version: Gauge,
    leads: Gauge,
    term: Gauge,
    commit: Gauge,
    voters: Gauge,
    losses_borne: Gauge,
    leader_known: Gauge,
    without_leader: Gauge<f64, AtomicU64>,
    seats_vacant: Gauge,
    write: Gauge<f64, AtomicU64>,
    slow_writes: Counter,
    replica_idle: Gauge<f64, AtomicU64>,
    messages_received: Counter,
    messages_dropped: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("mastic_control");
        let check_ins = Counter::default();
        registry.register("check_ins", "Statements of upstreams heard directly", check_ins.clone());
        let rejected_check_ins = Counter::default();
        let text = "Statements of upstreams that can't be used";
        registry.register("check_ins_rejected", text, rejected_check_ins.clone());
        let pieces = Counter::default();
        registry.register("pieces", "Pieces of the roster sent to followers", pieces.clone());
        let piece_bytes = Counter::default();
        registry.register("piece_bytes", "Bytes of changes in these pieces", piece_bytes.clone());
        let slices = Counter::default();
        registry.register("slices", "Followers that began to receive a slice", slices.clone());
        let repeats = Counter::default();
        registry.register("repeats", "Repeats issued to entry VMs", repeats.clone());
        let slow_writes = Counter::default();
        let text = "Writes to the replica's log that took half a second or more";
        registry.register("slow_writes", text, slow_writes.clone());
        let messages_received = Counter::default();
        let text = "Messages of other replicas that this one took since it started";
        registry.register("messages_received", text, messages_received.clone());
        let messages_dropped = Counter::default();
        let text = "Messages to and from other replicas that were dropped, for want of room or of an address";
        registry.register("messages_dropped", text, messages_dropped.clone());
        let mut seconds = |name: &str, text: &str| {
            let gauge = Gauge::<f64, AtomicU64>::default();
            registry.register_with_unit(name, text, Unit::Seconds, gauge.clone());
            gauge
        };
        let text = "Time since this replica last knew a leader, 0 while it knows one";
        let without_leader = seconds("without_leader", text);
        let text = "Time that the write to the replica's log under way has taken, 0 without one";
        let write = seconds("write", text);
        let text = "Time since the replica's task last ran, normally below 3";
        let replica_idle = seconds("replica_idle", text);
        let mut gauge = |name: &str, text: &str| {
            let gauge = Gauge::default();
            registry.register(name, text, gauge.clone());
            gauge
        };
        let panics = gauge("panics", "Panics since the process started");
        let upstreams = gauge("upstreams", "Upstreams that are heard of");
        let vms = gauge("vms", "VMs of the system that are heard of");
        let version = gauge("document_version", "Number of the document in force");
        let leads = gauge("leads", "Whether this replica leads its group");
        let term = gauge("term", "Term of this replica");
        let commit = gauge("commit", "Last committed index that this replica knows of");
        let voters = gauge("voters", "Voters of the group, as this replica knows them");
        let losses_borne = gauge(
            "losses_borne",
            "Further losses of voters that leave a majority; negative without one",
        );
        let leader_known = gauge("leader_known", "Whether this replica knows a leader");
        let text = "Seats without a voter for which a learner waits, as the leader knows them";
        let seats_vacant = gauge("seats_vacant", text);
        let followers = gauge("followers", "Followers that wait for changes");
        Self {
            registry,
            check_ins,
            rejected_check_ins,
            panics,
            pieces,
            piece_bytes,
            slices,
            repeats,
            upstreams,
            followers,
            vms,
            version,
            leads,
            term,
            commit,
            voters,
            losses_borne,
            leader_known,
            without_leader,
            seats_vacant,
            write,
            slow_writes,
            replica_idle,
            messages_received,
            messages_dropped,
        }
    }
}

impl Metrics {
    /// Counts a statement received directly from an upstream.
    pub fn record_check_in(&self) {
        self.check_ins.inc();
    }

    /// Counts a statement of an upstream that can't be used.
    pub fn record_rejected_check_in(&self) {
        self.rejected_check_ins.inc();
    }

    /// Counts a repeat issued to an entry VM.
    pub fn record_repeat(&self) {
        self.repeats.inc();
    }

    /// Counts a piece sent to a follower.
    pub fn record_piece(&self, piece: &Piece) {
        self.pieces.inc();
        self.piece_bytes.inc_by(piece.changes.len() as u64);
        self.slices.inc_by(u64::from(piece.is_first));
    }

    /// Updates what tells why a group has no leader, or a seat no voter.
    pub fn set_replica(
        &self,
        status: &Status,
        reading: &Reading,
        traffic: Traffic,
        without_leader: Duration,
    ) {
        self.without_leader.set(without_leader.as_secs_f64());
        self.seats_vacant.set(vacant_seats(status, VOTERS) as i64);
        self.write.set(reading.write.unwrap_or_default().as_secs_f64());
        self.slow_writes.inner().store(status.slow_writes.count, Ordering::Relaxed);
        self.replica_idle.set(reading.idle.as_secs_f64());
        self.messages_received.inner().store(reading.received, Ordering::Relaxed);
        let dropped = reading.dropped + traffic.full + traffic.misdirected + traffic.unrouted;
        self.messages_dropped.inner().store(dropped, Ordering::Relaxed);
    }

    /// Encodes all metrics in the text format, after updating the gauges.
    pub fn encode(
        &self,
        (upstreams, vms): (usize, usize),
        followers: u32,
        version: u64,
        group: Option<(&Status, i64)>,
    ) -> String {
        self.panics.set(panics::count() as i64);
        self.upstreams.set(upstreams as i64);
        self.vms.set(vms as i64);
        self.followers.set(i64::from(followers));
        self.version.set(version as i64);
        if let Some((status, losses_borne)) = group {
            self.losses_borne.set(losses_borne);
            self.leader_known.set(i64::from(status.leader.is_some()));
            self.leads.set(i64::from(status.leads));
            self.term.set(status.term.get() as i64);
            self.commit.set(status.commit.get() as i64);
            self.voters.set(status.members.with_role(Role::Voter).count() as i64);
        }
        let mut out = String::new();
        // Writing to a string can't fail.
        text::encode(&mut out, &self.registry).ok();
        out
    }
}
