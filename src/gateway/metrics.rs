//! Prometheus metrics of an entry daemon. Labels are limited to outcomes, so that cardinality is
//! bounded.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::http::memory::Budget;
use crate::panics;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    outcome: &'static str,
}

/// The metrics of one entry daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<Labels, Counter>,
    attempts: Family<Labels, Counter>,
    repeats: Family<Labels, Counter>,
    forwards: Family<Labels, Counter>,
    first_event: Histogram,
    sharing_dropped: Counter,
    pauses: Histogram,
    crashes: Family<Labels, Counter>,
    held_back: Family<Labels, Counter>,
    suspects: Gauge,
    quarantined: Gauge,
    without_reach: Gauge,
    upstreams: Gauge,
    limited: Gauge,
    refusal_limited: Gauge,
    bounded: Gauge,
    waiting_for_room: Gauge,
    refusals: Counter,
    draining: Gauge,
    slow: Gauge,
    fast: Gauge,
    backing_off: Gauge,
    unanswered: Gauge,
    vms: Gauge,
    in_progress: Gauge,
    version: Gauge,
    panics: Gauge,
    body_bytes: Gauge,
    bodies_without_memory: Gauge,
    passed_on: Counter,
    cut_off: Family<Labels, Counter>,
}

/// Buckets from 5 ms to 20 s.
fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 1.75, 16))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("mastic");
        let requests = Family::<Labels, Counter>::default();
        registry.register("requests", "Requests that ended, by outcome", requests.clone());
        let attempts = Family::<Labels, Counter>::default();
        registry.register("attempts", "Attempts that ended, by outcome", attempts.clone());
        let repeats = Family::<Labels, Counter>::default();
        let text = "Decisions of the retry budget";
        registry.register("repeats", text, repeats.clone());
        let forwards = Family::<Labels, Counter>::default();
        let text =
            "Requests forwarded to other regions for want of room, and forwards rejected there";
        registry.register("forwards", text, forwards.clone());
        let first_event = seconds_histogram();
        let text = "Seconds from arrival to the head of the answer";
        registry.register("first_event_seconds", text, first_event.clone());
        let sharing_dropped = Counter::default();
        let text = "Datagrams of no VM of the region, or without sense";
        registry.register("sharing_dropped", text, sharing_dropped.clone());
        let pauses = Histogram::new(exponential_buckets(0.25, 2.0, 10));
        let text = "Seconds for which the process did not run";
        registry.register("pause_seconds", text, pauses.clone());
        let crashes = Family::<Labels, Counter>::default();
        let text = "Crashes of upstreams that were found out, by evidence";
        registry.register("crashes", text, crashes.clone());
        let held_back = Family::<Labels, Counter>::default();
        let text =
            "Requests that were held back since upstreams crashed while running them, by reason";
        registry.register("held_back", text, held_back.clone());
        let suspects = Gauge::default();
        let text = "Requests that were running on crashed upstreams";
        registry.register("suspects", text, suspects.clone());
        let quarantined = Gauge::default();
        registry.register("quarantined", "Requests that are quarantined", quarantined.clone());
        let without_reach = Gauge::default();
        let text = "Whether this VM reaches none of the upstreams of its region";
        registry.register("without_reach", text, without_reach.clone());
        let upstreams = Gauge::default();
        registry.register("upstreams", "Upstreams that take requests", upstreams.clone());
        let limited = Gauge::default();
        let text = "Upstreams that state a rate limit";
        registry.register("upstreams_limited", text, limited.clone());
        let refusal_limited = Gauge::default();
        let text = "Upstreams that state how many requests a second they can refuse";
        registry.register("upstreams_refusal_limited", text, refusal_limited.clone());
        let bounded = Gauge::default();
        let text = "Upstreams that have shown by rejections how many requests they hold at most";
        registry.register("upstreams_bounded", text, bounded.clone());
        let waiting_for_room = Gauge::default();
        let text = "Requests that wait for room at upstreams";
        registry.register("waiting_for_room", text, waiting_for_room.clone());
        let refusals = Counter::default();
        let text = "Requests that upstreams refused";
        registry.register("upstream_refusals", text, refusals.clone());
        let draining = Gauge::default();
        let text = "Upstreams known to be draining";
        registry.register("upstreams_draining", text, draining.clone());
        let slow = Gauge::default();
        let text = "Upstreams that take longer than usual at present";
        registry.register("upstreams_slow", text, slow.clone());
        let fast = Gauge::default();
        let text = "Upstreams that are faster than usual at present";
        registry.register("upstreams_fast", text, fast.clone());
        let backing_off = Gauge::default();
        let text = "Upstreams that want no requests from this VM at present";
        registry.register("upstreams_backing_off", text, backing_off.clone());
        let unanswered = Gauge::default();
        let text = "Requests that were given up, and that upstreams may still run";
        registry.register("unanswered", text, unanswered.clone());
        let vms = Gauge::default();
        registry.register("vms", "Entry VMs that take requests", vms.clone());
        let in_progress = Gauge::default();
        registry.register("in_progress", "Requests in progress", in_progress.clone());
        let version = Gauge::default();
        registry.register("document_version", "Number of the document in force", version.clone());
        let body_bytes = Gauge::default();
        let text = "Memory reserved for the bodies of requests and answers, in bytes";
        registry.register("body_bytes", text, body_bytes.clone());
        let bodies_without_memory = Gauge::default();
        let text = "Times that there was no memory for a body";
        registry.register("bodies_without_memory", text, bodies_without_memory.clone());
        let passed_on = Counter::default();
        let text =
            "Answers passed on before they were complete, for their size or for want of memory";
        registry.register("answers_passed_on", text, passed_on.clone());
        let cut_off = Family::<Labels, Counter>::default();
        let text = "Answers of upstreams that exceeded a limit, by limit";
        registry.register("answers_cut_off", text, cut_off.clone());
        let panics = Gauge::default();
        registry.register("panics", "Panics since the process started", panics.clone());
        Self {
            registry,
            requests,
            attempts,
            repeats,
            forwards,
            first_event,
            sharing_dropped,
            pauses,
            crashes,
            held_back,
            suspects,
            quarantined,
            without_reach,
            upstreams,
            limited,
            refusal_limited,
            bounded,
            waiting_for_room,
            refusals,
            draining,
            slow,
            fast,
            backing_off,
            unanswered,
            vms,
            in_progress,
            version,
            panics,
            body_bytes,
            bodies_without_memory,
            passed_on,
            cut_off,
        }
    }
}

