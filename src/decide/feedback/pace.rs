//! The rate to keep to at an upstream with a rate limit, and after the limit has ended.

use std::time::Duration;

use crate::decide::sharing::Key;
use crate::decide::turns::Sender;
use crate::decide::turns::Turns;
use crate::unit::Rate;

/// Lower bound of the rate over all VMs. An upstream that is sent nothing can't show that its limit has ended.
const MIN_RATE: f64 = 0.25;

/// How long a turn remains valid. A VM with fewer turns may use each of them longer, since it can use each only once.
///
/// Over 4 s, all VMs together send at most five times the limit per second, plus one request.
const MIN_VALIDITY: Duration = Duration::from_millis(500);
const MAX_VALIDITY: Duration = Duration::from_secs(1);

/// After a limit has ended, the rate doubles at this interval, so that requests don't all move to the upstream at once.
const RAMP_INTERVAL: Duration = Duration::from_millis(250);

/// Number of doublings after which the rate is unlimited.
const RAMP_STEPS: u32 = 12;

/// A rate over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace(Rate);

impl Pace {
    /// The pace of a limit.
    pub fn limited(rate: Rate) -> Self {
        Self(Rate::per_second(rate.get().max(MIN_RATE)))
    }

    /// The pace that long after a limit ended; `None` if it has no more effect.
    pub fn released(rate: Rate, elapsed: Duration) -> Option<Self> {
        let steps = elapsed.as_millis() / RAMP_INTERVAL.as_millis();
        let steps = u32::try_from(steps).ok().filter(|steps| *steps < RAMP_STEPS)?;
        let Self(limited) = Self::limited(rate);
        Some(Self(Rate::per_second(limited.get() * f64::from(1 << steps))))
    }

    /// The VMs' turns at the upstream.
    pub fn turns(self, key: Key, sender: &Sender) -> Turns {
        let half_interval = f64::from(sender.count()) / self.0.get() / 2.0;
        let validity = Duration::try_from_secs_f64(half_interval).unwrap_or(MAX_VALIDITY);
        Turns { key, rate: self.0, validity: validity.clamp(MIN_VALIDITY, MAX_VALIDITY) }
    }
}
