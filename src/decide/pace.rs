//! How fast an upstream is at this moment, relative to its usual speed.
//!
//! **Load pattern.** Upstreams share their machines with other work. For some hundred milliseconds at a time, one of them takes
//! two or three times as long for the same work, and states so in its responses.
//!
//! **Without it.** A slow upstream gets as many requests as others until its queue is long. What was measured in the meantime
//! makes all upstreams of the service look slower than they are.
//!
//! **Decision.** The latest [`Pace`] counts, whichever VM of the region observed it. The probability that a slow phase still goes
//! on falls exponentially with the time since it was observed, so an expected duration is the integral over a pace that decays
//! towards the usual one. Measured durations are converted to those at the usual pace in the same way.

mod latest;
mod notice;

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

pub use latest::Latest;
pub use latest::NOTICE_TTL;
pub use notice::Notice;

/// The time constant with which a pace decays towards the usual one. Slow phases last up to 600 ms.
const DECAY_TIME: Duration = Duration::from_millis(400);

/// Bounds of a plausible pace; an upstream beyond them is found by its failures instead.
const MIN_FACTOR: f64 = 0.1;
const MAX_FACTOR: f64 = 20.0;

/// The difference from the usual pace from which on other VMs are told of it.
const TOLERANCE: f64 = 0.1;

/// The factor by which work takes longer than usual.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(f64);

/// Why a text is no pace.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Error {
    /// It is no number.
    #[error("a pace is a number of percent: {0}")]
    Number(#[from] ParseFloatError),
    /// It is not plausible.
    #[error("a pace of {0}% is not between 10% and 2000%")]
    Bounds(f64),
}

impl Pace {
    /// The usual pace.
    pub const USUAL: Self = Self(1.0);

    /// The pace in percent, 100 as usual; `None` if it is not plausible.
    pub fn from_percent(percent: f64) -> Option<Self> {
        let factor = percent / 100.0;
        (MIN_FACTOR..=MAX_FACTOR).contains(&factor).then_some(Self(factor))
    }

    /// The factor by which work takes longer than usual.
    pub const fn factor(self) -> f64 {
        self.0
    }

    /// The pace in percent.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }

    /// Returns whether it differs from the usual pace by more than usual variation.
    pub fn is_unusual(self) -> bool {
        (self.0 - 1.0).abs() > TOLERANCE
    }

    /// Returns the expected pace that long after it was observed.
    #[must_use]
    pub fn after(self, age: Duration) -> Self {
        Self(1.0 + (self.0 - 1.0) * remaining(age.as_secs_f64()))
    }

    /// Returns the expected duration, in seconds, of work that starts now and usually takes `seconds`.
    pub fn duration(self, seconds: f64) -> f64 {
        let excess = self.0 - 1.0;
        seconds + DECAY_TIME.as_secs_f64() * (excess * (1.0 - remaining(seconds))).ln_1p()
    }

    /// Returns the mean factor by which work that starts now takes longer, if it usually takes `seconds`.
    pub fn mean_factor(self, seconds: f64) -> f64 {
        if seconds > 0.0 { self.duration(seconds) / seconds } else { self.0 }
    }

    /// Returns how long work usually takes that took `elapsed` and ended at this pace.
    pub fn usual_duration(self, elapsed: Duration) -> Duration {
        // A conversion to seconds and back would change the last digits.
        if self == Self::USUAL {
            return elapsed;
        }
        let (seconds, excess) = (elapsed.as_secs_f64(), self.0 - 1.0);
        // The pace before the end is assumed to be as likely as the one after it.
        let ratio = (1.0 + excess * remaining(seconds)) / self.0;
        let usual = seconds + DECAY_TIME.as_secs_f64() * ratio.ln();
        Duration::try_from_secs_f64(usual).unwrap_or(elapsed)
    }
}

/// The fraction of a pace's difference from the usual one that is left after some seconds.
fn remaining(seconds: f64) -> f64 {
    (-seconds / DECAY_TIME.as_secs_f64()).exp()
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.percent().fmt(f)
    }
}

impl FromStr for Pace {
    type Err = Error;

    /// Reads a pace in percent.
    fn from_str(text: &str) -> Result<Self, Error> {
        let percent: f64 = text.parse()?;
        Self::from_percent(percent).ok_or(Error::Bounds(percent))
    }
}

#[cfg(test)]
mod tests;
