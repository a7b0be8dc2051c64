//! Indices of simulated engines, and what the VMs of a region learn of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use yare::parameterized;

use super::Applied;
use super::Chain;
use super::Change;
use super::Event;
use super::Events;
use super::Exchange;
use super::Index;
use super::Listing;
use super::MAX_ASKED;
use super::Publisher;
use super::Relay;
use super::View;
use super::asked;
use super::asker;
use crate::decide::sharing::Cursor;
use crate::decide::sharing::Key;
use crate::id;
use crate::unit::Tokens;

const MEMORY: Tokens = Tokens::new(305_617);
const PART: Tokens = Tokens::new(13_300);

/// An engine that holds the parts it used last.
struct Engine {
    epoch: u64,
    next: u64,
    capacity: usize,
    parts: VecDeque<u64>,
    log: Vec<Event>,
}

impl Engine {
    fn new(epoch: u64) -> Self {
        Self { epoch, next: 1, capacity: 20, parts: VecDeque::new(), log: Vec::new() }
    }

    fn use_part(&mut self, part: u64) {
        let known = self.parts.iter().position(|held| *held == part);
        match known {
            Some(at) => {
                self.parts.remove(at);
            }
            None => self.record(part, PART),
        }
        self.parts.push_back(part);
        self.evict();
    }

    fn evict(&mut self) {
        while self.parts.len() > self.capacity {
            let part = self.parts.pop_front().expect("it holds more than it may");
            self.record(part, Tokens::ZERO);
        }
    }

    fn record(&mut self, part: u64, kept: Tokens) {
        self.log.push(Event { number: self.next, part, kept });
        self.next += 1;
    }

    /// The events since the last call.
    fn events(&mut self) -> Events {
        let events = std::mem::take(&mut self.log);
        Events { epoch: self.epoch, next: self.next, has_lost: false, events }
    }

    fn list(&self) -> Listing {
        let held = self.parts.iter().map(|part| (*part, PART)).collect();
        Listing { epoch: self.epoch, next: self.next, held }
    }

    fn holds(&self, part: u64) -> bool {
        self.parts.contains(&part)
    }
}

fn filled() -> (Engine, Index) {
    let mut engine = Engine::new(1);
    (0..20).for_each(|part| engine.use_part(part));
    engine.events();
    let mut index = Index::new(MEMORY);
    index.apply_list(&engine.list());
    (engine, index)
}

/// The name of a part; real ones are hashes as well.
fn part(nth: u64) -> u64 {
    (nth + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn held(index: &Index) -> BTreeSet<u64> {
    index.held().map(|(part, _)| part).collect()
}

fn key(nth: u64) -> Key {
    Key::new(&format!("engine-{nth}").parse().expect("it is a name"), 1)
}

fn vm(nth: usize) -> id::Vm {
    format!("10.0.0.{nth}").parse().expect("it is a name")
}

// Guards against events that leave the index with other parts than the engine has.
#[test]
fn an_index_follows_the_events() {
    let (mut engine, mut index) = filled();
    for part in 100..130 {
        engine.use_part(part);
        assert_eq!(index.apply_events(&engine.events()), Applied::Complete);
    }
    assert_eq!(held(&index), engine.parts.iter().copied().collect());
}

// Guards against parts that are taken as held although the engine may have evicted them in a gap.
#[test]
fn a_gap_ends_in_doubt_until_a_list() {
    let (mut engine, mut index) = filled();
    engine.use_part(50);
    let answer = Events { has_lost: true, ..engine.events() };
    assert_eq!(index.apply_events(&answer), Applied::Gap);
    assert!(index.is_doubted() && index.needs_list());
    assert_eq!(held(&index), BTreeSet::from([50]), "an event confirms its part");
    index.apply_list(&engine.list());
    assert!(!index.is_doubted());
    assert_eq!(held(&index), engine.parts.iter().copied().collect());
}

// Guards against the parts of an engine that has restarted under the same name.
#[test]
fn a_restart_ends_the_index() {
    let (_, mut index) = filled();
    let mut restarted = Engine::new(2);
    restarted.use_part(5);
    assert_eq!(index.apply_events(&restarted.events()), Applied::Restarted);
    assert!(index.is_doubted() && index.is_empty());
    assert_eq!(index.apply_events(&restarted.events()), Applied::Invalid);
    index.apply_list(&restarted.list());
    assert_eq!(held(&index), BTreeSet::from([5]));
}

// Guards against an index that goes wrong for good when a few events never arrive, and against one that asks for lists all
// the time. Parts turn over within seconds; every twentieth event is lost.
#[parameterized(
    steady = { 20, 20 },
    running_requests_take_memory = { 12, 20 },
)]
fn lost_events_leave_few_wrong_parts(least: usize, most: usize) {
    let mut rng = SmallRng::seed_from_u64(4);
    let (mut engine, mut index) = filled();
    let (mut believed, mut right, mut present, mut lists) = (0, 0, 0, 0);
    for step in 0..4_000 {
        engine.capacity = rng.random_range(least..=most);
        engine.use_part(rng.random_range(0..468));
        let mut answer = engine.events();
        answer.events.retain(|_| rng.random_range(0..100) >= 5);
        assert_ne!(index.apply_events(&answer), Applied::Invalid);
        // Twice a second an event; a list at most every 30 s.
        if index.needs_list() && (index.is_doubted() || step % 60 == 0) {
            index.apply_list(&engine.list());
            lists += 1;
        }
        believed += index.held().count();
        right += index.held().filter(|(part, _)| engine.holds(*part)).count();
        present += engine.parts.len();
    }
    assert!(right * 100 >= believed * 95, "{right} of {believed} are held");
    assert!(right * 100 >= present * 80, "{right} of {present} are known");
    assert!(lists <= 4_000 / 60, "{lists} lists");
}

