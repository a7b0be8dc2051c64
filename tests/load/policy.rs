//! The decision under test: who waits, who is refused, who is next.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use masticstream::decide::admission::Admission;
use masticstream::decide::admission::Decision;
use masticstream::decide::queue::Bounds;
use masticstream::decide::queue::Capacity;
use masticstream::decide::queue::Queue;
use masticstream::decide::queue::Ticket;
use masticstream::id;
use masticstream::unit::Bytes;
use masticstream::unit::Slots;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::job::Job;
use crate::what_if::WhatIf;

/// What a caller hears at once.
pub enum Reply {
    /// It waits.
    Wait,
    /// It is refused, and told when to come back.
    Refused(Duration),
}

/// A gateway's choice among requests for one set of upstreams.
pub trait Policy {
    /// A request arrives; its caller waits until `deadline`.
    fn arrive(&mut self, request: id::Request, job: &Job, deadline: Instant, now: Instant)
    -> Reply;
    /// The request that starts now, if one may.
    fn next(&mut self, now: Instant) -> Option<id::Request>;
    /// A request ended.
    fn finished(&mut self, request: id::Request, job: &Job, service: Duration);
    /// The caller of a waiting request has gone.
    fn gone(&mut self, _request: id::Request) {}
    /// Requests that were given up on, and when their callers should come back.
    fn given_up(&mut self, _now: Instant) -> Vec<(id::Request, Duration)> {
        Vec::new()
    }
    /// When [`Self::given_up`] should be asked again.
    fn next_check(&self) -> Option<Instant> {
        None
    }
    /// The number of slots changed.
    fn resize(&mut self, _slots: usize) {}
}

/// Arrival order, no bound, no deadline, no look at whether the caller is still there.
#[derive(Default)]
pub struct Fifo {
    waiting: VecDeque<id::Request>,
    left: HashSet<id::Request>,
    /// Whether requests leave the queue with their callers.
    pub notices_gone: bool,
}

impl Policy for Fifo {
    fn arrive(&mut self, request: id::Request, _: &Job, _: Instant, _: Instant) -> Reply {
        self.waiting.push_back(request);
        Reply::Wait
    }

    fn next(&mut self, _: Instant) -> Option<id::Request> {
        loop {
            let request = self.waiting.pop_front()?;
            if !self.left.remove(&request) {
                return Some(request);
            }
        }
    }

    fn finished(&mut self, _: id::Request, _: &Job, _: Duration) {}

    fn gone(&mut self, request: id::Request) {
        if self.notices_gone {
            self.left.insert(request);
        }
    }
}

/// The library's queue and admission.
pub struct Ours {
    admission: Admission,
    queue: Queue,
    capacity: Capacity,
}

impl Ours {
    pub fn new(slots: usize) -> Self {
        Self {
            admission: Admission::new(SmallRng::seed_from_u64(7)),
            queue: Queue::new(Bounds::default()),
            capacity: Capacity::new(Slots::new(slots as u64)),
        }
    }
}

impl Ours {
    /// The expected service time of a job.
    pub fn expected(&self, job: &Job) -> Duration {
        self.admission.estimate(&job.entry, job.class).expected()
    }

    /// Starts a waiting request out of turn.
    pub fn take(&mut self, request: id::Request) {
        if let Some(ticket) = self.queue.cancel(request) {
            self.capacity.started(ticket.class);
        }
    }
}

impl Policy for Ours {
    fn arrive(
        &mut self,
        request: id::Request,
        job: &Job,
        deadline: Instant,
        now: Instant,
    ) -> Reply {
        let estimate = self.admission.estimate(&job.entry, job.class);
        let ticket = Ticket {
            request,
            owner: job.owner.clone(),
            class: job.class,
            weight: 1,
            deadline,
            service: estimate.expected(),
            tail: estimate.tail(),
            size: Bytes::new(4_000),
            arrived: now,
        };
        match self.admission.admit(&ticket, &self.queue, &self.capacity, now) {
            Decision::Refuse { retry_after, .. } => Reply::Refused(retry_after),
            Decision::Accept => {
                self.queue.push(ticket, now).expect("what is admitted has room");
                Reply::Wait
            }
        }
    }

    fn next(&mut self, now: Instant) -> Option<id::Request> {
        let ticket = self.queue.pop(now, &self.capacity)?;
        self.capacity.started(ticket.class);
        Some(ticket.request)
    }

    fn finished(&mut self, _: id::Request, job: &Job, service: Duration) {
        self.capacity.finished(job.class);
        self.admission.observe(&job.entry, job.class, service);
    }

    fn gone(&mut self, request: id::Request) {
        self.queue.cancel(request);
    }

    fn given_up(&mut self, now: Instant) -> Vec<(id::Request, Duration)> {
        let tickets = self.queue.expired(now);
        let mut told = Vec::new();
        for ticket in tickets {
            let after = self.admission.retry_after(&ticket, &self.queue, &self.capacity, now);
            told.push((ticket.request, after));
        }
        told
    }

    fn next_check(&self) -> Option<Instant> {
        self.queue.next_expiry()
    }

    fn resize(&mut self, slots: usize) {
        self.capacity.resize(Slots::new(slots as u64));
    }
}

/// The kinds of policy that a scenario is run against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Fifo,
    FifoNoticing,
    Ours,
    WhatIf,
}

impl Kind {
    pub fn build(self, slots: usize) -> Box<dyn Policy> {
        match self {
            Self::Fifo => Box::new(Fifo::default()),
            Self::FifoNoticing => Box::new(Fifo { notices_gone: true, ..Fifo::default() }),
            Self::Ours => Box::new(Ours::new(slots)),
            Self::WhatIf => Box::new(WhatIf::new(slots)),
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::Fifo => "FIFO",
            Self::FifoNoticing => "FIFO, drops requests whose callers left",
            Self::Ours => "ours",
            Self::WhatIf => "ours, order by what-if runs",
        }
    }
}
