//! What the VMs of the region tell each other of an upstream.

use std::time::Duration;

use tokio::time::Instant;

use super::Tracked;
use crate::decide::engine::Speed;
use crate::decide::place::Shared;
use crate::decide::sharing;
use crate::decide::sharing::Key;
use crate::decide::sharing::Load;

/// An upstream with requests of which no VM has seen anything for so long, and for twice the time that it needs to read what
/// waits there, has gone dark.
const DARK: Duration = Duration::from_millis(700);
const DARK_READS: f64 = 2.0;

impl Tracked {
    /// Names this start of it among the VMs of the region.
    pub fn key(&self) -> Key {
        self.key
    }

    /// How long ago it was told what the other VMs of the region have there; none where that counts no more.
    pub fn told_age(&self, now: Instant) -> Option<Duration> {
        let (_, at) = self.others?;
        let age = now.saturating_duration_since(at);
        (age < sharing::SUMMARY_TTL).then_some(age)
    }

    /// Whether the VMs of the region share what they have there at present.
    pub fn is_shared(&self, now: Instant) -> bool {
        self.told_age(now).is_some()
    }

    /// What the other VMs of the region have there, where that was told lately.
    pub fn region(&self, now: Instant) -> Option<Load> {
        let age = self.told_age(now)?;
        self.others.map(|(load, _)| load.aged(age))
    }

    /// Takes what the other VMs of the region have there.
    pub fn told_by_host(&mut self, load: Load, now: Instant) {
        self.others = Some((load, now));
    }

    /// Another VM sent a prompt with that part there.
    pub fn used_by_other(&mut self, shared: Shared, now: Instant) {
        if let Some(memory) = self.seen.memory {
            self.cache.used(shared, memory, now);
        }
    }

    /// What this VM has there, for the others.
    pub fn load(&self, now: Instant) -> Load {
        let since = |then: Option<Instant>| then.map(|then| now.saturating_duration_since(then));
        let (heard, busy) = (since(self.heard), since(self.busy_since));
        let quiet = busy.map(|busy| heard.map_or(busy, |heard| heard.min(busy)));
        let evidence = self.health.evidence(now);
        Load {
            running: self.running,
            unread: self.unread,
            unread_tokens: self.unread_tokens.get(),
            memory: self.memory.get(),
            answered: evidence.answered.round() as u32,
            failed: evidence.failed.round() as u32,
            unreachable: u32::from(self.health.is_away(now)),
            heard,
            quiet: quiet.unwrap_or_default(),
        }
    }

    /// Whether several other VMs can't connect to it, and none had an answer of it lately.
    ///
    /// Failure: an engine crashes, and each VM of the region loses a request of its own to find that out.
    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        self.region(now).is_some_and(|load| load.unreachable >= 2 && load.answered == 0)
    }

    /// Whether VMs wait for it and none has seen anything of it for longer than what waits there explains.
    ///
    /// Failure: an engine goes dark without closing its connections. It answers nobody, so nothing speaks against it, and its
    /// requests wait until their time is over.
    pub(super) fn is_dark(&self, speed: &Speed, now: Instant) -> bool {
        let own = self.load(now);
        let all = self.region(now).map_or(own, |others| own.merge(others));
        let reads = speed.reading(all.unread_tokens as f64);
        let patience =
            DARK + Duration::try_from_secs_f64(DARK_READS * reads).unwrap_or(Duration::MAX);
        all.quiet > patience && all.heard.is_none_or(|heard| heard > patience)
    }
}
