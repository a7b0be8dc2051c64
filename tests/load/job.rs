//! What a caller wants: one answer in time, however many tries it takes.

use std::time::Duration;

use masticstream::catalogue::Class;
use masticstream::id;
use rand::Rng;
use rand::rngs::SmallRng;

/// One wanted answer.
#[derive(Clone, Debug)]
pub struct Job {
    /// The row of the table that this job counts in.
    pub group: &'static str,
    pub owner: id::Owner,
    pub entry: id::Entry,
    pub class: Class,
    /// When the caller first asks, since the start.
    pub asked: Duration,
    /// How long each try may take, by the caller's own word.
    pub window: Duration,
    /// How long a slot is really busy with it.
    pub service: Duration,
}

/// A stream of jobs of one kind.
#[derive(Clone, Debug)]
pub struct Stream {
    pub group: &'static str,
    pub class: Class,
    /// The jobs are spread evenly over so many owners named after the group.
    pub owners: usize,
    pub window: Duration,
    /// The mean service time; single ones vary from a half to three times as much.
    pub service: Duration,
    /// Jobs a second.
    pub rate: f64,
    pub from: Duration,
    pub until: Duration,
}

impl Stream {
    pub fn new(group: &'static str, class: Class, rate: f64) -> Self {
        let (window, service) = match class {
            Class::Alert => (3.0, 0.4),
            Class::Short => (5.0, 1.0),
            Class::Long => (180.0, 30.0),
            Class::Batch => (3_600.0, 30.0),
        };
        Self {
            group,
            class,
            owners: 20,
            window: Duration::from_secs_f64(window),
            service: Duration::from_secs_f64(service),
            rate,
            from: Duration::ZERO,
            until: Duration::from_secs(120),
        }
    }

    pub fn with_owners(self, owners: usize) -> Self {
        Self { owners, ..self }
    }

    pub fn with_span(self, from: u64, until: u64) -> Self {
        Self { from: Duration::from_secs(from), until: Duration::from_secs(until), ..self }
    }

    /// The jobs of this stream: independent arrivals, service times of a shifted exponential distribution.
    pub fn jobs(&self, rng: &mut SmallRng) -> Vec<Job> {
        let mut jobs = Vec::new();
        let mut asked = self.from;
        loop {
            asked += Duration::from_secs_f64(exponential(rng) / self.rate);
            if asked >= self.until {
                return jobs;
            }
            let owner =
                format!("{}-{}", self.group.replace(' ', "-"), rng.random_range(0..self.owners));
            let factor = (0.5 + 0.5 * exponential(rng)).min(3.0);
            jobs.push(Job {
                group: self.group,
                entry: owner.parse().expect("a name"),
                owner: owner.parse().expect("a name"),
                class: self.class,
                asked,
                window: self.window,
                service: self.service.mul_f64(factor),
            });
        }
    }
}

/// An exponentially distributed number of mean 1.
pub fn exponential(rng: &mut SmallRng) -> f64 {
    -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln()
}
