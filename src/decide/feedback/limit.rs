//! The rate limit of one upstream.

use std::time::Duration;

use tokio::time::Instant;

use super::RateNotice;
use super::Source;
use super::Statement;
use super::pace::Pace;
use crate::decide::sharing::Key;
use crate::decide::turns::Pacer;
use crate::decide::turns::Sender;
use crate::decide::turns::Turns;
use crate::unit::Rate;

/// How long VMs are told that a limit has ended. The others then have received the news, or a response of their own.
const END_NOTICE_TTL: Duration = Duration::from_secs(10);

/// What a response showed: a limit or that there is none.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Evidence {
    rate: Option<Rate>,
    at: Instant,
}

/// The rate limit of one upstream over all VMs.
#[derive(Debug, Default)]
pub struct Limit {
    latest: Option<Evidence>,
    source: Source,
    /// When the limit began. VMs of earlier releases count their turns from it.
    since: Option<Instant>,
    /// When the last limit ended, and its rate.
    ended: Option<(Instant, Rate)>,
    pacer: Pacer,
}

impl Limit {
    /// Records what a response stated. `sent_at` is when the request was sent.
    ///
    /// A response without a limit ends it only if its request was sent after the limit was last stated. An earlier one
    /// may have been answered before the limit began, and have been overtaken.
    pub fn record(&mut self, stated: &Statement<Rate>, sent_at: Instant, now: Instant) {
        match stated {
            Statement::Value(rate) => {
                let evidence = Evidence { rate: Some(*rate), at: now };
                self.update(evidence, Source::Response, now, now);
            }
            Statement::Absent if self.rate().is_some() => {
                let evidence = Evidence { rate: None, at: sent_at };
                self.update(evidence, Source::Response, now, now);
            }
            Statement::Absent | Statement::Invalid(_) => (),
        }
    }

    /// Applies what another VM received.
    pub fn apply_notice(&mut self, notice: &RateNotice, now: Instant) {
        let before = |age: Duration| now.checked_sub(age).unwrap_or(now);
        let evidence = Evidence { rate: notice.rate, at: before(notice.age) };
        let since = before(notice.since);
        self.update(evidence, Source::Vm, since, now);
        if notice.rate.is_some()
            && let Some(known) = self.since.as_mut()
        {
            *known = since.min(*known);
        }
    }

    /// Returns what this VM received, for the other VMs; `None` if another VM has later news.
    pub fn notice(&self, now: Instant) -> Option<RateNotice> {
        let latest = self.latest.filter(|_| self.source == Source::Response)?;
        let age = now.saturating_duration_since(latest.at);
        let since = self.since.map_or(age, |since| now.saturating_duration_since(since));
        let is_needed = latest.rate.is_some() || age < END_NOTICE_TTL;
        is_needed.then_some(RateNotice { rate: latest.rate, age, since })
    }

    /// Returns the limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.latest.and_then(|latest| latest.rate)
    }

    /// Returns when the upstream showed the current state, and how this VM knows.
    pub fn known(&self) -> Option<(Instant, Source)> {
        Some((self.latest?.at, self.source))
    }

    /// Returns how long requests of this VM to the upstream with the given key have to wait; zero if one may be sent now.
    pub fn wait(&self, key: Key, sender: &Sender, now: Instant) -> Duration {
        let turns = self.turns(key, sender, now);
        turns.map_or(Duration::ZERO, |turns| self.pacer.wait(&turns, sender, now))
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, key: Key, sender: &Sender, now: Instant) -> bool {
        let turns = self.turns(key, sender, now);
        turns.is_none_or(|turns| self.pacer.allows(&turns, sender, now))
    }

    /// Returns the interval between two requests of this VM; zero without a limit.
    pub fn interval(&self, key: Key, sender: &Sender, now: Instant) -> Duration {
        let turns = self.turns(key, sender, now);
        turns.map_or(Duration::ZERO, |turns| turns.share_interval(sender))
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, key: Key, sender: &Sender, now: Instant) {
        if let Some(turns) = self.turns(key, sender, now) {
            self.pacer.record_sent(&turns, sender, now);
        }
    }

    fn turns(&self, key: Key, sender: &Sender, now: Instant) -> Option<Turns> {
        Some(self.pace(now)?.turns(key, sender))
    }

    /// Returns the rate to keep to. After a limit has ended, it rises in steps.
    fn pace(&self, now: Instant) -> Option<Pace> {
        match (self.rate(), self.ended) {
            (Some(rate), _) => Some(Pace::limited(rate)),
            (None, Some((at, rate))) => Pace::released(rate, now.saturating_duration_since(at)),
            (None, None) => None,
        }
    }

    fn update(&mut self, evidence: Evidence, source: Source, since: Instant, now: Instant) {
        if self.latest.is_some_and(|latest| latest.at >= evidence.at) {
            return;
        }
        match (self.rate(), evidence.rate) {
            (None, Some(_)) => self.since = Some(since),
            (Some(rate), None) => self.ended = Some((now, rate)),
            _ => (),
        }
        self.latest = Some(evidence);
        self.source = source;
    }
}
