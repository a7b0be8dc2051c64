//! The side of the VM that an upstream announces to: it shares out the slots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::message::Ask;
use super::message::Grant;
use crate::decide::route::rendezvous;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Slots;
use crate::upstream::registry;

/// How long a grant holds. It is renewed each second, so two lost renewals are borne.
pub const LEASE: Duration = Duration::from_secs(3);

/// How much longer the host counts a grant than its holder: 1% covers clocks that run apart by far more than any
/// quartz does, and the holder counts from before its ask was sent.
pub const DRIFT: Duration = Duration::from_millis(30);

/// How long the fallback share holds after the lease; the host keeps it back for as long.
pub const FALLBACK: Duration = Duration::from_secs(60);

/// How long a host grants after the upstream last announced to it.
pub const ANNOUNCED: Duration = registry::LEASE;

/// How long a new host grants nothing beyond what VMs hold already: the one before it may have granted until
/// [`ANNOUNCED`] ran out, and those grants hold for [`LEASE`].
pub const TAKEOVER: Duration = ANNOUNCED.saturating_add(LEASE).saturating_add(DRIFT);

/// How long the host of an upstream that seems to have just started grants nothing beyond what VMs hold. It may have
/// restarted itself and forgotten its grants; within a renewal all VMs have told what they hold.
pub const HEARD: Duration = Duration::from_millis(1_200);

/// One part in so many of the slots is shared out for the time that the host can't be reached.
const RESERVED: u64 = 4;

/// The host's account of one upstream's slots.
#[derive(Debug)]
pub struct Host {
    slots: u64,
    cautious_until: Instant,
    /// Whether the VMs were told that the caution is over.
    is_open: bool,
    announced: Instant,
    holders: BTreeMap<id::Vm, Account>,
    prompts: BTreeSet<id::Vm>,
}

/// What one VM may be using.
#[derive(Debug)]
struct Account {
    incarnation: Incarnation,
    number: u64,
    held: u64,
    running: u64,
    wanted: u64,
    spare: u64,
    granted: Vec<Granted>,
    fallback: u64,
    last: Instant,
}

#[derive(Debug)]
struct Granted {
    number: u64,
    slots: u64,
}

impl Host {
    /// The account of an upstream that has just begun to announce to this VM, which grants nothing beyond what is
    /// held for so long.
    pub fn new(slots: Slots, caution: Duration, now: Instant) -> Self {
        Self {
            slots: slots.get(),
            cautious_until: now + caution,
            is_open: caution.is_zero(),
            announced: now,
            holders: BTreeMap::new(),
            prompts: BTreeSet::new(),
        }
    }

    /// The upstream has announced to this VM again.
    pub fn announced(&mut self, slots: Slots, now: Instant) {
        self.slots = slots.get();
        self.announced = now;
    }

    /// Answers an ask; none for one that was overtaken, since its answer would count for nothing. A host that the
    /// upstream no longer announces to grants nothing: it may announce to another by now, whose takeover counts
    /// on this.
    pub fn ask(
        &mut self,
        vm: &id::Vm,
        ask: &Ask,
        members: &[id::Vm],
        now: Instant,
    ) -> Option<Grant> {
        let stale = |old: &Account| (old.incarnation, old.number) >= (ask.incarnation, ask.number);
        if now >= self.announced + ANNOUNCED || self.holders.get(vm).is_some_and(stale) {
            return None;
        }
        self.holders.retain(|_, account| account.is_kept(now));
        let fallback = self.fallback(vm, ask, members);
        self.note(vm, ask, fallback, now);
        let slots = self.share(vm, &ask.upstream, now);
        let account = self.holders.get_mut(vm)?;
        account.granted.push(Granted { number: ask.number, slots });
        self.prompt(vm, now);
        Some(Grant {
            upstream: ask.upstream.clone(),
            number: ask.number,
            slots: Slots::new(slots),
            lease: LEASE,
            fallback: Slots::new(fallback),
        })
    }

    /// The slots that VMs may be using by this host's word.
    pub fn outstanding(&self, now: Instant) -> Slots {
        Slots::new(self.holders.values().map(|account| account.busy(now)).sum())
    }

    fn note(&mut self, vm: &id::Vm, ask: &Ask, fallback: u64, now: Instant) {
        let old = self.holders.remove(vm).filter(|old| old.incarnation == ask.incarnation);
        // Grants that the holder has not applied may still reach it, and out of order.
        let mut granted = old.map_or_else(Vec::new, |account| account.granted);
        granted.retain(|granted| granted.number > ask.applied);
        let account = Account {
            incarnation: ask.incarnation,
            number: ask.number,
            held: ask.held.get(),
            running: ask.running.get(),
            wanted: ask.wanted.get().max(ask.running.get()),
            spare: ask.spare.get(),
            granted,
            fallback,
            last: now,
        };
        self.holders.insert(vm.clone(), account);
    }

    /// The VMs that should ask again now.
    pub fn prompts(&mut self, now: Instant) -> BTreeSet<id::Vm> {
        if !self.is_open && now >= self.cautious_until {
            self.is_open = true;
            return self.holders.keys().cloned().collect();
        }
        std::mem::take(&mut self.prompts)
    }