// Guards against an index that grows without bound or breaks on numbers that make no sense.
#[test]
fn malformed_answers_change_nothing() {
    let (mut engine, index) = filled();
    let next = index.next();
    let event = |number| Event { number, part: number.wrapping_add(1_000), kept: PART };
    let answer = |next, events| Events { epoch: 1, next, has_lost: false, events };
    let invalid = [
        answer(next - 1, vec![]),
        answer(next + 1, vec![event(next), event(next)]),
        answer(next + 2, vec![event(next + 1), event(next)]),
        answer(next + 1, vec![event(u64::MAX)]),
    ];
    for answer in &invalid {
        let mut index = index.clone();
        assert_eq!(index.apply_events(answer), Applied::Invalid, "{answer:?}");
        assert_eq!(held(&index), engine.parts.iter().copied().collect());
    }
    let mut index = index;
    let many = (next..next + 5_000).map(event).collect();
    index.apply_events(&answer(next + 5_000, many));
    let tokens: Tokens = index.held().map(|(_, kept)| kept).sum();
    assert!(tokens <= MEMORY, "{tokens:?}");
    let small = |part| Event { number: next + 5_000 + part, part, kept: Tokens::new(1) };
    index.apply_events(&answer(next + 10_000, (0..5_000).map(small).collect()));
    assert!(index.len() <= super::MAX_PARTS);
    index.apply_events(&answer(u64::MAX, vec![]));
    assert!(index.is_doubted());
    engine.use_part(1);
}

// Guards against a part that counts although one before it is missing.
#[test]
fn only_the_longest_chain_counts() {
    let parts = [(1, 2_000), (2, 300), (3, 5_000), (4, 1_000)];
    let chain = Chain::new(&parts.map(|(part, tokens)| (part, Tokens::new(tokens))));
    let longest = |held: &[u64]| {
        let kept = |part| if held.contains(&part) { PART } else { Tokens::ZERO };
        chain.longest(kept).get()
    };
    assert_eq!(longest(&[1, 3, 4]), 8_300, "short parts are not told");
    assert_eq!(longest(&[1, 4]), 2_000);
    assert_eq!(longest(&[3, 4]), 0);
    assert_eq!(chain.longest(|_| Tokens::new(1_500)).get(), 1_500, "a part may be kept in part");
}

/// The VMs of a region, of which one asks each engine; messages take no time here.
struct Region {
    engines: BTreeMap<Key, (Engine, Index)>,
    publisher: Publisher,
    relays: Vec<Relay>,
    views: Vec<(View, [Cursor; 4])>,
    number: u64,
    now: Instant,
    /// The bytes of changes that each VM has received.
    bytes: Vec<usize>,
}

impl Region {
    fn new(engines: u64, vms: usize) -> Self {
        let engines = (0..engines).map(|nth| (key(nth), filled())).collect();
        let view = || {
            let mut view = View::default();
            view.enable();
            (view, [Cursor::default(); 4])
        };
        Self {
            engines,
            publisher: Publisher::new(1),
            relays: (0..4).map(|_| Relay::default()).collect(),
            views: (0..vms).map(|_| view()).collect(),
            number: 0,
            now: Instant::now(),
            bytes: vec![0; vms],
        }
    }

