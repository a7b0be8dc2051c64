//! A trial of choosing the order of service by what-if runs, behind the same admission.
//!
//! Each quarter of a second the present queue is played through under each order until it is empty; the order by which
//! most requests are in time is used next. docs/design/what-if.md tells what came of it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use masticstream::id;
use tokio::time::Instant;

use crate::job::Job;
use crate::policy::Ours;
use crate::policy::Policy;
use crate::policy::Reply;

/// How long a choice holds.
const HOLDS: Duration = Duration::from_millis(250);

/// At most so many waiting requests are played through.
const DEPTH: usize = 500;

/// An order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    Arrival,
    Deadline,
    Shortest,
}

#[derive(Clone, Debug)]
struct Waiting {
    request: id::Request,
    seq: u64,
    deadline: Instant,
    service: Duration,
}

impl Waiting {
    fn goes_before(&self, other: &Self, order: Order) -> bool {
        match order {
            Order::Arrival => self.seq < other.seq,
            Order::Deadline => (self.deadline, self.seq) < (other.deadline, other.seq),
            Order::Shortest => (self.service, self.seq) < (other.service, other.seq),
        }
    }
}

/// The library's admission and queue bounds, with the order of service chosen by what-if runs.
pub struct WhatIf {
    ours: Ours,
    slots: usize,
    waiting: Vec<Waiting>,
    running: HashMap<id::Request, Instant>,
    order: Order,
    chosen: Option<Instant>,
    seq: u64,
}

impl WhatIf {
    pub fn new(slots: usize) -> Self {
        Self {
            ours: Ours::new(slots),
            slots,
            waiting: Vec::new(),
            running: HashMap::new(),
            order: Order::Arrival,
            chosen: None,
            seq: 0,
        }
    }

    fn choose(&mut self, now: Instant) {
        if self.chosen.is_some_and(|chosen| now < chosen + HOLDS) {
            return;
        }
        self.chosen = Some(now);
        let orders = [Order::Deadline, Order::Arrival, Order::Shortest];
        self.order = orders
            .into_iter()
            .max_by_key(|&order| self.in_time(order, now))
            .unwrap_or(Order::Arrival);
    }

    /// The requests that would be in time if the queue were served in this order until it is empty.
    fn in_time(&self, order: Order, now: Instant) -> usize {
        let mut line: Vec<&Waiting> = self.waiting.iter().take(DEPTH).collect();
        line.sort_by(|a, b| {
            if a.goes_before(b, order) {
                std::cmp::Ordering::Less
            } else {
                std::cmp::Ordering::Greater
            }
        });
        let mut free: BinaryHeap<Reverse<Instant>> =
            self.running.values().map(|&end| Reverse(end.max(now))).collect();
        while free.len() < self.slots.max(1) {
            free.push(Reverse(now));
        }
        let mut in_time = 0;
        for waiting in line {
            let Some(Reverse(start)) = free.pop() else { break };
            let end = start + waiting.service;
            in_time += usize::from(end <= waiting.deadline);
            free.push(Reverse(if end <= waiting.deadline { end } else { start }));
        }
        in_time
    }
}

impl Policy for WhatIf {
    fn arrive(
        &mut self,
        request: id::Request,
        job: &Job,
        deadline: Instant,
        now: Instant,
    ) -> Reply {
        let reply = self.ours.arrive(request, job, deadline, now);
        if matches!(reply, Reply::Wait) {
            self.seq += 1;
            let service = self.ours.expected(job);
            self.waiting.push(Waiting { request, seq: self.seq, deadline, service });
        }
        reply
    }

    fn next(&mut self, now: Instant) -> Option<id::Request> {
        if self.waiting.is_empty() {
            return None;
        }
        self.choose(now);
        let order = self.order;
        let best = (0..self.waiting.len()).reduce(|best, index| {
            if self.waiting[index].goes_before(&self.waiting[best], order) { index } else { best }
        })?;
        let waiting = self.waiting.swap_remove(best);
        self.ours.take(waiting.request);
        self.running.insert(waiting.request, now + waiting.service);
        Some(waiting.request)
    }

    fn finished(&mut self, request: id::Request, job: &Job, service: Duration) {
        self.running.remove(&request);
        self.ours.finished(request, job, service);
    }

    fn gone(&mut self, request: id::Request) {
        self.waiting.retain(|waiting| waiting.request != request);
        self.ours.gone(request);
    }

    fn given_up(&mut self, now: Instant) -> Vec<(id::Request, Duration)> {
        let given_up = self.ours.given_up(now);
        self.waiting
            .retain(|waiting| given_up.iter().all(|(request, _)| *request != waiting.request));
        given_up
    }

    fn next_check(&self) -> Option<Instant> {
        self.ours.next_check()
    }

    fn resize(&mut self, slots: usize) {
        self.slots = slots;
        self.ours.resize(slots);
    }
}
