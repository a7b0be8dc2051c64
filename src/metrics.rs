//! Counters and gauges for Prometheus. Label sets are bounded: classes and reasons, never owners, keys or ids.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::catalogue::Class;
use crate::http::client::Client;
use crate::http::memory::Budget;
use crate::panics;

/// A class of work and how its request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    class: String,
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OfClass {
    class: String,
}

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    ended: Family<Ended, Counter>,
    latency: Family<OfClass, Histogram>,
    joined: Counter,
    waiting: Gauge,
    streams: Gauge,
    version: Gauge,
    panics: Gauge,
    body_bytes: Gauge,
    bodies_without_memory: Gauge,
    oversized_heads: Gauge,
}

/// From 1 ms up to 1.1 h in 16 steps of e.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, std::f64::consts::E, 16))
}

fn name(class: Class) -> String {
    match class {
        Class::Alert => "alert",
        Class::Short => "short",
        Class::Long => "long",
        Class::Batch => "batch",
    }
    .to_owned()
}

impl Metrics {
    /// All at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("mastic");
        let ended = Family::<Ended, Counter>::default();
        registry.register("requests", "Requests that ended, by class and outcome", ended.clone());
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let text = "Seconds from arrival to the whole answer";
        registry.register("request_seconds", text, latency.clone());
        let joined = Counter::default();
        registry.register("joined", "Resends that joined a request in progress", joined.clone());
        let waiting = Gauge::default();
        registry.register("waiting", "Requests that wait for a place", waiting.clone());
        let streams = Gauge::default();
        registry.register("streams", "Requests in progress", streams.clone());
        let version = Gauge::default();
        registry.register("catalogue_version", "Catalogue version in force", version.clone());
        let panics = Gauge::default();
        registry.register("panics", "Panics since the process started", panics.clone());
        let mut gauge = |name: &str, text: &str| {
            let gauge = Gauge::default();
            registry.register(name, text, gauge.clone());
            gauge
        };
        let text = "Memory reserved for the bodies of requests and answers, in bytes";
        let body_bytes = gauge("body_bytes", text);
        let text = "Times that there was no memory for a body";
        let bodies_without_memory = gauge("bodies_without_memory", text);
        let oversized_heads = gauge("oversized_heads", "Answers whose head was too large");
        Self {
            registry,
            ended,
            latency,
            joined,
            waiting,
            streams,
            version,
            panics,
            body_bytes,
            bodies_without_memory,
            oversized_heads,
        }
    }

    /// Counts a request that ended.
    pub fn ended(&self, class: Class, outcome: &str) {
        let labels = Ended { class: name(class), outcome: outcome.to_owned() };
        self.ended.get_or_create(&labels).inc();
    }

    /// Notes how long a whole answer took.
    pub fn latency(&self, class: Class, latency: Duration) {
        let labels = OfClass { class: name(class) };
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    }

    /// Counts a request that was handed to another region, and whether it came back.
    pub fn handed_over(&self, class: Class, refused: bool) {
        let outcome = if refused { "handed-back" } else { "handed-over" };
        self.ended(class, outcome);
    }

    /// Counts a resend that joined.
    pub fn joined(&self) {
        self.joined.inc();
    }

    /// Sets what bodies take up, and how many answers had too large a head.
    pub fn set_intake(&self, memory: &Budget, client: &Client) {
        self.body_bytes.set(memory.reserved().get() as i64);
        self.bodies_without_memory.set(memory.rejected() as i64);
        self.oversized_heads.set(client.oversized_heads() as i64);
    }

    /// The metrics as text, with gauges as they stand now.
    pub fn encode(&self, waiting: usize, streams: usize, version: u64) -> String {
        self.panics.set(panics::count() as i64);
        self.waiting.set(waiting as i64);
        self.streams.set(streams as i64);
        self.version.set(version as i64);
        let mut out = String::new();
        // Writing to a string can't fail.
        text::encode(&mut out, &self.registry).ok();
        out
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