    /// One round of updates and summaries. `is_lost` tells which messages are: the asking VM's, then a summary's.
    fn round(&mut self, mut is_lost: impl FnMut() -> bool) {
        self.now += Duration::from_millis(160);
        for shard in 0..4_u8 {
            self.number += 1;
            let indices = self.engines.iter().filter(|(key, _)| key.shard() == shard);
            let indices = indices.map(|(key, (_, index))| (*key, index));
            let changes = self.publisher.publish(self.number, indices, |_| true, self.now);
            let mut is_asker_lost = is_lost();
            for (nth, (view, cursors)) in self.views.iter_mut().enumerate() {
                let cursor = &mut cursors[usize::from(shard)];
                let changes = if nth == 0 && !is_asker_lost { changes.clone() } else { vec![] };
                let update = Exchange { known: *cursor, changes };
                assert!(update.is_valid(shard));
                let relay = &mut self.relays[usize::from(shard)];
                if nth == 0 && is_asker_lost {
                    continue;
                }
                let summary = relay.exchange(9, &vm(nth), update, self.now);
                if is_lost() {
                    is_asker_lost |= nth == 0;
                    continue;
                }
                self.bytes[nth] += encoded(&summary);
                *cursor = summary.known;
                summary.changes.iter().for_each(|change| view.apply(change, self.now));
            }
            if !is_asker_lost {
                self.publisher.confirm(shard, self.number);
            }
        }
    }

    /// Lets each engine use parts, and applies its events.
    fn work(&mut self, rng: &mut SmallRng, uses: usize) {
        for (engine, index) in self.engines.values_mut() {
            (0..uses).for_each(|_| engine.use_part(part(rng.random_range(0..468))));
            index.apply_events(&engine.events());
        }
    }

    /// The parts that the VMs believe to be held, those of them that are, and all that are.
    fn accuracy(&self) -> (usize, usize, usize) {
        let (mut believed, mut right, mut present) = (0, 0, 0);
        for (view, _) in &self.views {
            for (key, (engine, _)) in &self.engines {
                let is_held = |part: &u64| {
                    let chain = Chain::new(&[(*part, PART)]);
                    let held = view.longest(*key, &chain, self.now);
                    held.is_some_and(|held| held.tokens == PART)
                };
                let held: Vec<u64> = (0..468).map(part).filter(is_held).collect();
                believed += held.len();
                right += held.iter().filter(|part| engine.holds(**part)).count();
                present += engine.parts.len();
            }
        }
        (believed, right, present)
    }
}

fn encoded(summary: &Exchange) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(summary, &mut bytes).expect("writing to memory does not fail");
    bytes.len()
}

// Guards against VMs that learn nothing, learn it wrong, or load their lines with it. The engines read 39
// shared parts a second, as many as 150 long prompts a second cause of which 74 in 100 find theirs held.
#[parameterized(
    no_loss = { 0, 95 },
    some_loss = { 5, 70 },
)]
fn vms_learn_what_engines_hold(lost_percent: u32, least_known: usize) {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut region = Region::new(50, 6);
    let rounds = 400;
    let (mut believed, mut right, mut present) = (0, 0, 0);
    for round in 0..rounds {
        // Each engine reads a shared part each 1.28 s, and evicts another one.
        if round % 8 == 0 {
            region.work(&mut rng, 1);
        }
        let mut losses = SmallRng::seed_from_u64(round);
        region.round(|| losses.random_range(0..100) < lost_percent);
        if round >= 100 && round % 7 == 3 {
            let (some, correct, all) = region.accuracy();
            (believed, right, present) = (believed + some, right + correct, present + all);
        }
    }
    assert!(right * 100 >= believed * 95, "{right} of {believed} are held");
    assert!(right * 100 >= present * least_known, "{right} of {present} are known");
    let seconds = rounds as f64 * 0.16;
    for bytes in &region.bytes {
        let rate = *bytes as f64 / seconds;
        assert!(rate < 5_000.0, "{rate:.0} bytes a second");
    }
}

// Guards against lines that are loaded beyond 5 kB/s when every engine evicts all of its parts in a second.
#[test]
fn a_flood_of_changes_is_bounded() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut region = Region::new(50, 3);
    for round in 0..200 {
        if round == 100 {
            region.bytes.fill(0);
        }
        region.work(&mut rng, 4);
        region.round(|| false);
    }
    for bytes in &region.bytes {
        let rate = *bytes as f64 / 16.0;
        assert!(rate < 5_000.0, "{rate:.0} bytes a second");
    }
}