    /// What the VM may have: its fair share by demand and of what is to spare, as far as others have left it.
    fn share(&self, vm: &id::Vm, upstream: &id::Upstream, now: Instant) -> u64 {
        let Some(account) = self.holders.get(vm) else { return 0 };
        let others = self.holders.iter().filter(|(other, _)| *other != vm);
        let busy: u64 = others.map(|(_, account)| account.busy(now)).sum();
        let free = self.slots.saturating_sub(busy);
        if now < self.cautious_until {
            return account.held.min(free);
        }
        let (level, left) = self.level(now);
        let spare = if left > 0 { self.spare(vm, upstream, left, now) } else { 0 };
        (account.wanted.min(level) + spare).min(free)
    }

    /// The level to which demands can be met, and the slots that are left beyond all demand.
    fn level(&self, now: Instant) -> (u64, u64) {
        let lost = self.holders.values().filter(|a| !a.is_leased(now)).map(|a| a.busy(now)).sum();
        let slots = self.slots.saturating_sub(lost);
        let wanted = self.leased(now).map(|(_, account)| account.wanted);
        let level = level(slots, wanted.collect());
        let met: u64 = self.leased(now).map(|(_, account)| account.wanted.min(level)).sum();
        (level, slots.saturating_sub(met))
    }

    /// The VM's part of the slots that nobody needs. An odd one goes to the VMs by rendezvous hash, so that each VM
    /// has some on one upstream or another.
    fn spare(&self, vm: &id::Vm, upstream: &id::Upstream, left: u64, now: Instant) -> u64 {
        let count = self.leased(now).filter(|(_, account)| account.spare > 0).count().max(1) as u64;
        let key = xxhash_rust::xxh3::xxh3_64(upstream.as_str().as_bytes());
        let weight = |vm: &id::Vm| rendezvous::weight(key, vm.as_str());
        let own = weight(vm);
        let ahead = self.leased(now).filter(|(_, account)| account.spare > 0);
        let ahead = ahead.filter(|(other, _)| weight(other) > own).count() as u64;
        let part = left / count + u64::from(ahead < left % count);
        self.holders.get(vm).map_or(0, |account| account.spare.min(part))
    }

    fn leased(&self, now: Instant) -> impl Iterator<Item = (&id::Vm, &Account)> {
        self.holders.iter().filter(move |(_, account)| account.is_leased(now))
    }

    /// Notes which VMs should ask again after one has asked: those that hold slots which another needs, and those
    /// that need what has become free. Each has then a grant by its share, and is not asked again for the same.
    fn prompt(&mut self, asked: &id::Vm, now: Instant) {
        if now < self.cautious_until {
            return;
        }
        let (level, _) = self.level(now);
        let busy: u64 = self.holders.values().map(|account| account.busy(now)).sum();
        let unmet = |account: &Account| account.last_grant() < account.wanted.min(level);
        let needed = self.leased(now).any(|(_, account)| unmet(account));
        let prompts = self.leased(now).filter(|(vm, account)| {
            let holds_more = account.last_grant() > account.wanted.min(level);
            let waits = unmet(account) && busy < self.slots;
            *vm != asked && needed && (holds_more || waits)
        });
        let prompts: BTreeSet<id::Vm> = prompts.map(|(vm, _)| vm.clone()).collect();
        self.prompts.extend(prompts);
    }

    /// The slots for the time that this host can't be reached. What is reserved goes round by rendezvous hash
    /// where there are more VMs than reserved slots, and never beyond what is reserved.
    fn fallback(&self, vm: &id::Vm, ask: &Ask, members: &[id::Vm]) -> u64 {
        let reserved = (self.slots / RESERVED).max(1).min(self.slots);
        let members_count = members.len().max(1) as u64;
        let even = reserved / members_count;
        let rest = (reserved % members_count) as usize;
        let key = xxhash_rust::xxh3::xxh3_64(ask.upstream.as_str().as_bytes());
        let weight = |vm: &id::Vm| rendezvous::weight(key, vm.as_str());
        let own = weight(vm);
        let ahead = members.iter().filter(|other| *other != vm && weight(other) > own).count();
        let wanted = even + u64::from(ahead < rest);
        let told = self.holders.iter().filter(|(other, _)| *other != vm).map(|(_, a)| a.fallback);
        wanted.min(reserved.saturating_sub(told.sum()))
    }
}

impl Account {
    fn is_leased(&self, now: Instant) -> bool {
        now < self.last + LEASE + DRIFT
    }

    fn is_kept(&self, now: Instant) -> bool {
        now < self.last + LEASE + FALLBACK + DRIFT
    }

    fn last_grant(&self) -> u64 {
        self.granted.last().map_or(self.held, |granted| granted.slots)
    }

    /// The slots that the VM may be using: any grant that may be in force, and what runs beyond a shrunk one.
    fn busy(&self, now: Instant) -> u64 {
        if !self.is_leased(now) {
            return if self.is_kept(now) { self.fallback } else { 0 };
        }
        let granted = self.granted.iter().map(|granted| granted.slots).max().unwrap_or(0);
        granted.max(self.held).max(self.running)
    }
}

/// The level to which demands can be met, so that the sum is within `slots`: smaller demands are met whole, and
/// what they leave is shared evenly. One slot may be over for the level's rounding, which the caller's limit by
/// what is free takes care of.
fn level(slots: u64, mut wanted: Vec<u64>) -> u64 {
    wanted.sort_unstable();
    let mut left = slots;
    for (index, &want) in wanted.iter().enumerate() {
        let rest = (wanted.len() - index) as u64;
        if want.saturating_mul(rest) > left {
            return left.div_ceil(rest);
        }
        left -= want;
    }
    slots
}
