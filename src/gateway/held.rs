//! Asks engines what they hold in their caches; see [`held`](crate::decide::held) for what is done with it.
//!
//! No request waits for any of this: whatever goes wrong ends in an index that is dropped, and placement goes on by its own
//! estimate.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use slog::info;
use slog::warn;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use super::State;
use crate::decide::held::Applied;
use crate::decide::held::Change;
use crate::decide::held::Index;
use crate::decide::held::Publisher;
use crate::decide::held::asked;
use crate::decide::sharing::Key;
use crate::http::client::Client;
use crate::id;
use crate::roster::Standing;
use crate::unit::Tokens;
use crate::wire::Role;

/// How long an engine waits for an event before it answers. A call that waits less than 200 ms costs it as much as a probe.
const WAIT: Duration = Duration::from_millis(1_000);
/// How long an answer may take beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause between an answer and the next question, so that an engine that changes all the time is asked less than four
/// times a second.
const PAUSE: Duration = Duration::from_millis(250);
/// The pause after a failure; it doubles up to the longest one with each further failure.
const FIRST_RETRY: Duration = Duration::from_millis(500);
const LONGEST_RETRY: Duration = Duration::from_secs(16);
/// The index of an engine that has answered nothing of use for this long is dropped.
const DROP_AFTER: Duration = Duration::from_secs(3);
/// The least time between two lists of an engine in doubt, and of one of which some parts are. A list delays its work.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
const REPAIR_INTERVAL: Duration = Duration::from_secs(30);
/// The longest answer that is read.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// How often the engines to ask are determined, besides changes of the roster.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Roster changes within this time are taken together.
const REFRESH_PAUSE: Duration = Duration::from_millis(100);
/// The first questions of a VM are spread over this time, since all VMs of a region may start at once.
const START_SPREAD_MS: u64 = 500;

#[derive(Debug)]
struct Engine {
    index: Index,
    /// The last answer of use.
    heard: Instant,
}

/// What the engines that this VM asks hold.
#[derive(Debug)]
pub struct Asked {
    engines: HashMap<Key, Engine>,
    publisher: Publisher,
}

impl Asked {
    /// Creates an empty record; `start` identifies this start of the VM.
    pub fn new(start: u64) -> Self {
        Self { engines: HashMap::new(), publisher: Publisher::new(start) }
    }
}

impl State {
    fn asked(&self) -> MutexGuard<'_, Asked> {
        self.held.lock().expect("no panic while locked")
    }

    /// Returns what an update is to tell of a shard's engines.
    pub(super) fn held_changes(&self, shard: u8, number: u64, now: Instant) -> Vec<Change> {
        let place = self.place();
        let mut asked = self.asked();
        let Asked { engines, publisher } = &mut *asked;
        let engines = engines.iter().filter(|(key, _)| key.shard() == shard);
        let indices = engines.map(|(key, engine)| (*key, &engine.index));
        publisher.publish(number, indices, |part| place.held().is_shared(part), now)
    }

    /// Records that a shard's host has received an update.
    pub(super) fn confirm_held(&self, shard: u8, number: u64) {
        self.asked().publisher.confirm(shard, number);
    }

    /// Returns the engines that this VM is to ask.
    fn engines_to_ask(&self) -> Vec<(id::Upstream, Key, SocketAddr, Tokens)> {
        if self.is_draining() || !self.reaches_upstreams() {
            return Vec::new();
        }
        let ready: Vec<id::Vm> = {
            let merged = self.merged();
            let vms = merged.vms(Role::Entry).filter(|vm| {
                vm.region == self.node.region && vm.ready && vm.standing == Standing::Ready
            });
            vms.map(|vm| vm.vm.clone()).collect()
        };
        let mut engines = self.place().engines();
        let keys = asked(&self.node.vm(), &ready, engines.iter().map(|(_, key, ..)| *key));
        engines.retain(|(_, key, ..)| keys.contains(key));
        engines
    }
}

/// Asks the engines that are this VM's to ask, each by one call at a time, until dropped.
pub async fn run(state: Arc<State>) {
    let client = Client::new().with_connect(ANSWER_TIMEOUT).with_source(state.node.ip);
    let mut polls = JoinSet::new();
    let mut running: HashMap<(Key, SocketAddr), AbortHandle> = HashMap::new();
    let mut updates = state.updates();
    loop {
        let engines = state.engines_to_ask();
        running.retain(|(key, address), poll| {
            let is_kept = engines.iter().any(|engine| (engine.1, engine.2) == (*key, *address));
            if !is_kept {
                poll.abort();
                let mut asked = state.asked();
                asked.engines.remove(key);
                asked.publisher.forget(*key);
            }
            is_kept
        });
        for (id, key, address, memory) in engines {
            running.entry((key, address)).or_insert_with(|| {
                let engine = Engine { index: Index::new(memory), heard: Instant::now() };
                state.asked().engines.insert(key, engine);
                let poll = Poll { state: state.clone(), client: client.clone(), id, key, address };
                polls.spawn(poll.run())
            });
        }
        while polls.try_join_next().is_some() {}
        time::sleep(REFRESH_PAUSE).await;
        time::timeout(REFRESH_INTERVAL, updates.changed()).await.ok();
    }
}

