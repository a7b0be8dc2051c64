//! The side of a VM that uses an upstream's slots.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::host::FALLBACK;
use super::host::LEASE;
use super::message::Ask;
use super::message::Grant;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Slots;

/// How often a grant is renewed.
pub const RENEW: Duration = Duration::from_secs(1);

/// The shortest time between two asks when the demand changes: one trip within a region and a little more, so
/// that a burst of arrivals makes one ask.
pub const SOONEST: Duration = Duration::from_millis(20);

/// How long slots that are no longer needed are held: mostly the next request comes first, and two messages for each
/// request would be most of what a VM may spend on control.
pub const RELEASE: Duration = Duration::from_millis(100);

/// The most asks whose sending time is remembered.
const ASKS: usize = 8;

/// What a VM knows of its share of one upstream's slots.
#[derive(Debug)]
pub struct Holder {
    /// The VM that shares them out.
    pub host: id::Vm,
    upstream: id::Upstream,
    incarnation: Incarnation,
    asks: VecDeque<(u64, Instant)>,
    applied: u64,
    granted: u64,
    until: Instant,
    fallback: Option<u64>,
    running: u64,
    wanted: u64,
    hurry: Option<Duration>,
    since: Instant,
}

impl Holder {
    /// A holder without any slots yet.
    pub fn new(
        upstream: id::Upstream,
        incarnation: Incarnation,
        host: id::Vm,
        now: Instant,
    ) -> Self {
        Self {
            host,
            upstream,
            incarnation,
            asks: VecDeque::new(),
            applied: 0,
            granted: 0,
            until: now,
            fallback: None,
            running: 0,
            wanted: 0,
            hurry: Some(SOONEST),
            since: now,
        }
    }

    /// Another VM shares the slots out now; what is held stays in force until its time is over.
    pub fn move_to(&mut self, host: id::Vm) {
        if self.host != host {
            self.host = host;
            self.asks.clear();
            self.hurry = Some(SOONEST);
        }
    }

    /// What this VM has inside the upstream, and could have if it had slots enough.
    pub fn demand(&mut self, running: Slots, wanted: Slots) {
        let (running, wanted) = (running.get(), wanted.get());
        if wanted != self.wanted && wanted > self.granted {
            self.hurry = Some(SOONEST);
        } else if wanted < self.granted {
            self.hurry = self.hurry.or(Some(RELEASE));
        }
        self.running = running;
        self.wanted = wanted;
    }

    /// The ask that is due now, if one is, under that number, which is above those of all asks before it.
    pub fn poll(&mut self, number: u64, spare: Slots, now: Instant) -> Option<Ask> {
        let pause = self.hurry.unwrap_or(RENEW);
        let due =
            self.asks.back().is_none_or(|&(_, sent)| now.saturating_duration_since(sent) >= pause);
        if !due {
            return None;
        }
        self.hurry = None;
        self.asks.push_back((number, now));
        if self.asks.len() > ASKS {
            self.asks.pop_front();
        }
        Some(Ask {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            number,
            applied: self.applied,
            held: Slots::new(if now < self.until { self.granted } else { 0 }),
            running: Slots::new(self.running),
            wanted: Slots::new(self.wanted),
            spare,
        })
    }

    /// The host wants to be asked again.
    pub fn ask_again(&mut self, from: &id::Vm) {
        if *from == self.host {
            self.hurry = Some(SOONEST);
        }
    }

    /// Takes a grant from the host. Its time counts from when the ask was sent, so that it ends here before it
    /// ends in the host's account.
    pub fn granted(&mut self, from: &id::Vm, grant: &Grant) {
        let sent =
            self.asks.iter().find(|(number, _)| *number == grant.number).map(|&(_, sent)| sent);
        let Some(sent) = sent.filter(|_| *from == self.host && grant.number > self.applied) else {
            return;
        };
        if grant.slots.get() < self.granted {
            // The host counts the old grant until it hears that the new one is in force.
            self.hurry = Some(SOONEST);
        }
        self.applied = grant.number;
        self.granted = grant.slots.get();
        self.until = sent + grant.lease;
        self.fallback = Some(grant.fallback.get());
        self.asks.retain(|(number, _)| *number >= grant.number);
    }

    /// The slots that this VM may use.
    pub fn allowed(&self, now: Instant) -> Slots {
        if now < self.until {
            return Slots::new(self.granted);
        }
        let fallback = self.fallback.filter(|_| now < self.until + FALLBACK);
        // Whom the host has never answered, or not for long, uses one: some work is better than none.
        let unheard = u64::from(now >= self.since + LEASE);
        Slots::new(fallback.unwrap_or(unheard))
    }
}
