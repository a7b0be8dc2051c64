//! What a control VM knows of upstreams and VMs, and what changed when.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::Announcement;
use super::Delta;
use super::Heartbeat;
use super::Presence;
use super::Stamp;
use super::Standing;
use super::delta::Fact;
use crate::id;
use crate::wire::Role;

/// A subject that has left or was replaced is remembered for so long, so that a statement that was held up on its way
/// does not bring it back. Statements come seconds late; a minute is several times that.
const REMEMBERED: Duration = Duration::from_secs(60);

/// How long a subject may be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// An upstream, which says something once a second or so and may be seconds late.
    pub upstream: Duration,
    /// A VM, which says something once a second.
    pub vm: Duration,
}

/// What became of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It tells something new that others must hear of at once.
    News,
    /// The subject is still as it was.
    Still,
    /// A newer statement was heard already, or another upstream has taken its address over.
    Stale,
}

/// One subject.
#[derive(Debug, Clone)]
struct Known<T> {
    said: T,
    /// When the statement with the newest stamp came.
    heard: Instant,
    /// When `said` was last replaced by something that matters; spans of time in it count from then.
    changed: Instant,
    revision: u64,
    silent: bool,
}

/// Upstreams and VMs as one control VM knows them.
#[derive(Debug)]
pub struct Table {
    patience: Patience,
    revision: u64,
    /// Below this revision, deletions are forgotten: a follower that is behind gets everything.
    floor: u64,
    upstreams: HashMap<id::Upstream, Known<Announcement>>,
    /// The upstream that took each address last.
    addresses: HashMap<SocketAddr, id::Upstream>,
    vms: HashMap<(id::Vm, Role), Known<Presence>>,
    /// The subjects by the digests of what they said last.
    digests: HashMap<u64, Subject>,
}

/// Whom a statement is about.
#[derive(Debug, Clone)]
enum Subject {
    Upstream(id::Upstream),
    Vm(id::Vm, Role),
}

/// What came of heartbeats.
#[derive(Debug, Default)]
pub struct StillThere {
    /// Whether some had been silent.
    pub is_news: bool,
    /// Digests of no statement that is known.
    pub unknown: Vec<u64>,
}

impl Table {
    /// An empty table.
    pub fn new(patience: Patience) -> Self {
        Self {
            patience,
            revision: 1,
            floor: 1,
            upstreams: HashMap::new(),
            addresses: HashMap::new(),
            vms: HashMap::new(),
            digests: HashMap::new(),
        }
    }

    /// Counts the changes.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes an upstream's statement, heard directly or passed on by another VM.
    pub fn announce(&mut self, said: Announcement, now: Instant) -> Taken {
        if let Some(known) = self.upstreams.get_mut(&said.id) {
            if said.stamp <= known.said.stamp {
                return Taken::Stale;
            }
            let since = now.saturating_duration_since(known.changed);
            let news = known.silent || said.says_more_than(&known.said, since);
            known.heard = now;
            known.said.stamp = said.stamp;
            if !news {
                return Taken::Still;
            }
        } else if self.is_older_tenant(&said) {
            return Taken::Stale;
        }
        self.put(said, now);
        Taken::News
    }

    /// An upstream leaves; `born` is none where it does not say which start of it leaves. It tells whether it was
    /// known.
    pub fn leave(&mut self, upstream: &id::Upstream, born: Option<u64>, now: Instant) -> bool {
        let Some(known) = self.upstreams.get(upstream) else { return false };
        let mut said = known.said.clone();
        if born.is_some_and(|born| born < said.stamp.born) {
            return true;
        }
        said.stamp = Stamp::last_of(born.unwrap_or(said.stamp.born));
        said.standing = Standing::Gone;
        self.put(said, now);
        true
    }

    /// Takes heartbeats: subjects are still there and as they were.
    pub fn still_there(&mut self, heartbeats: &[Heartbeat], now: Instant) -> StillThere {
        let mut taken = StillThere::default();
        for heartbeat in heartbeats {
            let renewed = match self.digests.get(&heartbeat.digest) {
                Some(Subject::Upstream(id)) => {
                    let known = self.upstreams.get_mut(id);
                    known.map(|known| known.renew(heartbeat.sequence, &mut self.revision, now))
                }
                Some(Subject::Vm(vm, role)) => {
                    let known = self.vms.get_mut(&(vm.clone(), *role));
                    known.map(|known| known.renew(heartbeat.sequence, &mut self.revision, now))
                }
                None => None,
            };
            match renewed {
                Some(is_news) => taken.is_news |= is_news,
                None => taken.unknown.push(heartbeat.digest),
            }
        }
        taken
    }

