//! The size that the system is built towards, and what it may spend.

/// VMs in all.
pub const VMS: f64 = 350.0;
/// Upstreams in all.
pub const UPSTREAMS: f64 = 850.0;
/// Owners in steady use, each with one catalogue entry.
pub const OWNERS: f64 = 8_900.0;
/// Models in steady use.
pub const MODELS: f64 = 9.0;
/// Regions.
pub const REGIONS: f64 = 5.0;
/// VMs and upstreams of the largest region, ten times the smallest.
pub const LARGEST_VMS: f64 = 200.0;
/// Upstreams of the largest region.
pub const LARGEST_UPSTREAMS: f64 = 480.0;
/// VMs and upstreams of one data centre of the largest region, if it has three of the twelve.
pub const DATA_CENTRE_VMS: f64 = LARGEST_VMS / 3.0;
/// Upstreams of one data centre of the largest region.
pub const DATA_CENTRE_UPSTREAMS: f64 = LARGEST_UPSTREAMS / 3.0;
/// VMs of one rack: twelve to a rack is assumed.
pub const RACK_VMS: f64 = 12.0;
/// Changes of the catalogue a second: 850 a day.
pub const CHANGES: f64 = 850.0 / 86_400.0;
/// Changes of all upstreams' announcements: each one every ten minutes is assumed.
pub const UPSTREAM_PERIOD: f64 = 600.0;
/// Requests a second at the peak.
pub const REQUESTS: f64 = 1_800.0;
/// Tokens a second at the peak.
pub const TOKENS: f64 = 710_000.0;
/// The part of requests that is bound to a home; taken for those that need the ledger as well.
pub const BOUND: f64 = 0.1;
/// Restarts a day.
pub const RESTARTS: f64 = 94.0;
/// Control VMs that may be set aside.
pub const CONTROL_VMS: f64 = 9.0;

/// What a VM may spend on control: nanoseconds of processor time a second (1.6% of a core).
pub const CPU_NANOS: f64 = 16e6;
/// Bytes a second.
pub const BYTES: f64 = 14_000.0;
/// Bytes of memory.
pub const MEMORY: f64 = 256e6;
