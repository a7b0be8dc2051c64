//! The leases of upstreams that announce themselves to this VM, and which facts about upstreams count.

use std::sync::Arc;

use thiserror::Error;
use tokio::time::Instant;

use super::config::ORPHAN_GRACE;
use super::fact::Fact;
use super::fact::State;
use super::key::Key;
use super::member::Member;
use super::stamp::Version;
use crate::id;
use crate::unit::Incarnation;

/// An announcement that was overtaken by a newer one, or by the upstream's leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "a newer announcement of this upstream is known, or it has left; announce a new incarnation"
)]
pub struct Stale;

/// The last announcement of an upstream whose lease this VM holds.
#[derive(Debug)]
pub(super) struct Held {
    incarnation: Incarnation,
    version: Version,
}

impl Member {
    /// Takes in an announcement or renewal that an upstream sent to this VM.
    ///
    /// `version` counts the announcements of one incarnation. Only what changed is spread.
    pub fn announce(
        &mut self,
        upstream: &id::Upstream,
        incarnation: Incarnation,
        version: Version,
        payload: Vec<u8>,
        now: Instant,
    ) -> Result<(), Stale> {
        let held = self.held.get(upstream);
        if held.is_some_and(|held| (held.incarnation, held.version) >= (incarnation, version)) {
            return Err(Stale);
        }
        let key = Key::Upstream(upstream.clone());
        let fact = Fact {
            key,
            incarnation,
            version,
            state: State::Present,
            birth: self.birth,
            holder: Some(self.config.vm.clone()),
            payload,
        };
        let known = self.store.get(&fact.key).map(|known| Arc::clone(&known.fact));
        if known.as_ref().is_some_and(|known| known.stamp() >= fact.stamp()) {
            return Err(Stale);
        }
        self.held.insert(upstream.clone(), Held { incarnation, version });
        if !known.is_some_and(|known| Fact { version, ..(*known).clone() } == fact) {
            self.write(fact, now);
        }
        Ok(())
    }

    /// The lease of an upstream that announces itself to this VM ran out.
    ///
    /// It may have lost only its way to this VM: any newer announcement, here or elsewhere, brings it
    /// back, and a renewal that was sent before the lease ran out doesn't.
    pub fn expire(&mut self, upstream: &id::Upstream, now: Instant) {
        let Some(held) = self.held.remove(upstream) else { return };
        let Some(known) = self.store.get(&Key::Upstream(upstream.clone())) else { return };
        if known.fact.state == State::Present && known.fact.incarnation == held.incarnation {
            let fact = Fact { version: held.version, ..(*known.fact).clone() };
            self.write(fact.with_state(State::Suspected), now);
        }
    }

    /// An upstream said that it leaves; no announcement of this incarnation or an older one counts now.
    pub fn leave(&mut self, upstream: &id::Upstream, incarnation: Incarnation, now: Instant) {
        if self.held.get(upstream).is_some_and(|held| held.incarnation <= incarnation) {
            self.held.remove(upstream);
        }
        let fact = Fact {
            key: Key::Upstream(upstream.clone()),
            incarnation,
            version: Version::default(),
            state: State::Gone,
            birth: 0,
            holder: None,
            payload: Vec::new(),
        };
        self.write(fact, now);
    }

    /// A fact about an upstream needs a holder that is alive and the same process as then.
    pub(super) fn in_force(&self, fact: &Fact, now: Instant) -> bool {
        let (Key::Upstream(_), State::Present) = (&fact.key, fact.state) else {
            let upstream = matches!(fact.key, Key::Upstream(_));
            return fact.state == State::Present || (fact.state == State::Suspected && !upstream);
        };
        let Some(holder) = &fact.holder else { return false };
        match self.store.get(&Key::Vm(holder.clone())) {
            Some(vm) if !vm.stamp.gone && vm.fact.birth == fact.birth => true,
            Some(vm) => now < vm.since + ORPHAN_GRACE,
            None => self.store.get(&fact.key).is_some_and(|own| now < own.since + ORPHAN_GRACE),
        }
    }

    /// A lease that this process is said to hold and doesn't: it left or ran out here, and the news
    /// comes from a VM that was cut off for so long that the record of it has been dropped.
    pub(super) fn upstream_changed(&mut self, upstream: &id::Upstream, fact: &Fact, now: Instant) {
        let mine = fact.birth == self.birth && fact.holder.as_ref() == Some(&self.config.vm);
        if !mine {
            self.held.remove(upstream);
        } else if fact.state == State::Present && !self.held.contains_key(upstream) {
            self.write(fact.clone().with_state(State::Suspected), now);
        }
    }
}
