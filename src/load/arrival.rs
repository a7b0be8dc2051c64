//! When requests are sent.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::load::scenario::Caller;

/// Moments at which one kind of caller sends, from the start of the run, in order.
///
/// Independent callers arrive by a Poisson process; evenly spaced requests would never meet by chance and would hide
/// what queues do. Bursts come on top.
pub fn arrivals(caller: &Caller, time: Duration, rng: &mut SmallRng) -> Vec<Duration> {
    let mut moments = if caller.rate.get() > 0.0 { poisson(caller, time, rng) } else { Vec::new() };
    if let Some(burst) = caller.burst {
        let mut at = burst.every;
        while at < time {
            moments.extend((0..burst.count).map(|_| at));
            at += burst.every;
        }
    }
    moments.sort();
    moments
}

fn poisson(caller: &Caller, time: Duration, rng: &mut SmallRng) -> Vec<Duration> {
    let mut moments = Vec::new();
    let mut at = 0.0;
    loop {
        // 1 - r is never 0, so that the logarithm is finite.
        at -= (1.0 - rng.random::<f64>()).ln() / caller.rate.get();
        if at >= time.as_secs_f64() {
            return moments;
        }
        moments.push(Duration::from_secs_f64(at));
    }
}

#[cfg(test)]
mod tests;
