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
use crate::decide::quarantine::Quarantine;
use crate::decide::queue;
use crate::decide::queue::Bounds;
use crate::decide::queue::Capacity;
use crate::decide::queue::Queue;
use crate::decide::queue::Ticket;
use crate::decide::retry;
use crate::decide::retry::Evidence;
use crate::decide::retry::Hedge;
use crate::decide::retry::Layer;
use crate::decide::retry::Retry;
use crate::decide::route::Outcome;
use crate::decide::route::Router;
use crate::decide::spill::RegionSelector;
use crate::entry::Job;
use crate::entry::fleet::Hosted;
use crate::http::Reason;
use crate::http::Refusal;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Slots;
use crate::upstream::Announcement;
use crate::upstream::Load;
use crate::upstream::pool as slots;

mod regions;
mod suspects;

/// A caller whom no upstream can serve comes back after this: an upstream that starts announces within a second.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

/// Slots that are held beyond what runs and waits while nobody else needs them, so that the next request starts at once.
const SPARE: Slots = Slots::new(1);
/// Requests that are looked past at once because no place suits them: suspects that must run apart from others.
const UNPLACED: usize = 8;

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
    me: id::Vm,
    upstreams: BTreeMap<id::Upstream, Hosted>,
    quarantine: Quarantine,
    slots: slots::Pool,
    members: u64,
    spill: RegionSelector,
    route: Router,
    admission: Admission,
    retry: Retry,
    hedge: Hedge,
    pools: HashMap<id::Model, Pool>,
    rng: SmallRng,
}

