//! How many upstreams a decision compares.
//!
//! Load pattern: two hundred VMs know the same loads, a fifth of a second old, and the least loaded engine is the same for all
//! of them. Compared by each with all others, it would get all requests of that fifth of a second; it would be full when the
//! next loads are told, and another one would be next. Compared within a few that each VM draws, an engine gets no more than
//! a few shares of what comes.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::cold::Share;
use super::model::Model;
use super::tracked::Tracked;
use crate::decide::sharing::UPDATE_INTERVAL;
use crate::id;

/// Two are far better than one drawn blindly, however old the loads are.
const LEAST: usize = 2;

/// The requests of other VMs that the best upstream may get unseen, beyond its part of them all.
const UNSEEN: f64 = 2.0;

/// What is told is as old as this as a rule: a round until a host hears of it, and half of one until it tells.
const AGE: Duration = UPDATE_INTERVAL.saturating_mul(3).checked_div(2).expect("two is not zero");

/// A candidate.
pub type Candidate<'a> = (&'a id::Upstream, &'a Tracked);

/// The requests of other VMs that come to each of so many upstreams before this VM is told of them.
pub fn unseen(count: usize, model: &Model, share: Share, now: Instant) -> f64 {
    let others = f64::from(share.senders() - 1);
    model.rate(now) * others * AGE.as_secs_f64() / count.max(1) as f64
}

/// How many of them may be compared, so that the best one isn't overrun by requests that no VM has seen.
pub fn size(candidates: &[Candidate<'_>], unseen: f64, now: Instant) -> usize {
    let count = candidates.len();
    let is_shared = candidates.iter().any(|(_, tracked)| tracked.is_shared(now));
    if !is_shared || count <= LEAST {
        return count;
    }
    let most = (UNSEEN / unseen).ceil();
    if most < count as f64 { LEAST.max(most as usize) } else { count }
}

/// Brings so many of them, drawn at random, to the front, and besides those that a request has a reason to go to; counts both.
pub fn draw<'a>(
    candidates: &mut [Candidate<'a>],
    most: usize,
    rng: &mut impl Rng,
    is_wanted: impl Fn(&Candidate<'a>) -> bool,
) -> usize {
    if most >= candidates.len() {
        return candidates.len();
    }
    for nth in 0..most {
        let drawn = rng.random_range(nth..candidates.len());
        candidates.swap(nth, drawn);
    }
    let mut front = most;
    for nth in most..candidates.len() {
        if is_wanted(&candidates[nth]) {
            candidates.swap(front, nth);
            front += 1;
        }
    }
    front
}