    /// The whole statements of those digests that are known.
    pub fn statements(&self, digests: &[u64]) -> (Vec<Announcement>, Vec<Presence>) {
        let subjects = digests.iter().filter_map(|digest| self.digests.get(digest));
        let (mut upstreams, mut vms) = (Vec::new(), Vec::new());
        for subject in subjects {
            match subject {
                Subject::Upstream(id) => upstreams.extend(self.upstream(id).cloned()),
                Subject::Vm(vm, role) => {
                    let known = self.vms.get(&(vm.clone(), *role));
                    vms.extend(known.map(|known| known.said.clone()));
                }
            }
        }
        (upstreams, vms)
    }

    /// What was last said by an upstream.
    pub fn upstream(&self, upstream: &id::Upstream) -> Option<&Announcement> {
        self.upstreams.get(upstream).map(|known| &known.said)
    }

    /// The upstreams that have not left and have not fallen silent.
    pub fn upstreams(&self) -> impl Iterator<Item = &Announcement> {
        let present =
            |known: &&Known<Announcement>| !known.silent && known.said.standing != Standing::Gone;
        self.upstreams.values().filter(present).map(|known| &known.said)
    }

    /// Takes a VM's statement.
    pub fn meet(&mut self, said: Presence, now: Instant) -> Taken {
        let key = (said.vm.clone(), said.role);
        let news = match self.vms.get_mut(&key) {
            Some(known) if said.stamp <= known.said.stamp => return Taken::Stale,
            Some(known) => {
                let news = known.silent || said.says_more_than(&known.said);
                known.heard = now;
                known.said.stamp = said.stamp;
                news
            }
            None => true,
        };
        if !news {
            return Taken::Still;
        }
        self.revision += 1;
        self.digests.insert(said.digest(), Subject::Vm(said.vm.clone(), said.role));
        let known =
            Known { said, heard: now, changed: now, revision: self.revision, silent: false };
        if let Some(last) = self.vms.insert(key, known) {
            self.drop_digest(last.said.digest(), |table| {
                table
                    .vms
                    .get(&(last.said.vm.clone(), last.said.role))
                    .map(|known| known.said.digest())
            });
        }
        Taken::News
    }

    /// The stamp and nonce that a VM was last heard with.
    pub fn stamp_of(&self, vm: &id::Vm, role: Role) -> Option<(Stamp, u64)> {
        let known = self.vms.get(&(vm.clone(), role))?;
        Some((known.said.stamp, known.said.nonce))
    }

    /// The VMs that have not fallen silent and have not left.
    pub fn present(&self) -> impl Iterator<Item = &Presence> {
        let present =
            |known: &&Known<Presence>| !known.silent && known.said.standing != Standing::Gone;
        self.vms.values().filter(present).map(|known| &known.said)
    }

    /// All VMs that were heard of, the silent ones among them.
    pub fn all_vms(&self) -> impl Iterator<Item = &Presence> {
        self.vms.values().map(|known| &known.said)
    }

