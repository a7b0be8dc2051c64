//! The slots of upstreams, shared by the VMs of a region.
//!
//! Load pattern: several VMs send to the same upstreams, with unlike demand that changes by the second. If each
//! sent as it liked, their sum would exceed an upstream's slots: requests would then wait inside the engine,
//! where no deadline, weight or class counts, and can't be taken back. If each had a fixed share, one VM's
//! callers would wait while other VMs' shares lie idle.
//!
//! The VM that an upstream announces to (its host VM) leases the slots out by demand. A holder counts its lease
//! from the moment it asked, the host from the moment it answered, so the sum over VMs stays within the slots,
//! whatever is lost, late, doubled or reordered. Exceptions, all bounded:
//! - VMs that lose the host fall back on a share of a quarter of the slots. The host keeps these shares back as
//!   soon as it misses the VMs, but what it has granted to others by then runs on for up to a lease and until
//!   the requests end: the sum may exceed the slots by a quarter of them (at least one) for that time.
//! - A VM that has never heard from the host, or not for over a minute, uses one slot.
//! - What runs when a lease ends or shrinks is never cut off.

mod holder;
mod host;
mod message;

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use self::holder::Holder;
use self::host::Host;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Slots;

pub use holder::RELEASE;
pub use holder::RENEW;
pub use holder::SOONEST;
pub use host::FALLBACK;
pub use host::LEASE;
pub use host::TAKEOVER;
pub use message::Ask;
pub use message::Grant;
pub use message::Message;

/// One VM's shares of the upstreams that it uses, and the accounts of those that announce to it.
#[derive(Debug)]
pub struct Pool {
    vm: id::Vm,
    incarnation: Incarnation,
    number: u64,
    spare: Slots,
    members: Vec<id::Vm>,
    hosted: BTreeMap<id::Upstream, Host>,
    held: BTreeMap<id::Upstream, Holder>,
}

impl Pool {
    /// The pool of this VM, in this start of it: a restarted VM must have a higher incarnation.
    pub fn new(vm: id::Vm, incarnation: Incarnation) -> Self {
        let members = vec![vm.clone()];
        Self {
            vm,
            incarnation,
            number: 0,
            spare: Slots::ZERO,
            members,
            hosted: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// The same, with slots that are held on each upstream beyond the demand, while nobody else needs them: the next
    /// request then starts without asking.
    #[must_use]
    pub fn with_spare(self, spare: Slots) -> Self {
        Self { spare, ..self }
    }

    /// The live VMs of the region; fallback shares are worked out from them.
    pub fn members(&mut self, members: Vec<id::Vm>) {
        self.members = members;
    }

    /// An upstream announces to this VM or renews; to be called each time. `started` tells that it has just started, by a new incarnation.
    pub fn hosts(&mut self, upstream: &id::Upstream, slots: Slots, started: bool, now: Instant) {
        match self.hosted.get_mut(upstream) {
            Some(host) if !started => host.announced(slots, now),
            _ => {
                let host = Host::new(slots, self.caution(started), now);
                self.hosted.insert(upstream.clone(), host);
            }
        }
        self.follows(upstream, &self.vm.clone(), now);
    }

    /// How long a new host waits: not at all where no other VM could hold a grant.
    fn caution(&self, started: bool) -> Duration {
        if self.members.iter().all(|vm| *vm == self.vm) {
            return Duration::ZERO;
        }
        if started { host::HEARD } else { TAKEOVER }
    }

    /// This VM uses an upstream that announces to that VM. One that this VM was the host of is so no longer.
    pub fn follows(&mut self, upstream: &id::Upstream, host: &id::Vm, now: Instant) {
        if *host != self.vm {
            self.hosted.remove(upstream);
        }
        if let Some(holder) = self.held.get_mut(upstream) {
            return holder.move_to(host.clone());
        }
        let holder = Holder::new(upstream.clone(), self.incarnation, host.clone(), now);
        self.held.insert(upstream.clone(), holder);
    }

    /// The upstream left, or its lease ran out.
    pub fn removed(&mut self, upstream: &id::Upstream) {
        self.hosted.remove(upstream);
        self.held.remove(upstream);
    }

    /// What this VM has inside the upstream, and could have if it had slots enough; call it on each change.
    pub fn demand(&mut self, upstream: &id::Upstream, running: Slots, wanted: Slots) {
        if let Some(holder) = self.held.get_mut(upstream) {
            holder.demand(running, wanted);
        }
    }

    /// The messages that are due now, each with the VM that it is for. Call it each [`SOONEST`], and after a demand
    /// that rises.
    pub fn poll(&mut self, now: Instant) -> Vec<(id::Vm, Message)> {
        let mut due = Vec::new();
        for (upstream, holder) in &mut self.held {
            // One count for all asks: an upstream that goes and comes back must not begin at one again.
            let Some(ask) = holder.poll(self.number + 1, self.spare, now) else { continue };
            self.number += 1;
            if holder.host != self.vm {
                due.push((holder.host.clone(), Message::Ask(ask)));
                continue;
            }
            let host = self.hosted.get_mut(upstream);
            let grant = host.and_then(|host| host.ask(&self.vm, &ask, &self.members, now));
            if let Some(grant) = grant {
                holder.granted(&self.vm, &grant);
            }
        }
        for (upstream, host) in &mut self.hosted {
            for vm in host.prompts(now) {
                let again = Message::AskAgain { upstream: upstream.clone() };
                due.push((vm, again));
            }
        }
        self.ask_own_again(&mut due);
        due
    }

    /// Takes out what this VM would tell itself.
    fn ask_own_again(&mut self, due: &mut Vec<(id::Vm, Message)>) {
        due.retain(|(vm, message)| {
            let Message::AskAgain { upstream } = message else { return true };
            if *vm != self.vm {
                return true;
            }
            if let Some(holder) = self.held.get_mut(upstream) {
                holder.ask_again(vm);
            }
            false
        });
    }

    /// Takes a message from another VM, and returns the answer to it.
    pub fn receive(&mut self, from: &id::Vm, message: &Message, now: Instant) -> Option<Message> {
        match message {
            Message::Ask(ask) => {
                let host = self.hosted.get_mut(&ask.upstream)?;
                host.ask(from, ask, &self.members, now).map(Message::Grant)
            }
            Message::Grant(grant) => {
                self.held.get_mut(&grant.upstream)?.granted(from, grant);
                None
            }
            Message::AskAgain { upstream } => {
                self.held.get_mut(upstream)?.ask_again(from);
                None
            }
        }
    }

    /// How many slots of the upstream this VM may use now; to be told to the route after each change.
    pub fn allowed(&self, upstream: &id::Upstream, now: Instant) -> Slots {
        self.held.get(upstream).map_or(Slots::ZERO, |holder| holder.allowed(now))
    }

    /// The upstreams that this VM uses, each with the slots that it may use now.
    pub fn shares(&self, now: Instant) -> impl Iterator<Item = (&id::Upstream, Slots)> {
        self.held.iter().map(move |(upstream, holder)| (upstream, holder.allowed(now)))
    }

    /// The slots of an upstream that announces here which VMs may be using.
    pub fn outstanding(&self, upstream: &id::Upstream, now: Instant) -> Option<Slots> {
        self.hosted.get(upstream).map(|host| host.outstanding(now))
    }
}

#[cfg(test)]
mod tests;
