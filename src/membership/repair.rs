//! Anti-entropy: finding and mending what the spread of new facts has missed.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::time::Instant;

use super::config::MESSAGE_BYTES;
use super::config::REPAIR_ANSWERS;
use super::config::REPAIR_PERIOD;
use super::fact::Fact;
use super::key::Key;
use super::member::Member;
use super::message::Line;
use super::message::Message;
use super::output::Output;
use super::store::BUCKETS;
use crate::id;

/// Digests that must differ in a row before a repair starts.
///
/// One difference is mostly a fact that is still on its way, and the spread deals with it.
const DIFFERENCES: u32 = 2;

/// About how many bytes a line takes beside its key.
const LINE_BYTES: usize = 32;

/// Which neighbours' digests differ, and what repairs may be started and answered.
#[derive(Debug)]
pub(super) struct Repair {
    differences: HashMap<id::Vm, u32>,
    next_start: Instant,
    answers_until: Instant,
    answers: u32,
}

impl Repair {
    pub(super) fn new(now: Instant) -> Self {
        Self { differences: HashMap::new(), next_start: now, answers_until: now, answers: 0 }
    }

    fn may_start(&mut self, now: Instant) -> bool {
        let may = now >= self.next_start;
        if may {
            self.next_start = now + REPAIR_PERIOD;
        }
        may
    }

    fn may_answer(&mut self, now: Instant) -> bool {
        if now >= self.answers_until {
            self.answers_until = now + REPAIR_PERIOD;
            self.answers = 0;
        }
        self.answers += 1;
        self.answers <= REPAIR_ANSWERS
    }
}

impl Member {
    /// Compares digests, and starts a repair where they stay different.
    pub(super) fn compare(
        &mut self,
        from: &id::Vm,
        digest: u64,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        if digest == self.store.digest() {
            self.repair.differences.remove(from);
            return;
        }
        let differences = self.repair.differences.entry(from.clone()).or_default();
        *differences += 1;
        let stranger = self.store.get(&Key::Vm(from.clone())).is_none();
        if (stranger || *differences >= DIFFERENCES) && self.repair.may_start(now) {
            self.repair.differences.clear();
            let message = Message::Buckets(self.store.digests().to_vec());
            outputs.push(Output::Send { to: from.clone(), message });
        }
    }

    /// Lists what this VM has in the buckets that differ.
    pub(super) fn receive_buckets(
        &mut self,
        from: &id::Vm,
        digests: &[u64],
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        if digests.len() != BUCKETS || !self.repair.may_answer(now) {
            return;
        }
        let pairs = digests.iter().zip(self.store.digests());
        let different = pairs.enumerate().filter(|(_, (theirs, ours))| theirs != ours);
        let different: Vec<u8> = different.map(|(i, _)| i as u8).collect();
        let (mut buckets, mut lines, mut bytes) = (Vec::new(), Vec::new(), 0);
        for bucket in different {
            let mut wanted = [false; BUCKETS];
            wanted[usize::from(bucket)] = true;
            let found = self.store.lines(&wanted);
            bytes += found.iter().map(|line| line.key.size() + LINE_BYTES).sum::<usize>();
            buckets.push(bucket);
            lines.extend(found);
            if bytes >= MESSAGE_BYTES {
                outputs.push(send_lines(from, &mut buckets, &mut lines));
                bytes = 0;
            }
        }
        if !buckets.is_empty() {
            outputs.push(send_lines(from, &mut buckets, &mut lines));
        }
    }

    /// Sends what is newer here, and asks for what is newer there.
    pub(super) fn receive_lines(
        &mut self,
        from: &id::Vm,
        buckets: &[u8],
        lines: Vec<Line>,
        outputs: &mut Vec<Output>,
    ) {
        let mut wanted = [false; BUCKETS];
        for bucket in buckets {
            if let Some(wanted) = wanted.get_mut(usize::from(*bucket)) {
                *wanted = true;
            }
        }
        let theirs: HashMap<Key, _> =
            lines.into_iter().map(|line| (line.key, line.stamp)).collect();
        let ours = self.store.lines(&wanted);
        let newer = |line: &Line| theirs.get(&line.key).is_none_or(|theirs| *theirs < line.stamp);
        let newer = ours.iter().filter(|line| newer(line));
        let newer: Vec<_> = newer.map(|line| line.key.clone()).collect();
        self.send_facts(from, newer.iter(), outputs);

        let older =
            |(key, stamp): &(Key, _)| self.store.get(key).is_none_or(|ours| ours.stamp < *stamp);
        let want: Vec<Key> = theirs.into_iter().filter(older).map(|(key, _)| key).collect();
        if !want.is_empty() {
            outputs.push(Output::Send { to: from.clone(), message: Message::Want(want) });
        }
    }

    pub(super) fn receive_want(&self, from: &id::Vm, keys: &[Key], outputs: &mut Vec<Output>) {
        self.send_facts(from, keys.iter(), outputs);
    }

    fn send_facts<'a>(
        &self,
        to: &id::Vm,
        keys: impl Iterator<Item = &'a Key>,
        outputs: &mut Vec<Output>,
    ) {
        let mut batch: Vec<Arc<Fact>> = Vec::new();
        let mut bytes = 0;
        for fact in keys.filter_map(|key| self.store.get(key)).map(|entry| &entry.fact) {
            bytes += fact.size();
            batch.push(Arc::clone(fact));
            if bytes >= MESSAGE_BYTES {
                let message = Message::Facts(std::mem::take(&mut batch));
                outputs.push(Output::Send { to: to.clone(), message });
                bytes = 0;
            }
        }
        if !batch.is_empty() {
            outputs.push(Output::Send { to: to.clone(), message: Message::Facts(batch) });
        }
    }
}

fn send_lines(to: &id::Vm, buckets: &mut Vec<u8>, lines: &mut Vec<Line>) -> Output {
    let (buckets, lines) = (std::mem::take(buckets), std::mem::take(lines));
    Output::Send { to: to.clone(), message: Message::Lines { buckets, lines } }
}
