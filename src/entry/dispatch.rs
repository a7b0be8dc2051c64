//! Which waiting request runs next, and on which upstream: the decisions of [`crate::decide`], put together.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::catalogue::Class;
use crate::decide::admission;
use crate::decide::admission::Admission;
use crate::decide::queue;
use crate::decide::queue::Bounds;
use crate::decide::queue::Capacity;
use crate::decide::queue::Queue;
use crate::decide::queue::Ticket;
use crate::decide::route::Outcome;
use crate::decide::route::Route;
use crate::entry::Job;
use crate::entry::fleet::Hosted;
use crate::http::Reason;
use crate::http::Refusal;
use crate::id;
use crate::unit::Slots;
use crate::upstream::Announcement;

/// A caller whom no upstream can serve comes back after this: an upstream that starts announces within a second.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

/// A place on an upstream, for one attempt.
#[derive(Debug, Clone)]
pub struct Grant {
    /// The upstream as it announced itself.
    pub upstream: Announcement,
    /// When the place was given.
    pub since: Instant,
}

/// What a waiting request hears.
pub type Answer = Result<Grant, Refusal>;

struct Waiting {
    job: Arc<Job>,
    avoid: Vec<id::Upstream>,
    answer: oneshot::Sender<Answer>,
}

/// The requests for one model or service.
struct Pool {
    queue: Queue,
    capacity: Capacity,
    waiting: HashMap<id::Request, Waiting>,
}

/// All waiting requests of a VM, and the upstreams that they wait for.
pub struct Dispatch {
    upstreams: BTreeMap<id::Upstream, Hosted>,
    route: Route,
    admission: Admission,
    pools: HashMap<id::Model, Pool>,
    rng: SmallRng,
}