    /// Notes who has fallen silent, and forgets what left long ago. Tells whether anything changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.revision;
        let silence = |heard: Instant| now.saturating_duration_since(heard);
        for known in self.upstreams.values_mut() {
            let is_late = silence(known.heard) > self.patience.upstream;
            if is_late && !known.silent && known.said.standing != Standing::Gone {
                self.revision += 1;
                known.silent = true;
                known.revision = self.revision;
            }
        }
        for known in self.vms.values_mut() {
            if silence(known.heard) > self.patience.vm && !known.silent {
                self.revision += 1;
                known.silent = true;
                known.revision = self.revision;
            }
        }
        self.forget(now);
        self.revision != before
    }

    /// Excuses everybody's silence: this process itself stood still, or heard nobody at all.
    ///
    /// Failure: a VM that was suspended wakes up, finds that all others have been silent for long, and tells its
    /// followers that nobody is left.
    pub fn excuse(&mut self, now: Instant) {
        self.upstreams.values_mut().for_each(|known| known.heard = now);
        self.vms.values_mut().for_each(|known| known.heard = now);
    }

    /// All that is known of upstreams, those that left among them, to be kept for [`restore`](Self::restore).
    pub fn facts(&self, now: Instant) -> Vec<Fact<Announcement>> {
        self.upstreams.values().map(|known| known.aged(now)).collect()
    }

    /// Takes what was known before this process started. An upstream that says nothing within that time falls silent: it
    /// may have gone meanwhile.
    pub fn restore(&mut self, facts: Vec<Fact<Announcement>>, within: Duration, now: Instant) {
        let spent = self.patience.upstream.saturating_sub(within);
        let heard = now.checked_sub(spent).unwrap_or(now);
        for Fact { said, silent } in facts {
            let id = said.id.clone();
            self.put(said, now);
            if let Some(known) = self.upstreams.get_mut(&id) {
                known.heard = heard;
                known.silent = silent;
            }
        }
    }

    /// What a follower lacks; nothing where it is up to date.
    pub fn delta(&self, from: u64, now: Instant) -> Option<Delta> {
        if from >= self.revision {
            return None;
        }
        let whole = from < self.floor;
        let lacking = |revision: u64| whole || revision > from;
        let upstreams = self.upstreams.values().filter(|known| lacking(known.revision));
        let vms = self.vms.values().filter(|known| lacking(known.revision));
        Some(Delta {
            revision: self.revision,
            whole,
            upstreams: upstreams.map(|known| known.aged(now)).collect(),
            vms: vms.map(|known| Fact { said: known.said.clone(), silent: known.silent }).collect(),
        })
    }

    fn put(&mut self, said: Announcement, now: Instant) {
        self.revision += 1;
        if said.standing != Standing::Gone {
            self.take_address(&said, now);
        }
        let id = said.id.clone();
        self.digests.insert(said.digest(), Subject::Upstream(id.clone()));
        let known =
            Known { said, heard: now, changed: now, revision: self.revision, silent: false };
        if let Some(last) = self.upstreams.insert(id, known) {
            self.drop_digest(last.said.digest(), |table| {
                table.upstream(&last.said.id).map(Announcement::digest)
            });
        }
    }

    /// Forgets the digest of a statement that was replaced, unless the new one says the same.
    fn drop_digest(&mut self, last: u64, now: impl Fn(&Self) -> Option<u64>) {
        if now(self) != Some(last) {
            self.digests.remove(&last);
        }
    }

    /// Whoever had the address before is gone: an address has one owner at a time.
    fn take_address(&mut self, said: &Announcement, now: Instant) {
        let last = self.addresses.insert(said.address, said.id.clone());
        let Some(last) = last.filter(|last| *last != said.id) else { return };
        let Some(known) = self.upstreams.get_mut(&last) else { return };
        if known.said.address == said.address && known.said.standing != Standing::Gone {
            known.said.standing = Standing::Gone;
            known.said.stamp = Stamp::last_of(known.said.stamp.born);
            known.heard = now;
            known.changed = now;
            known.revision = self.revision;
        }
    }

    /// Whether another upstream that started later has the address: the statement was held up on its way.
    fn is_older_tenant(&self, said: &Announcement) -> bool {
        let tenant = self.addresses.get(&said.address).filter(|tenant| **tenant != said.id);
        let tenant = tenant.and_then(|tenant| self.upstreams.get(tenant));
        tenant.is_some_and(|tenant| tenant.said.stamp.born > said.stamp.born)
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |heard: Instant| now.saturating_duration_since(heard) > REMEMBERED;
        let mut floor = self.floor;
        self.upstreams.retain(|_, known| {
            let ended = known.silent || known.said.standing == Standing::Gone;
            let forgotten = ended && is_old(known.heard);
            if forgotten {
                floor = floor.max(known.revision);
            }
            !forgotten
        });
        self.vms.retain(|_, known| {
            let forgotten = known.silent && is_old(known.heard);
            if forgotten {
                floor = floor.max(known.revision);
            }
            !forgotten
        });
        self.floor = floor;
        let (upstreams, vms) = (&self.upstreams, &self.vms);
        self.digests.retain(|_, subject| match subject {
            Subject::Upstream(id) => upstreams.contains_key(id),
            Subject::Vm(vm, role) => vms.contains_key(&(vm.clone(), *role)),
        });
        let upstreams = &self.upstreams;
        self.addresses.retain(|_, id| upstreams.contains_key(id));
    }
}

/// A statement that says when it was made.
trait Stamped {
    fn stamp(&mut self) -> &mut Stamp;
}

impl Stamped for Announcement {
    fn stamp(&mut self) -> &mut Stamp {
        &mut self.stamp
    }
}

impl Stamped for Presence {
    fn stamp(&mut self) -> &mut Stamp {
        &mut self.stamp
    }
}

impl<T: Stamped> Known<T> {
    /// The same was said again under that sequence; whether it had been silent.
    fn renew(&mut self, sequence: u64, revision: &mut u64, now: Instant) -> bool {
        let stamp = self.said.stamp();
        if sequence <= stamp.sequence {
            return false;
        }
        stamp.sequence = sequence;
        self.heard = now;
        if !self.silent {
            return false;
        }
        *revision += 1;
        self.revision = *revision;
        self.silent = false;
        true
    }
}

impl Known<Announcement> {
    /// The statement with its spans of time as of now.
    fn aged(&self, now: Instant) -> Fact<Announcement> {
        let since = now.saturating_duration_since(self.changed);
        let mut said = self.said.clone();
        said.cold_left = said.cold_left.saturating_sub(since);
        said.ends_in = said.ends_in.map(|ends| ends.saturating_sub(since));
        Fact { said, silent: self.silent }
    }
}

#[cfg(test)]
mod tests;