impl Metrics {
    /// Counts a completed request.
    pub fn record_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&Labels { outcome }).inc();
    }

    /// Counts a completed attempt.
    pub fn record_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Labels { outcome }).inc();
    }

    /// Counts a decision of the retry budget.
    pub fn record_repeat(&self, decision: &'static str) {
        self.repeats.get_or_create(&Labels { outcome: decision }).inc();
    }

    /// Counts a request forwarded to another region for want of room, or a rejected forward.
    pub fn record_forward(&self, outcome: &'static str) {
        self.forwards.get_or_create(&Labels { outcome }).inc();
    }

    /// Records the time from arrival to the head of the response.
    pub fn observe_first_event(&self, took: Duration) {
        self.first_event.observe(took.as_secs_f64());
    }

    /// Counts a datagram from an unknown sender, or one that could not be decoded.
    pub fn record_sharing_drop(&self) {
        self.sharing_dropped.inc();
    }

    /// Counts a pause of this process.
    pub fn record_pause(&self, pause: Duration) {
        self.pauses.observe(pause.as_secs_f64());
    }

    /// Counts a crash of an upstream, or the withdrawal of one.
    pub fn record_crash(&self, evidence: &'static str) {
        self.crashes.get_or_create(&Labels { outcome: evidence }).inc();
    }

    /// Counts a request that was held back.
    pub fn record_held_back(&self, reason: &'static str) {
        self.held_back.get_or_create(&Labels { outcome: reason }).inc();
    }

    /// Sets the numbers of requests that are suspected and quarantined.
    pub fn set_suspects(&self, suspects: usize, quarantined: usize) {
        self.suspects.set(suspects as i64);
        self.quarantined.set(quarantined as i64);
    }

    /// Sets whether this VM reaches upstreams.
    pub fn set_reach(&self, is_reached: bool) {
        self.without_reach.set(i64::from(!is_reached));
    }

    /// Sets the number of upstreams that state a rate limit.
    pub fn set_limited(&self, limited: usize) {
        self.limited.set(limited as i64);
    }

    /// Sets the number of upstreams that state how many requests they can refuse.
    pub fn set_refusal_limited(&self, upstreams: usize) {
        self.refusal_limited.set(upstreams as i64);
    }

    /// Sets the number of upstreams that have shown by rejections how many requests they hold at most.
    pub fn set_bounded(&self, upstreams: usize) {
        self.bounded.set(upstreams as i64);
    }

    /// Sets the number of requests that wait for room at upstreams.
    pub fn set_waiting_for_room(&self, requests: usize) {
        self.waiting_for_room.set(requests as i64);
    }

    /// Counts a request that an upstream refused.
    pub fn record_refusal(&self) {
        self.refusals.inc();
    }

    /// Sets the number of upstreams known to be draining.
    pub fn set_draining(&self, draining: usize) {
        self.draining.set(draining as i64);
    }

    /// Sets the numbers of upstreams that are slower and faster than usual at present.
    pub fn set_unusual_paces(&self, slow: usize, fast: usize) {
        self.slow.set(slow as i64);
        self.fast.set(fast as i64);
    }

    /// Sets the number of upstreams that want no requests from this VM at present.
    pub fn set_backing_off(&self, backing_off: usize) {
        self.backing_off.set(backing_off as i64);
    }

    /// Counts an answer that is passed on before it is complete.
    pub fn record_passed_on(&self) {
        self.passed_on.inc();
    }

    /// Counts an answer that exceeded a limit.
    pub fn record_cut_off(&self, limit: &'static str) {
        self.cut_off.get_or_create(&Labels { outcome: limit }).inc();
    }

    /// Sets the memory that bodies take up.
    pub fn set_bodies(&self, memory: &Budget) {
        self.body_bytes.set(memory.reserved().get() as i64);
        self.bodies_without_memory.set(memory.rejected() as i64);
    }

    /// Sets the number of requests that were given up, and that upstreams may still run.
    pub fn set_unanswered(&self, unanswered: u32) {
        self.unanswered.set(i64::from(unanswered));
    }

    /// Encodes all metrics in the text format, after updating the gauges.
    pub fn encode(&self, upstreams: usize, vms: usize, in_progress: usize, version: u64) -> String {
        self.panics.set(panics::count() as i64);
        self.upstreams.set(upstreams as i64);
        self.vms.set(vms as i64);
        self.in_progress.set(in_progress as i64);
        self.version.set(version as i64);
        let mut out = String::new();
        // Writing to a string can't fail.
        text::encode(&mut out, &self.registry).ok();
        out
    }
}
