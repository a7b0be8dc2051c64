//! Entry VMs of a region that hear of an upstream and of each other, without a network.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use hyper::body::Incoming;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time;
use tokio::time::Instant;

use crate::decide::feedback::Feedback;
use crate::decide::feedback::Statement;
use crate::decide::place::InFlight;
use crate::decide::place::Outcome;
use crate::decide::place::Query;
use crate::decide::place::Work;
use crate::gateway::Adapter;
use crate::gateway::CacheCodec;
use crate::gateway::Call;
use crate::gateway::Codec;
use crate::gateway::State;
use crate::gateway::adapter::AttemptMeta;
use crate::gateway::adapter::ResponseMeta;
use crate::http::Body;
use crate::http::Refusal;
use crate::id;
use crate::log;
use crate::roster::Announcement;
use crate::roster::Delta;
use crate::roster::Observed;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::roster::Standing;
use crate::roster::fixture;
use crate::routing::Document;
use crate::routing::Service;
use crate::routing::state::Replicated;
use crate::settings::Node;
use crate::unit::Rate;
use crate::unit::Slots;
use crate::unit::Version;

const SERVICE: &str = "s";
pub const RATE: f64 = 6.6;
pub const COLD: Duration = Duration::from_secs(5);
pub const SECOND: Duration = Duration::from_secs(1);
/// The time until a VM's presence reaches the others, and the most that a record is late.
const PROPAGATION: Duration = Duration::from_millis(250);
const MAX_DELAY: Duration = Duration::from_millis(350);

/// The time until the upstream responds, and until a VM obeys what it received.
const RESPONSE_TIME: Duration = Duration::from_millis(50);
const OBEYED: Duration = Duration::from_millis(500);

struct NoAdapter;

impl Codec for NoAdapter {
    fn decode_request(&self, _: request::Parts) -> Result<Call, Refusal> {
        unimplemented!("these tests send no request over HTTP")
    }

    fn encode_attempt(&self, _: &AttemptMeta<'_>, _: &mut HeaderMap) {}

    fn decode_response(&self, _: StatusCode, _: &HeaderMap) -> ResponseMeta {
        ResponseMeta::default()
    }

    fn encode_refusal(&self, _: &Refusal) -> Response<Body> {
        unimplemented!("these tests send no request over HTTP")
    }
}

impl CacheCodec for NoAdapter {}

impl Adapter for NoAdapter {
    fn handle_operator(
        &self,
        _: Arc<State>,
        _: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        unimplemented!("these tests ask no operator endpoint")
    }

    fn handle_directory(&self, _: &State, _: &Request<Incoming>) -> Response<Body> {
        unimplemented!("these tests ask no directory")
    }
}

fn ip(nth: usize) -> String {
    format!("10.0.{}.{}", nth / 250, nth % 250)
}

/// A VM of the region whose process has just started.
pub fn start(nth: usize) -> State {
    start_with(nth, 50.0)
}

/// The same, with that many repeats allowed in a window besides those that requests earn.
pub fn start_with(nth: usize, repeats: f64) -> State {
    let ip = ip(nth);
    let text = format!(
        "ip: {ip}\nregion: r\ndata_centre: a\ndata_centres: [a=r]\nseeds: [\"10.9.0.1:90\"]\nlink_port: 70\n\
         network: closed\ncheck_in: 1200ms\nentry:\n  callers: {ip}:80\n  operators: {ip}:81\n  \
         forwards: {ip}:82\n  grace: 8s\n\
         bounds:\n  repeat_least: {repeats}\n"
    );
    let node = Node::parse("node.yaml", &text, std::path::Path::new(".")).unwrap();
    let state = State::new(Arc::new(node), Arc::new(NoAdapter), 1, nth as u64, log::silent());
    state.apply_routing(Replicated {
        revision: Version::new(1),
        document: Some(Arc::new(Document { services: vec![service()], ..Document::default() })),
        ..Replicated::default()
    });
    state
}

fn service() -> Service {
    Service {
        name: SERVICE.to_owned(),
        connections: 1000,
        cold_time: COLD,
        cold_rate: Some(Rate::per_second(RATE)),
        engine: None,
    }
}

pub fn presence(nth: usize) -> Presence {
    fixture::entry_vm(&ip(nth), "r", Stamp::new(1, 1))
}

pub fn announcement(sequence: u64, cold_left: Duration) -> Announcement {
    Announcement {
        id: "upstream".parse().unwrap(),
        stamp: Stamp::new(1, sequence),
        service: SERVICE.to_owned(),
        address: ([10, 1, 0, 1], 80).into(),
        data_centre: "a".parse().unwrap(),
        slots: Slots::new(48),
        standing: Standing::Ready,
        cold_left,
        ends_in: None,
        models: Vec::new(),
    }
}

/// What limits the rate of the upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// It is cold.
    Cold,
    /// It states the rate in each response.
    Stated(f64),
}

