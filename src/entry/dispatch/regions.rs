//! Other regions: what they told, and which requests go there.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::spill;
use crate::decide::spill::ForwardState;
use crate::entry::Dispatch;
use crate::entry::Job;
use crate::id;

/// What a prompt token costs where its prefix isn't cached: engines of today read 10,000 to 50,000 a second.
const COLD_TOKEN: Duration = Duration::from_micros(50);

impl Dispatch {
    /// How long a trip to another region takes.
    pub fn trip(&mut self, region: &id::Region, trip: Duration, now: Instant) {
        self.spill.set_trip_time(region, trip, now);
    }

    /// Another region told how it stands.
    pub fn digest(&mut self, digest: spill::Digest, now: Instant) {
        self.spill.update_digest(digest, now);
    }

    /// The load of this VM, model by model, for the digest of the region.
    pub fn room(&self) -> BTreeMap<id::Model, spill::Room> {
        let room = self.pools.iter().map(|(model, pool)| {
            let capacity = self.holders(model).map(|hosted| hosted.announcement.slots).sum();
            let work = pool.queue.work().as_secs_f64() / pool.capacity.slots().get().max(1) as f64;
            let wait = Duration::from_secs_f64(work);
            (model.clone(), spill::Room { capacity, free: pool.capacity.busy(), wait })
        });
        room.collect()
    }

    /// The region that a request is to run in. What is handed over is followed by [`Self::returned`].
    pub fn region_for(
        &mut self,
        job: &Job,
        journey: ForwardState,
        now: Instant,
    ) -> spill::Decision {
        let ticket = self.ticket(job);
        let servable = self.route.is_servable(&job.facts(&[]));
        let pool = self.pools.get(&job.model).filter(|_| servable);
        let wait = pool.map(|pool| pool.queue.predicted_wait(&ticket, &pool.capacity, now));
        self.spill.update_availability(&job.model, servable, now);
        let facts = spill::Criteria {
            home: &job.entry.home,
            prefers: job.entry.prefers,
            model: &job.model,
            wait,
            service_time: ticket.service,
            cold_penalty: COLD_TOKEN.mul_f64(job.prompt.get() as f64),
            remaining: job.deadline.saturating_duration_since(now),
            prefix_hash: job.prefix.first().copied().unwrap_or(job.request.get() as u64),
            forward_state: journey,
        };
        self.spill.decide(&facts, now, &mut self.rng)
    }

    /// A request that was handed to another region has ended there, or was refused.
    pub fn returned(&mut self, job: &Job, region: &id::Region, refused: bool, now: Instant) {
        if refused {
            self.spill.record_refusal(region);
        }
        self.spill.finish_forward(region, &job.model, now);
    }
}