/// The questions to one engine.
struct Poll {
    state: Arc<State>,
    client: Client,
    id: id::Upstream,
    key: Key,
    address: SocketAddr,
}

/// What is asked.
#[derive(Debug, Clone, Copy)]
enum Question {
    List,
    Events(u64),
    /// A list is needed, and it is too early for one.
    None,
}

impl Poll {
    async fn run(self) {
        time::sleep(Duration::from_millis(self.state.random() % START_SPREAD_MS)).await;
        let (mut listed_at, mut retry) = (None, FIRST_RETRY);
        loop {
            let question = self.question(listed_at);
            if let Question::List = question {
                listed_at = Some(Instant::now());
            }
            match self.ask(question).await {
                Ok(()) => {
                    retry = FIRST_RETRY;
                    time::sleep(PAUSE).await;
                }
                Err(reason) => {
                    self.record_failure(&reason);
                    let jitter = 0.5 + (self.state.random() % 1_000) as f64 / 1_000.0;
                    time::sleep(retry.mul_f64(jitter)).await;
                    retry = (retry * 2).min(LONGEST_RETRY);
                }
            }
        }
    }

    fn question(&self, listed_at: Option<Instant>) -> Question {
        let asked = self.state.asked();
        let Some(engine) = asked.engines.get(&self.key) else { return Question::None };
        let index = &engine.index;
        let interval = if index.is_doubted() { LIST_INTERVAL } else { REPAIR_INTERVAL };
        let is_due = listed_at.is_none_or(|at: Instant| at.elapsed() >= interval);
        match (index.needs_list() && is_due, index.epoch()) {
            (true, _) => Question::List,
            (false, Some(_)) => Question::Events(index.next()),
            (false, None) => Question::None,
        }
    }

    async fn ask(&self, question: Question) -> Result<(), String> {
        let adapter = self.state.adapter();
        match question {
            Question::None => Ok(()),
            Question::List => {
                let body = self.send(adapter.encode_list_query()).await?;
                let list = adapter.decode_list(&body).ok_or("the list is malformed")?;
                self.update(|index| {
                    let was_doubted = index.is_doubted();
                    index.apply_list(&list);
                    if was_doubted {
                        info!(self.state.log, "held.indexed"; "upstream" => %self.id,
                            "parts" => index.len());
                    }
                    Ok(())
                })
            }
            Question::Events(since) => {
                let body = self.send(adapter.encode_events_query(since, WAIT)).await?;
                let events = adapter.decode_events(&body).ok_or("the events are malformed")?;
                self.update(|index| {
                    let was_doubted = index.is_doubted();
                    let applied = index.apply_events(&events);
                    if index.is_doubted() && !was_doubted {
                        warn!(self.state.log, "held.doubted"; "upstream" => %self.id,
                            "why" => ?applied);
                    }
                    match applied {
                        Applied::Invalid => Err("the events contradict earlier ones".to_owned()),
                        Applied::Complete | Applied::Gap | Applied::Restarted => Ok(()),
                    }
                })
            }
        }
    }

    /// Applies an answer of use.
    fn update(&self, apply: impl FnOnce(&mut Index) -> Result<(), String>) -> Result<(), String> {
        let mut asked = self.state.asked();
        let Some(engine) = asked.engines.get_mut(&self.key) else { return Ok(()) };
        apply(&mut engine.index)?;
        engine.heard = Instant::now();
        Ok(())
    }

    fn record_failure(&self, reason: &str) {
        let mut asked = self.state.asked();
        let Some(engine) = asked.engines.get_mut(&self.key) else { return };
        if engine.index.epoch().is_some() && engine.heard.elapsed() >= DROP_AFTER {
            warn!(self.state.log, "held.dropped"; "upstream" => %self.id, "why" => reason);
            engine.index.reset();
        }
    }

    /// Sends a question and reads the answer. The connection is kept only after a whole answer.
    async fn send(&self, request: Option<Request<Full<Bytes>>>) -> Result<Bytes, String> {
        let mut request = request.ok_or("the adapter has no such question")?;
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let exchange = async {
            let sent = self.client.send(self.address, request).await;
            let (response, lease) = sent.map_err(|error| error.to_string())?;
            if response.status() != StatusCode::OK {
                return Err(format!("the status is {}", response.status()));
            }
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            self.client.keep(lease);
            Ok(body)
        };
        let answer = time::timeout(WAIT + ANSWER_TIMEOUT, exchange).await;
        answer.unwrap_or_else(|_| Err("there was no answer in time".to_owned()))
    }
}
