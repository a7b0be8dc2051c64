//! A request within its owner's limits: charged before it waits, settled by what it took in truth.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use tokio::time::Instant;

use crate::decide::limit;
use crate::decide::limit::Charge;
use crate::entry::Hub;
use crate::entry::Job;
use crate::http::Reason;
use crate::http::Refusal;
use crate::unit::Tokens;

/// A larger part of an entry's limits is waited for so long: two demands, each with a trip to the home VM.
const FIRST_LEASE: Duration = Duration::from_millis(600);
/// Whether it has come is looked at this often.
const LOOK: Duration = Duration::from_millis(10);
/// When to come back where too many requests are in progress.
const BUSY: Duration = Duration::from_secs(1);

/// A charge that is settled whatever way the request ends.
pub struct Charged {
    hub: Arc<Hub>,
    job: Arc<Job>,
    charge: Option<Charge>,
    real: Tokens,
}

impl Charged {
    /// Charges a request, or refuses it.
    pub async fn new(hub: &Arc<Hub>, job: &Arc<Job>) -> Result<Self, Refusal> {
        let sharers = hub.sharers(&job.entry);
        let charge = || hub.quota().charge(&job.entry, job.tokens, &sharers, Instant::now());
        let until = Instant::now() + FIRST_LEASE;
        let mut charged = charge();
        // Failure: a burst comes to a VM whose part of the limit is small since nobody asked there lately, and all
        // but a few are refused although the owner is far below its limit. The home raises the part within a trip
        // or two. An owner that is at its limit gets no more by asking, and is refused without this wait.
        while charged.is_err() && hub.quota().may_grow(&job.entry.name) && Instant::now() < until {
            hub.demand();
            time::sleep(LOOK).await;
            charged = charge();
        }
        match charged {
            Ok(charge) => {
                let (hub, job) = (hub.clone(), job.clone());
                Ok(Self { hub, job, charge: Some(charge), real: Tokens::ZERO })
            }
            Err(refusal) => Err(refused(hub, refusal)),
        }
    }

    /// Notes the tokens that the request took in truth.
    pub fn took(&mut self, tokens: Tokens) {
        self.real = tokens;
    }
}

impl Drop for Charged {
    fn drop(&mut self) {
        let Some(charge) = self.charge.take() else { return };
        self.hub.quota().settle(&self.job.entry.name, charge, self.real, Instant::now());
    }
}

/// Callers refused in the same instant come back spread over half as long again.
fn refused(hub: &Hub, refusal: limit::Refusal) -> Refusal {
    let after = match refusal {
        limit::Refusal::Requests(after) | limit::Refusal::Tokens(after) => after.max(LOOK),
        limit::Refusal::Concurrency | limit::Refusal::Unleased => BUSY,
    };
    let jitter = hub.random(|rng| rand::Rng::random_range(rng, 1.0..1.5));
    Refusal::new(Reason::Limit, refusal.to_string()).with_retry_after(after.mul_f64(jitter))
}