/// Entry VMs of a region before one upstream. The VMs hear of the upstream and of each other through two control VMs,
/// each of them with a delay of its own.
pub struct Region {
    pub start: Instant,
    pub vms: Vec<Vm>,
    limit: Limit,
    /// When the upstream starts.
    upstream_starts: Duration,
    propagation: Duration,
    /// When the first VMs stand still, and how many do.
    frozen: Range<Duration>,
    frozen_vms: usize,
    /// Whether the upstream runs before it becomes cold.
    runs_before: bool,
    rng: SmallRng,
    /// The requests of VMs that know the limit.
    sent: Vec<Duration>,
}

pub struct Vm {
    pub state: State,
    /// When it starts.
    starts: Duration,
    is_started: bool,
    has_upstream: bool,
    known: usize,
    revision: u64,
    /// Requests that arrived while it stood still.
    queued: usize,
    /// Requests without a response, and when that comes.
    running: Vec<(Duration, InFlight)>,
    /// When it received the first response.
    told: Option<Duration>,
}

impl Region {
    /// VMs that start at the given times; the upstream starts now.
    pub fn new(mut starts: Vec<Duration>, seed: u64) -> Self {
        starts.sort();
        let vm = |(nth, starts)| Vm {
            state: start(nth),
            starts,
            is_started: false,
            has_upstream: false,
            known: 0,
            revision: 0,
            queued: 0,
            running: Vec::new(),
            told: None,
        };
        Self {
            start: Instant::now(),
            vms: starts.into_iter().enumerate().map(vm).collect(),
            limit: Limit::Cold,
            upstream_starts: Duration::ZERO,
            propagation: PROPAGATION,
            frozen: Duration::ZERO..Duration::ZERO,
            frozen_vms: 0,
            runs_before: false,
            rng: SmallRng::seed_from_u64(seed),
            sent: Vec::new(),
        }
    }

    /// The upstream is not cold, but states a limit. VMs know each other after that time.
    pub fn with_stated_limit(self, limit: f64, propagation: Duration) -> Self {
        Self { limit: Limit::Stated(limit), propagation, ..self }
    }

    /// The upstream starts at that time.
    pub fn with_upstream_start(self, upstream_starts: Duration) -> Self {
        Self { upstream_starts, ..self }
    }

    /// The first VM stands still in that time.
    pub fn with_frozen(self, frozen: Range<Duration>) -> Self {
        self.with_paused(1, frozen)
    }

    /// So many VMs stand still in that time. What their callers send meanwhile is read before any news.
    pub fn with_paused(self, frozen_vms: usize, frozen: Range<Duration>) -> Self {
        Self { frozen, frozen_vms, ..self }
    }

    /// The upstream runs from the beginning, and becomes cold at that time.
    pub fn with_cold_from(self, upstream_starts: Duration) -> Self {
        Self { upstream_starts, runs_before: true, ..self }
    }

    /// Plays some time. All VMs have a request for the upstream at each step.
    pub async fn play(&mut self, span: Duration, step: Duration) {
        while self.start.elapsed() < span {
            let now = self.start.elapsed();
            for nth in 0..self.vms.len() {
                let is_frozen = nth < self.frozen_vms && self.frozen.contains(&now);
                if is_frozen {
                    self.vms[nth].queued += 1;
                } else if self.vms[nth].starts <= now {
                    let queued = std::mem::take(&mut self.vms[nth].queued);
                    if self.runs_before {
                        (0..queued).for_each(|_| self.request(nth, now));
                    }
                    self.hear(nth, now);
                    self.respond(nth, now);
                    self.request(nth, now);
                }
            }
            time::advance(step).await;
        }
    }

