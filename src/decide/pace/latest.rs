//! The latest pace of an upstream, from the view of one VM.

use std::time::Duration;

use tokio::time::Instant;

use super::Notice;
use super::Pace;
use crate::decide::sharing::Key;

/// How long other VMs are told of a pace; after that it has decayed.
pub const NOTICE_TTL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Observation {
    pace: Pace,
    at: Instant,
    /// Whether this VM observed it.
    is_own: bool,
}

/// The latest observation of an upstream's pace.
#[derive(Debug, Clone, Copy, Default)]
pub struct Latest(Option<Observation>);

impl Latest {
    /// Records what the upstream stated in a response to this VM.
    pub const fn record(&mut self, pace: Pace, now: Instant) {
        self.0 = Some(Observation { pace, at: now, is_own: true });
    }

    /// Records what another VM of the region observed, if it is later than what is known.
    pub fn apply_notice(&mut self, notice: &Notice, now: Instant) {
        let Some(pace) = notice.pace().filter(|_| notice.age < NOTICE_TTL) else { return };
        let Some(at) = now.checked_sub(notice.age) else { return };
        if self.0.is_none_or(|known| known.at < at) {
            self.0 = Some(Observation { pace, at, is_own: false });
        }
    }

    /// Returns the expected pace; the usual one without an observation.
    pub fn pace(&self, now: Instant) -> Pace {
        self.0.map_or(Pace::USUAL, |latest| {
            latest.pace.after(now.saturating_duration_since(latest.at))
        })
    }

    /// Returns what to tell other VMs; `None` if the pace is not known from a response to this VM, is as usual or too old.
    pub fn notice(&self, upstream: Key, now: Instant) -> Option<Notice> {
        let latest = self.0.filter(|latest| latest.is_own && latest.pace.is_unusual())?;
        let age = now.saturating_duration_since(latest.at);
        (age < NOTICE_TTL).then_some(Notice { upstream, percent: latest.pace.percent(), age })
    }
}
