//! Prometheus metrics of a control daemon.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::consensus::Role;
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