    /// A VM receives what one of its control VMs knows.
    fn hear(&mut self, nth: usize, now: Duration) {
        let known = self.vms.partition_point(|vm| vm.starts + self.propagation <= now);
        let vm = &mut self.vms[nth];
        let has_peers = known > vm.known;
        // Now and then a record comes again, by another way.
        let is_chilled = now >= self.upstream_starts;
        let is_first = !vm.is_started || (!vm.has_upstream && is_chilled);
        if !is_first && !has_peers && !self.rng.random_bool(0.02) {
            return;
        }
        let delay = MAX_DELAY.mul_f64(self.rng.random());
        let cold = if self.limit == Limit::Cold { COLD } else { Duration::ZERO };
        let since = now.saturating_sub(delay).saturating_sub(self.upstream_starts);
        let cold_left = if is_chilled { cold.saturating_sub(since) } else { Duration::ZERO };
        let is_known = is_chilled || self.runs_before;
        let beats = 1 + now.saturating_sub(delay).as_millis() as u64 / 1200;
        // It checks in when it becomes cold.
        let sequence = beats + u64::from(is_chilled);
        let observed = |record| Observed { record, silent: false };
        let peers = vm.known..known.max(vm.known);
        let upstream = Observed { record: announcement(sequence, cold_left), silent: false };
        vm.revision += 1;
        let delta = Delta {
            revision: vm.revision,
            is_full: !vm.is_started,
            upstreams: is_known.then_some(upstream).into_iter().collect(),
            vms: peers.map(presence).map(observed).collect(),
        };
        let control: id::Vm = format!("control-{}", vm.revision % 2).parse().unwrap();
        vm.state.apply_roster(&control, 1, delta);
        (vm.is_started, vm.known) = (true, known.max(vm.known));
        vm.has_upstream |= is_chilled;
    }

    pub fn request(&mut self, nth: usize, now: Duration) {
        let (work, max_wait) = (Work::default(), Duration::MAX);
        let tried = &[];
        let query = Query {
            service: SERVICE,
            work,
            tried,
            holds_prefix: false,
            urgent: true,
            max_wait,
            only: None,
        };
        let vm = &mut self.vms[nth];
        let mut place = vm.state.place();
        let Some(placement) = place.choose(&query, Instant::now()) else { return };
        let in_flight = place.record_sent(&placement, &work, Instant::now());
        drop(place);
        vm.running.push((now + RESPONSE_TIME, in_flight));
        let is_told = vm.told.is_some_and(|told| now >= told + OBEYED);
        if self.limit == Limit::Cold || is_told {
            self.sent.push(now);
        }
    }

    /// A VM receives the responses that are due.
    fn respond(&mut self, nth: usize, now: Duration) {
        let Limit::Stated(limit) = self.limit else { return };
        let rate_limit = Statement::Value(Rate::per_second(limit));
        let feedback = Feedback { rate_limit, ..Feedback::default() };
        let vm = &mut self.vms[nth];
        let mut place = vm.state.place();
        for (_, in_flight) in vm.running.extract_if(.., |(due, _)| *due <= now) {
            place.record_feedback(&in_flight, &feedback, Instant::now());
            place.record_end(in_flight, Outcome::Answered, Instant::now());
            vm.told.get_or_insert(now);
        }
    }

    /// The most that was sent in a time of that length.
    pub fn most(&self, span: Duration) -> usize {
        let count = |from: &Duration| self.count(*from, *from + span);
        self.sent.iter().map(count).max().unwrap_or(0)
    }

    /// The same of what was sent between two times.
    pub fn most_within(&self, from: Duration, until: Duration, span: Duration) -> usize {
        let firsts = self.sent.iter().filter(|at| (from..until).contains(*at));
        firsts.map(|first| self.count(*first, until.min(*first + span))).max().unwrap_or(0)
    }

    pub fn count(&self, from: Duration, until: Duration) -> usize {
        self.sent.iter().filter(|at| (from..until).contains(*at)).count()
    }
}