impl Dispatch {
    /// Nothing waits, and no upstream is known. The seed drives choices and jitter.
    pub fn new(me: &id::Vm, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            upstreams: BTreeMap::new(),
            route: Route::new(me),
            admission: Admission::new(SmallRng::from_rng(&mut rng)),
            pools: HashMap::new(),
            rng,
        }
    }

    /// The upstreams that may be sent work.
    pub fn upstreams(&self) -> impl Iterator<Item = &Hosted> {
        self.upstreams.values()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Queues a request or refuses it at once.
    pub fn submit(
        &mut self,
        job: &Arc<Job>,
        avoid: Vec<id::Upstream>,
        now: Instant,
    ) -> Result<oneshot::Receiver<Answer>, Refusal> {
        self.check_offered(job, &avoid)?;
        let ticket = self.ticket(job);
        let pool = self.pools.entry(job.model.clone()).or_insert_with(Pool::new);
        match self.admission.admit(&ticket, &pool.queue, &pool.capacity, now) {
            admission::Decision::Accept => (),
            admission::Decision::Refuse { reason, retry_after } => {
                return Err(refused(reason).with_retry_after(retry_after));
            }
        }
        pool.queue.push(ticket, now).map_err(|error| refused(admission::Reason::Queue(error)))?;
        let (answer, receiver) = oneshot::channel();
        pool.waiting.insert(job.request, Waiting { job: job.clone(), avoid, answer });
        self.pump(&job.model, now);
        Ok(receiver)
    }

    /// Refuses what nothing can run: waiting for an upstream that nobody announced is no use to the caller.
    fn check_offered(&self, job: &Job, avoid: &[id::Upstream]) -> Result<(), Refusal> {
        if self.route.is_servable(&job.facts(avoid)) {
            return Ok(());
        }
        let detail = format!("no upstream holds {}", job.model);
        Err(Refusal::new(Reason::NoUpstream, detail).with_retry_after(NO_UPSTREAM_RETRY))
    }

    fn ticket(&self, job: &Job) -> Ticket {
        let class = job.entry.class;
        Ticket {
            request: job.request,
            owner: job.entry.owner.clone(),
            class,
            weight: job.entry.weight,
            deadline: job.deadline,
            service: self.admission.expected(&job.entry.name, class),
            size: job.size(),
            arrived: job.arrived,
        }
    }

    /// Gives up a request whose caller has gone.
    pub fn cancel(&mut self, job: &Job) {
        if let Some(pool) = self.pools.get_mut(&job.model) {
            pool.queue.cancel(job.request);
            pool.waiting.remove(&job.request);
        }
    }

    /// Takes the end of an attempt and gives its place to the next request.
    pub fn finished(&mut self, job: &Job, grant: &Grant, outcome: Outcome, now: Instant) {
        let class = job.entry.class;
        let took = now.saturating_duration_since(grant.since);
        self.route.finished(&grant.upstream.id, &job.facts(&[]), outcome, took, now);
        if outcome == Outcome::Answered {
            self.admission.observe(&job.entry.name, class, took);
        }
        if let Some(pool) = self.pools.get_mut(&job.model) {
            pool.capacity.finished(class);
        }
        self.pump_all(now);
    }

    /// An upstream is there, or announces something else.
    pub fn appeared(&mut self, hosted: Hosted, now: Instant) {
        self.route.announced(&hosted.announcement, now);
        self.upstreams.insert(hosted.announcement.id.clone(), hosted);
        self.resize();
        self.pump_all(now);
    }

    /// An upstream takes no new work.
    pub fn gone(&mut self, id: &id::Upstream, now: Instant) {
        self.route.removed(id);
        self.upstreams.remove(id);
        self.resize();
        self.pump_all(now);
    }

    fn resize(&mut self) {
        let mut slots: HashMap<id::Model, Slots> = HashMap::new();
        for upstream in self.upstreams.values().map(|hosted| &hosted.announcement) {
            for model in &upstream.models {
                *slots.entry(model.clone()).or_default() += upstream.slots;
            }
        }
        for model in slots.keys() {
            self.pools.entry(model.clone()).or_insert_with(Pool::new);
        }
        for (model, pool) in &mut self.pools {
            pool.capacity.resize(slots.get(model).copied().unwrap_or_default());
        }
    }

    /// Gives up what can no longer be in time. To be called many times a second.
    pub fn tick(&mut self, now: Instant) {
        self.pump_all(now);
    }

    fn pump_all(&mut self, now: Instant) {
        let models: Vec<id::Model> = self.pools.keys().cloned().collect();
        for model in models {
            self.pump(&model, now);
        }
    }

    /// Gives free places to waiting requests, and a final answer at once to those that are too late.
    fn pump(&mut self, model: &id::Model, now: Instant) {
        let Some(pool) = self.pools.get_mut(model) else { return };
        for ticket in pool.queue.expired(now) {
            if let Some(waiting) = pool.waiting.remove(&ticket.request) {
                waiting.answer.send(Err(too_late())).ok();
            }
        }
        while let Some(ticket) = pool.queue.pop(now, &pool.capacity) {
            let Some(waiting) = pool.waiting.remove(&ticket.request) else { continue };
            if waiting.answer.is_closed() {
                continue;
            }
            let facts = waiting.job.facts(&waiting.avoid);
            let Some(chosen) = self.route.pick(&facts, now, &mut self.rng) else {
                // All places that fit are taken by requests for other models: it keeps its place in the queue.
                pool.waiting.insert(ticket.request, waiting);
                pool.queue.push(ticket, now).ok();
                return;
            };
            let Some(hosted) = self.upstreams.get(&chosen) else {
                pool.waiting.insert(ticket.request, waiting);
                pool.queue.push(ticket, now).ok();
                return;
            };
            let grant = Grant { upstream: hosted.announcement.clone(), since: now };
            self.route.sent(&chosen, now);
            pool.capacity.started(ticket.class);
            if waiting.answer.send(Ok(grant)).is_err() {
                let facts = waiting.job.facts(&[]);
                self.route.finished(&chosen, &facts, Outcome::Cancelled, Duration::ZERO, now);
                pool.capacity.finished(ticket.class);
            }
        }
    }

    /// How many requests of each class hold a place, over all pools.
    pub fn busy(&self) -> u64 {
        self.pools.values().map(|pool| pool.capacity.busy()).sum()
    }

    /// The service time that a class is expected to take for an entry.
    pub fn expected(&self, entry: &id::Entry, class: Class) -> Duration {
        self.admission.expected(entry, class)
    }
}

impl Pool {
    fn new() -> Self {
        Self {
            queue: Queue::new(Bounds::default()),
            capacity: Capacity::default(),
            waiting: HashMap::new(),
        }
    }
}

/// A request that can't be in time any more; it never had a place.
pub fn too_late() -> Refusal {
    Refusal::new(
        Reason::TooLate,
        "the deadline passed, or could no longer be met, before a place was free",
    )
}

fn refused(reason: admission::Reason) -> Refusal {
    match reason {
        admission::Reason::Queue(queue::Refusal::TooLate) => too_late(),
        admission::Reason::Queue(error) => Refusal::new(Reason::Overload, error.to_string()),
        admission::Reason::Overload => {
            Refusal::new(Reason::Overload, "the wait would be longer than the deadline allows")
        }
    }
}
