//! Random sampling of the upstreams that a decision compares.
//!
//! Load pattern: two hundred VMs share load data that is a fifth of a second old, and it shows all of them the same
//! least loaded engine. If each VM compared all engines, that one would receive all requests until the next update
//! (herd behaviour). Comparing a small random sample bounds how much one engine receives.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::service::ServiceStats;
use super::upstream::UpstreamState;
use crate::decide::sharing::UPDATE_INTERVAL;
use crate::decide::turns::Sender;
use crate::id;

/// The minimum sample size; two choices are far better than one, however old the load data.
const MIN_SAMPLE: usize = 2;

/// The maximum number of unreported requests, in excess of its even share, that the best upstream may receive.
const MAX_UNREPORTED: f64 = 2.0;

/// The typical age of load data: one round until the host receives it, and half a round until it is sent out.
const LOAD_AGE: Duration =
    UPDATE_INTERVAL.saturating_mul(3).checked_div(2).expect("two is not zero");

/// An upstream that can run the request.
pub type Candidate<'a> = (&'a id::Upstream, &'a UpstreamState);

/// Estimates the number of requests that other VMs send to each of `count` upstreams before this VM is informed.
pub fn unreported(count: usize, stats: &ServiceStats, sender: &Sender, now: Instant) -> f64 {
    let others = f64::from(sender.count() - 1);
    stats.rate(now) * others * LOAD_AGE.as_secs_f64() / count.max(1) as f64
}

/// Returns the sample size at which the best candidate is not overloaded by unreported requests.
pub fn size(candidates: &[Candidate<'_>], unreported: f64, now: Instant) -> usize {
    let count = candidates.len();
    let has_peer_load = candidates.iter().any(|(_, upstream)| upstream.has_peer_load(now));
    if !has_peer_load || count <= MIN_SAMPLE {
        return count;
    }
    let max = (MAX_UNREPORTED / unreported).ceil();
    if max < count as f64 { MIN_SAMPLE.max(max as usize) } else { count }
}

/// Moves `count` random candidates and all preferred ones to the front, and returns the number of both.
pub fn draw<'a>(
    candidates: &mut [Candidate<'a>],
    count: usize,
    rng: &mut impl Rng,
    is_preferred: impl Fn(&Candidate<'a>) -> bool,
) -> usize {
    if count >= candidates.len() {
        return candidates.len();
    }
    for nth in 0..count {
        let drawn = rng.random_range(nth..candidates.len());
        candidates.swap(nth, drawn);
    }
    let mut front = count;
    for nth in count..candidates.len() {
        if is_preferred(&candidates[nth]) {
            candidates.swap(front, nth);
            front += 1;
        }
    }
    front
}
