//! What a run is given, and what comes of it.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The library's route.
    Ours,
    /// The same, with slots shared between VMs: requests wait in the VMs and not in engines.
    Shared,
    RoundRobin,
    LeastReported,
}

/// The load; seconds throughout.
#[derive(Debug, Clone)]
pub struct Setting {
    pub vms: usize,
    /// The share of requests that come to the first VM, beyond its part.
    pub skew: f64,
    pub engines: usize,
    pub slots: u64,
    /// The mean time of the answer alone, which varies evenly by half of it.
    pub service: f64,
    /// The time of the prompt's prefix where it isn't cached.
    pub prefill: f64,
    /// Requests a second.
    pub rate: f64,
    pub seconds: f64,
    pub report_lag: f64,
    pub deadline: f64,
    /// How many prefixes there are; request `i` has the first with chance `hot`.
    pub prefixes: u64,
    pub hot: f64,
    /// How many prefixes an engine keeps.
    pub cache: usize,
    /// The first engine takes this many times as long.
    pub slow: f64,
    /// The first engine fails each request after 10 ms.
    pub broken: bool,
    /// The first engine joins late, and is slow for so many seconds.
    pub warm_after: Option<f64>,
    /// Whether the VMs know that it is new.
    pub known_new: bool,
    pub seed: u64,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            vms: 8,
            skew: 0.0,
            engines: 12,
            slots: 4,
            service: 1.0,
            prefill: 0.0,
            rate: 0.75 * 48.0,
            seconds: 120.0,
            report_lag: 1.0,
            deadline: 2.5,
            prefixes: 0,
            hot: 0.0,
            cache: 20,
            slow: 1.0,
            broken: false,
            warm_after: None,
            known_new: true,
            seed: 7,
        }
    }
}

/// What callers received.
#[derive(Debug)]
pub struct Result {
    /// Messages about slots that a VM gets in a second.
    pub messages: f64,
    /// The most requests inside one engine at once.
    pub fullest: u32,
    pub sent: usize,
    pub late: usize,
    pub failed: usize,
    pub median: f64,
    pub p99: f64,
    pub recomputed: usize,
    pub busiest_share: f64,
}
