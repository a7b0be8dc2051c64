//! Catalogue entries that tests share.

/// A short repeatable entry for engines.
pub const LOOKUP: &str = "
name: lookup
owner: bayou
class: short
models: [small]
home: gulf
deadline: 20s
repeat: allowed
prefers: latency
limits: { requests: 1000/s, tokens: 1000000/s, concurrency: 2000 }
";

/// The same, whose requests run at most once.
pub const MANDATE: &str = "
name: mandate
owner: prehod
class: long
models: [small]
home: gulf
bound: true
deadline: 20s
repeat: never
limits: { requests: 1000/s, tokens: 1000000/s, concurrency: 2000 }
";
