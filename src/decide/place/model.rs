//! What a request asks of an upstream, and how long requests of a service take.

use std::time::Duration;

use crate::decide::route::Ewma;
use crate::unit::Tokens;

/// Prompt tokens that an engine reads in a second, until it was measured.
pub const READS_PER_SECOND: f64 = 50_000.0;

/// What reading a shared part again in another region costs all others, against the time that it takes: an engine there reads
/// nothing else meanwhile, another part yields its memory, and the region has its own parts to read.
pub const AGAIN: f64 = 4.0;

/// The time that an engine takes to read so much, until its own rate was measured.
pub fn read_time(reads: Tokens) -> Duration {
    Duration::from_secs_f64(reads.get() as f64 / READS_PER_SECOND)
}

/// The part of a prompt that other requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shared {
    /// Names it.
    pub key: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// What a request asks of an engine; nothing at all of a plain service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// The shared part that is worth looking for.
    pub shared: Option<Shared>,
    /// The rest of the prompt.
    pub own: Tokens,
    /// The most that it generates.
    pub output: Tokens,
}

/// What is known of a service's requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Model {
    served: Ewma,
    reads: Ewma,
}

/// A first guess of the time that a request occupies its place; measurements replace it soon.
const SERVED: Duration = Duration::from_millis(200);

impl Model {
    /// A request was sent that has so much to read.
    pub fn sent(&mut self, reads: Tokens) {
        self.reads.add(reads.get() as f64);
    }

    /// A request occupied its place for so long, where it had to wait until that many rounds of others had ended before
    /// it, its own round included.
    ///
    /// Failure: a service at its limit is measured with the wait for its slots, and that mean is then multiplied by the
    /// rounds to wait. Twenty waiting requests, which cost 0.3 s, are taken for 1.3 s, and all further ones are refused.
    pub fn served(&mut self, took: Duration, rounds: f64) {
        self.served.add(took.as_secs_f64() / rounds.max(1.0));
    }

    /// The mean time that a request occupies its place.
    pub fn service_time(&self) -> Duration {
        self.served.get().map_or(SERVED, Duration::from_secs_f64)
    }

    /// The mean prompt that a request has to read, in tokens.
    pub fn mean_reads(&self) -> f64 {
        self.reads.get().unwrap_or(0.0)
    }
}
