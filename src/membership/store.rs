//! The facts that a member has, and digests of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::config::GONE_FADES;
use super::config::GONE_KEPT;
use super::fact::Fact;
use super::key::Key;
use super::message::Line;
use super::stamp::Stamp;

/// Buckets that digests are kept for: a repair lists only those that differ.
///
/// With 900 facts a bucket lists 14, about as many bytes as all the bucket digests together.
pub(super) const BUCKETS: usize = 64;

/// One fact and when it was learnt.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) fact: Arc<Fact>,
    pub(super) stamp: Stamp,
    pub(super) since: Instant,
    /// The fact's part of its bucket's digest, zero once it has faded.
    mark: u64,
}

/// The newest fact of each key.
#[derive(Debug)]
pub(super) struct Store {
    entries: BTreeMap<Key, Entry>,
    digests: [u64; BUCKETS],
}

fn bucket(key: &Key) -> usize {
    key.digest() as usize % BUCKETS
}

fn mark(key: &Key, stamp: &Stamp) -> u64 {
    let flags = u64::from(stamp.gone) << 1 | u64::from(stamp.suspected);
    let words = [
        key.digest(),
        stamp.incarnation.get(),
        stamp.version.get(),
        flags << 32 | u64::from(stamp.content),
    ];
    let bytes: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
    xxh3_64(&bytes)
}

impl Store {
    pub(super) fn new() -> Self {
        Self { entries: BTreeMap::new(), digests: [0; BUCKETS] }
    }

    /// Takes in a fact if it is newer than what there is, and tells whether it was.
    pub(super) fn insert(&mut self, fact: Arc<Fact>, now: Instant) -> bool {
        let stamp = fact.stamp();
        let old = self.entries.get(&fact.key);
        if old.is_some_and(|old| old.stamp >= stamp) {
            return false;
        }
        let old = old.map_or(0, |old| old.mark);
        let mark = mark(&fact.key, &stamp);
        self.digests[bucket(&fact.key)] ^= old ^ mark;
        self.entries.insert(fact.key.clone(), Entry { fact, stamp, since: now, mark });
        true
    }

    pub(super) fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The facts about VMs, the gone ones too.
    pub(super) fn vms(&self) -> impl Iterator<Item = &Entry> + Clone {
        // `Key::Vm` is the first kind in the order of keys.
        self.entries.values().take_while(|entry| matches!(entry.fact.key, Key::Vm(_)))
    }

    /// One digest of everything.
    pub(super) fn digest(&self) -> u64 {
        let rotated = |(i, digest): (usize, &u64)| digest.rotate_left(i as u32);
        self.digests.iter().enumerate().map(rotated).fold(0, |sum, digest| sum ^ digest)
    }

    pub(super) fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// What counts in a bucket's digest.
    pub(super) fn lines(&self, wanted: &[bool]) -> Vec<Line> {
        let counts = |entry: &&Entry| {
            entry.mark != 0 && wanted.get(bucket(&entry.fact.key)).is_some_and(|wanted| *wanted)
        };
        let line = |entry: &Entry| Line { key: entry.fact.key.clone(), stamp: entry.stamp };
        self.iter().filter(counts).map(line).collect()
    }

    /// Forgets, in two steps, what has been gone for long.
    pub(super) fn sweep(&mut self, now: Instant) {
        for (key, entry) in &mut self.entries {
            if entry.stamp.gone && entry.mark != 0 && now >= entry.since + GONE_FADES {
                self.digests[bucket(key)] ^= entry.mark;
                entry.mark = 0;
            }
        }
        self.entries.retain(|_, entry| !entry.stamp.gone || now < entry.since + GONE_KEPT);
    }
}