// Guards against an engine that is taken as known for ever after its asking VM was lost or has stalled, and against one that
// stays in doubt once another VM has taken over.
#[test]
fn a_lost_asker_ends_in_doubt_until_the_next_one() {
    let mut region = Region::new(4, 2);
    (0..8).for_each(|_| region.round(|| false));
    let known = |region: &Region| region.views[1].0.known_count(region.now);
    assert_eq!(known(&region), 4);
    region.now += super::INDEX_TTL;
    assert_eq!(known(&region), 0);
    region.publisher = Publisher::new(2);
    region.round(|| false);
    region.round(|| false);
    assert_eq!(known(&region), 4);
}

// Guards against a doubt of the asking VM that the others never hear of.
#[test]
fn doubt_is_told() {
    let mut region = Region::new(4, 2);
    (0..4).for_each(|_| region.round(|| false));
    for (engine, index) in region.engines.values_mut() {
        index.apply_events(&Events { has_lost: true, ..engine.events() });
    }
    (0..3).for_each(|_| region.round(|| false));
    assert_eq!(region.views[1].0.known_count(region.now), 0);
    for (engine, index) in region.engines.values_mut() {
        index.apply_list(&engine.list());
    }
    (0..3).for_each(|_| region.round(|| false));
    assert_eq!(region.views[1].0.known_count(region.now), 4);
}

// Guards against a difference that is applied to another state than the one that it was made from.
#[test]
fn a_missing_change_ends_in_doubt() {
    let mut view = View::default();
    view.enable();
    let now = Instant::now();
    let change = |position, is_whole, part| Change {
        engine: key(1),
        epoch: 3,
        position,
        is_whole,
        is_doubted: false,
        added: vec![(part, 13_300)],
        removed: vec![],
    };
    let held = |view: &View, part| {
        let held = view.longest(key(1), &Chain::new(&[(part, PART)]), now);
        held.map(|held| held.tokens)
    };
    view.apply(&change(1, false, 1), now);
    assert_eq!(held(&view, 1), None, "a difference alone says little");
    view.apply(&change(2, true, 1), now);
    view.apply(&change(3, false, 2), now);
    assert_eq!(held(&view, 1), Some(PART));
    assert_eq!(held(&view, 2), Some(PART));
    assert_eq!(held(&view, 3), Some(Tokens::ZERO));
    view.apply(&change(5, false, 3), now);
    assert_eq!(held(&view, 1), None);
    view.apply(&change(4, true, 9), now);
    assert_eq!(held(&view, 9), None, "it is older");
    view.apply(&change(6, true, 4), now);
    assert_eq!(held(&view, 4), Some(PART));
    assert_eq!(held(&view, 1), Some(Tokens::ZERO));
}

// Guards against a prompt that is sent elsewhere since the event of the one before has not arrived yet.
#[test]
fn a_recent_use_counts_as_held() {
    let mut region = Region::new(1, 1);
    (0..4).for_each(|_| region.round(|| false));
    let (view, _) = &mut region.views[0];
    let now = region.now;
    let chain = Chain::new(&[(700, PART)]);
    let held = |view: &View, now| view.longest(key(0), &chain, now).map(|held| held.tokens);
    assert_eq!(held(view, now), Some(Tokens::ZERO));
    view.record_use(key(0), 700, now);
    assert_eq!(held(view, now), Some(PART));
    assert_eq!(held(view, now + Duration::from_secs(2)), Some(Tokens::ZERO));
}

// Guards against engines that nobody asks or that several VMs ask, and against a VM that asks most of them. All VMs start at
// once with the same roster.
#[parameterized(
    small = { 2, 12 },
    region = { 26, 50 },
    large = { 70, 170 },
)]
fn each_engine_has_one_asker(vms: usize, engines: u64) {
    let vms: Vec<id::Vm> = (0..vms).map(vm).collect();
    let keys: Vec<Key> = (0..engines).map(key).collect();
    let per_vm = vms.iter().map(|vm| asked(vm, &vms, keys.iter().copied()));
    let all: Vec<Vec<Key>> = per_vm.collect();
    assert!(all.iter().all(|asked| asked.len() <= MAX_ASKED));
    let distinct: BTreeSet<Key> = all.iter().flatten().copied().collect();
    assert_eq!(distinct.len(), all.iter().map(Vec::len).sum::<usize>());
    assert!(distinct.len() * 100 >= keys.len() * 95, "{} of {engines}", distinct.len());
    // When a VM is lost, only its engines move.
    let left = &vms[1..];
    for engine in keys.iter().filter(|engine| asker(**engine, vms.iter()) != Some(&vms[0])) {
        assert_eq!(asker(*engine, vms.iter()), asker(*engine, left.iter()));
    }
}