impl Dispatch {
    /// Nothing waits, and no upstream is known. The seed drives choices and jitter.
    pub fn new(me: &id::Vm, region: &id::Region, incarnation: Incarnation, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        Self {
            me: me.clone(),
            upstreams: BTreeMap::new(),
            quarantine: Quarantine::new(0),
            slots: slots::Pool::new(me.clone(), incarnation).with_spare(SPARE),
            members: 1,
            spill: RegionSelector::new(region.clone(), 1),
            route: Router::new(me),
            admission: Admission::new(SmallRng::from_rng(&mut rng)),
            retry: Retry::new(now),
            hedge: Hedge::new(now),
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
        let avoid = self.check_offered(job, avoid)?;
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

    /// Refuses what nothing can run: waiting for an upstream that nobody announced is no use to the caller. Where all
    /// upstreams that could run it have failed it already, they are tried again.
    fn check_offered(
        &self,
        job: &Job,
        avoid: Vec<id::Upstream>,
    ) -> Result<Vec<id::Upstream>, Refusal> {
        if self.route.is_servable(&job.facts(&avoid)) {
            return Ok(avoid);
        }
        if self.route.is_servable(&job.facts(&[])) {
            return Ok(Vec::new());
        }
        let detail = format!("no upstream holds {}", job.model);
        Err(Refusal::new(Reason::NoUpstream, detail).with_retry_after(NO_UPSTREAM_RETRY))
    }

    fn ticket(&self, job: &Job) -> Ticket {
        let class = job.entry.class;
        let estimate = self.admission.estimate(&job.entry.name, class);
        let most = self.longest_guess(job);
        Ticket {
            request: job.request,
            owner: job.entry.owner.clone(),
            class,
            weight: job.entry.weight,
            deadline: job.deadline,
            service: estimate.expected().min(most),
            tail: estimate.tail().min(most),
            size: job.size(),
            arrived: job.arrived,
        }
    }

    /// The service time that a request is expected to take.
    pub fn usual_time(&self, job: &Job) -> Duration {
        self.expected(&job.entry.name, job.entry.class).min(self.longest_guess(job))
    }

    /// The longest service time that is assumed for a request.
    fn longest_guess(&self, job: &Job) -> Duration {
        // Failure: the first request of a new entry is refused by a guess that is longer than its deadline, none is
        // ever measured, and all are refused for good. Until one was measured, the owner's deadline is the better guess.
        match self.admission.has_measured(&job.entry.name) {
            true => Duration::MAX,
            false => job.deadline.saturating_duration_since(job.arrived) / 4,
        }
    }

    /// Gives up a request whose caller has gone.
    pub fn cancel(&mut self, job: &Job) {
        if let Some(pool) = self.pools.get_mut(&job.model) {
            pool.queue.cancel(job.request);
            pool.waiting.remove(&job.request);
        }
    }

    /// A request's first attempt is about to be made.
    pub fn began(&mut self, job: &Job, now: Instant) {
        self.retry.first_attempt(&job.entry.owner, &job.model, now);
    }

    /// What becomes of a request whose last attempt failed.
    pub fn failed(
        &mut self,
        job: &Job,
        evidence: &[Evidence],
        layer: Layer,
        now: Instant,
    ) -> retry::Decision {
        let failure = retry::Failure {
            owner: &job.entry.owner,
            model: &job.model,
            repeat: job.entry.repeat,
            evidence,
            layer,
            time_left: job.deadline.saturating_duration_since(now),
            expected: self.expected(&job.entry.name, job.entry.class),
        };
        self.retry.decide(&failure, now, &mut self.rng)
    }

    /// A first attempt is made: the time after which it counts as late, where a second one could then be made.
    pub fn hedge_after(&mut self, job: &Job, now: Instant) -> Option<Duration> {
        self.hedge.after(&job.model, job.entry.class, job.entry.repeat, now)
    }

    /// A place for a second attempt, on an upstream other than the one that is late.
    pub fn hedge(&mut self, job: &Job, busy: &id::Upstream, now: Instant) -> Option<Grant> {
        let avoid = [busy.clone()];
        let pool = self.pools.get_mut(&job.model)?;
        // Waiting requests go first: a second attempt is worth less than another request's first.
        if !pool.queue.is_empty() || !pool.capacity.is_free() {
            return None;
        }
        let chosen = self.route.pick(&job.facts(&avoid), now, &mut self.rng)?;
        let upstream = self.upstreams.get(&chosen)?.announcement.clone();
        if !self.hedge.try_start(&job.model, now) {
            return None;
        }
        self.route.start_attempt(&chosen, now);
        pool.capacity.started(job.entry.class);
        Some(Grant { upstream, since: now })
    }

    /// Takes the end of an attempt and gives its place to the next request.
    pub fn finished(&mut self, job: &Job, grant: &Grant, outcome: Outcome, now: Instant) {
        let class = job.entry.class;
        let took = now.saturating_duration_since(grant.since);
        for suspect in job.suspects() {
            self.quarantine.stopped(suspect, &grant.upstream.id);
        }
        self.route.finish_attempt(&grant.upstream.id, &job.facts(&[]), outcome, took, now);
        if outcome == Outcome::Answered {
            self.admission.observe(&job.entry.name, class, took);
            self.retry.answered(&job.model, now);
            self.hedge.answered(&job.model, took);
        }
        if let Some(pool) = self.pools.get_mut(&job.model) {
            pool.capacity.finished(class);
        }
        self.pump_all(now);
    }

    /// An upstream is there, or announces something else.
    pub fn appeared(&mut self, hosted: Hosted, now: Instant) {
        let announcement = &hosted.announcement;
        self.route.update_announcement(announcement, now);
        if hosted.host != self.me {
            self.slots.follows(&announcement.id, &hosted.host, now);
        }
        self.upstreams.insert(announcement.id.clone(), hosted);
        self.share(now);
    }

    /// An upstream announces to this VM, or renews; this VM leases its slots out.
    pub fn hosts(&mut self, announcement: &Announcement, now: Instant) {
        let known = self.upstreams.get(&announcement.id);
        let before = known.map(|known| known.announcement.incarnation);
        let started = before != Some(announcement.incarnation);
        self.slots.hosts(&announcement.id, announcement.slots, started, now);
    }

    /// The upstreams whose leases this VM holds.
    pub fn hosted(&self) -> Vec<Announcement> {
        let hosted = self.upstreams.values().filter(|hosted| hosted.host == self.me);
        hosted.map(|hosted| hosted.announcement.clone()).collect()
    }

    /// A load report has come.
    pub fn load(&mut self, load: &Load, now: Instant) {
        self.route.update_load(load, now);
    }

    /// An upstream takes no new work.
    pub fn gone(&mut self, id: &id::Upstream, now: Instant) {
        self.route.remove(id);
        self.slots.removed(id);
        self.upstreams.remove(id);
        self.share(now);
    }

    /// The VMs of the region that are alive.
    pub fn members(&mut self, members: Vec<id::Vm>) {
        self.spill.set_vm_count(u32::try_from(members.len()).unwrap_or(u32::MAX));
        self.members = members.len().max(1) as u64;
        self.slots.members(members);
    }

    /// What is to be told to other VMs about slots: what this VM needs, as it stands now. What waits is looked at as well:
    /// free places are given, and what can no longer be in time is given up. To be called many times a second.
    pub fn slots_due(&mut self, now: Instant) -> Vec<(id::Vm, slots::Message)> {
        let waiting = self.pools.iter().map(|(model, pool)| (model.clone(), pool.queue.len()));
        for demand in self.route.demand(&waiting.collect(), now) {
            self.slots.demand(&demand.upstream, demand.running, demand.wanted);
        }
        let due = self.slots.poll(now);
        self.share(now);
        due
    }

    /// Takes what another VM told about slots, and returns the answer.
    pub fn slots_told(
        &mut self,
        from: &id::Vm,
        message: &slots::Message,
        now: Instant,
    ) -> Option<slots::Message> {
        let answer = self.slots.receive(from, message, now);
        self.share_one(message.upstream(), now);
        answer
    }

    /// The same as [`Self::share`] for one upstream. A VM of a large region hears about slots a thousand times a second,
    /// and going through all upstreams each time took 5% of a core; the sums follow with the next tick.
    fn share_one(&mut self, id: &id::Upstream, now: Instant) {
        self.route.set_leased_slots(id, self.slots.allowed(id, now));
        let Some(hosted) = self.upstreams.get(id) else { return };
        let models: Vec<id::Model> = hosted.announcement.models.iter().cloned().collect();
        for model in models {
            self.pump(&model, now);
        }
    }

    fn holders(&self, model: &id::Model) -> impl Iterator<Item = &Hosted> {
        let model = model.clone();
        self.upstreams.values().filter(move |hosted| hosted.announcement.models.contains(&model))
    }

    /// Tells the choice of upstreams how many slots this VM may use now.
    fn share(&mut self, now: Instant) {
        for (id, slots) in self.slots.shares(now) {
            self.route.set_leased_slots(id, slots);
        }
        self.quarantine.set_upstreams(self.upstreams.len());
        self.resize(now);
        self.pump_all(now);
    }

    /// The slots that each pool counts on: what is leased, and its part of the rest, which comes when it is asked for.
    fn resize(&mut self, now: Instant) {
        let mut slots: HashMap<id::Model, Slots> = HashMap::new();
        for upstream in self.upstreams.values().map(|hosted| &hosted.announcement) {
            let part = Slots::new(upstream.slots.get().div_ceil(self.members));
            let usable = self.slots.allowed(&upstream.id, now).max(part);
            for model in &upstream.models {
                *slots.entry(model.clone()).or_default() += usable;
            }
        }
        for model in slots.keys() {
            self.pools.entry(model.clone()).or_insert_with(Pool::new);
        }
        for (model, pool) in &mut self.pools {
            pool.capacity.resize(slots.get(model).copied().unwrap_or_default());
        }
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
            let Some(waiting) = pool.waiting.remove(&ticket.request) else { continue };
            let after = self.admission.retry_after(&ticket, &pool.queue, &pool.capacity, now);
            waiting.answer.send(Err(too_late().with_retry_after(after))).ok();
        }
        let mut unplaced = Vec::new();
        while unplaced.len() < UNPLACED
            && let Some(ticket) = pool.queue.pop(now, &pool.capacity)
        {
            let Some(waiting) = pool.waiting.remove(&ticket.request) else { continue };
            if waiting.answer.is_closed() {
                continue;
            }
            let facts = waiting.job.facts(&waiting.avoid);
            let picked = self.route.pick(&facts, now, &mut self.rng);
            let chosen = picked.and_then(|id| self.upstreams.get_key_value(&id));
            let Job { suspicion, parts, .. } = &*waiting.job;
            let suspect = self.quarantine.worst_suspect(suspicion, parts);
            let allowed = chosen.filter(|(id, _)| self.quarantine.may_start(&suspect, id));
            let Some((chosen, hosted)) = allowed else {
                pool.waiting.insert(ticket.request, waiting);
                unplaced.push(ticket);
                continue;
            };
            let chosen = chosen.clone();
            let grant = Grant { upstream: hosted.announcement.clone(), since: now };
            self.route.start_attempt(&chosen, now);
            for suspect in waiting.job.suspects() {
                self.quarantine.started(*suspect, &chosen, now);
            }
            pool.capacity.started(ticket.class);
            if waiting.answer.send(Ok(grant)).is_err() {
                let facts = waiting.job.facts(&[]);
                self.route.finish_attempt(&chosen, &facts, Outcome::Cancelled, Duration::ZERO, now);
                pool.capacity.finished(ticket.class);
                for suspect in waiting.job.suspects() {
                    self.quarantine.stopped(suspect, &chosen);
                }
            }
        }
        for ticket in unplaced {
            pool.queue.requeue(ticket, now, &pool.capacity);
        }
    }

    /// The service time that a class is expected to take for an entry.
    pub fn expected(&self, entry: &id::Entry, class: Class) -> Duration {
        self.admission.estimate(entry, class).expected()
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
