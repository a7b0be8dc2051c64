//! Decides whether to forward a request to another region.
//!
//! Load pattern: regions peak at different hours, and a small one cannot serve its own peak. Without forwarding,
//! requests are rejected while engines elsewhere idle. If requests are forwarded too readily, inter-region bandwidth
//! is wasted on prompts better served locally, and all VMs of a region pick the same target.
//!
//! All regions use the same prefixes. If each region cached its own copy, most prefill work would be redundant. So
//! each prefix is assigned to one region by rendezvous hashing over the engines of all regions: transferring a prompt
//! costs less than recomputing its prefix, and the peak of one region is spread over all.
//!
//! Regions are compared by the cost to all callers, as engines are. By the time to the first event alone, a region
//! with full batches would look as good as one with a few streams, and long streams would exceed their deadlines.
//!
//! A full upstream of a plain service rejects requests, so another region is used before this one is full. The trip is
//! all that forwarding a plain request costs, provided that its objective leaves time for it.
//!
//! A region sends its outlook (the expected time to the first event, the number of requests on its best engine, and how
//! many more requests it has room for) with each answer to another region; the VMs of a region exchange outlooks, and
//! stale ones are ignored.

mod room;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use self::room::Credit;
use super::cost::Conditions;
use super::health::Health;
use super::health::Outcome;
use super::health::OutcomeCounts;
use super::seconds;
use super::service::Prefix;
use super::service::Profile;
use super::service::Work;
use crate::decide::route::rendezvous;
use crate::decide::sharing::RegionEstimate;
use crate::id;
use crate::unit::Tokens;

pub use self::room::Room;

/// The round-trip time to another region.
const ROUND_TRIP: Duration = Duration::from_millis(110);
/// The minimum gain of forwarding, for the bandwidth and for the load on the other region.
const FORWARDING_COST: Duration = Duration::from_millis(150);
/// The same for a plain service whose objective leaves time for the trip. The queues of its upstreams are short, so that a
/// higher cost would keep requests here until they are rejected.
const PLAIN_FORWARDING_COST: Duration = Duration::from_millis(20);
/// The minimum objective of a plain service for that cost, in round trips. With less, the trip would use up the time
/// that a request may wait for a slot there.
const MIN_OBJECTIVE_TRIPS: u32 = 3;
/// The range of the random addend that spreads requests over regions of similar cost.
const JITTER: Duration = Duration::from_millis(20);
/// The cost of 1,000 bytes of inter-region traffic in seconds in flight: 33 kB cost as much as one second more in
/// flight. It follows from what operators pay for a GB between regions and what a lost request costs them.
const COST_PER_KILOBYTE: f64 = 0.03;
/// The size of an event, with its share of the headers.
const EVENT_KILOBYTES: f64 = 0.1;
/// The wait assumed for a region without a current outlook.
const DEFAULT_WAIT: Duration = Duration::from_millis(80);
/// How long an outlook is valid; regions fill up and drain within seconds.
const OUTLOOK_TTL: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Other {
    /// The outlooks for requests that are not urgent and for urgent ones.
    outlooks: [Option<(Outlook, Instant)>; 2],
    credit: Credit,
    health: Health,
}

/// The latency of a typical request in a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outlook {
    /// The time to the first event.
    pub wait: Duration,
    /// The number of requests on the engine that it would run on.
    pub running: u32,
    /// The number of further requests that the region could place; `None` if it is unknown.
    pub room: Option<u32>,
}

/// The upstreams that accept requests, by region.
pub type OpenUpstreams = BTreeMap<id::Region, Vec<id::Upstream>>;

/// The state of other regions, by service.
#[derive(Debug, Default)]
pub struct Regions {
    others: HashMap<(id::Region, String), Other>,
    /// Outlooks not yet sent to the other VMs of the region.
    unsent: BTreeMap<(id::Region, String, bool), (Outlook, Instant)>,
    open: HashMap<String, OpenUpstreams>,
}

/// The requirements of a request that needs a region.
#[derive(Clone, Copy)]
pub struct RegionQuery<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The work for an engine.
    pub work: Work,
    /// Whether the request has the highest priority of the service.
    pub urgent: bool,
    /// The size of the request body.
    pub bytes: usize,
    /// The maximum expected time to the first event; above it, the request is rejected.
    pub max_wait: Duration,
    /// The route's objective.
    pub objective: Duration,
    /// The number of VMs that send to the upstreams of this region; `None` if the request can't be served here.
    pub vms: Option<u32>,
    /// Returns whether a region may serve the request.
    pub allows: &'a dyn Fn(&id::Region) -> bool,
}

/// The region whose engine caches the prefix of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holder {
    /// This region.
    Local,
    /// Another region.
    Remote(id::Region),
    /// The prompt has no shared prefix, or there is no engine.
    Unknown,
}

/// A region that may serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionCandidate {
    /// The region.
    pub region: id::Region,
    /// The expected time to the first event.
    pub first_event: Duration,
    /// The expected time to the last event.
    pub last_event: Duration,
    /// The total cost, for comparison.
    pub cost: Duration,
    /// The room of the region, as last reported.
    pub room: Option<Room>,
    /// Whether the request would be forwarded for want of room here.
    pub is_for_room: bool,
}

impl RegionQuery<'_> {
    /// Returns whether the request may be forwarded before this region is full: it is for a plain service, and the trip
    /// leaves time to be served.
    fn is_forwarded_early(&self) -> bool {
        let is_plain = self.work.suffix == Tokens::ZERO && self.work.prefix.is_none();
        is_plain && self.objective >= ROUND_TRIP * MIN_OBJECTIVE_TRIPS
    }

    /// Returns the number of VMs that divide the room of other regions, if the request is forwarded for want of room. One
    /// that can't be served here has nowhere else to go, whatever is known of the room there.
    pub fn is_forwarded_for_room(&self) -> Option<u32> {
        self.vms.filter(|_| self.is_forwarded_early())
    }
}

impl Regions {
    /// Updates the list of upstreams that accept requests in other regions, by service.
    pub fn sync(&mut self, open: HashMap<String, OpenUpstreams>) {
        self.open = open;
    }

    /// Records the outlook of a region for the given urgency.
    pub fn record_outlook(
        &mut self,
        region: &id::Region,
        (service, urgent): (&str, bool),
        outlook: Outlook,
        now: Instant,
    ) {
        let other = self.other(region, service);
        other.outlooks[usize::from(urgent)] = Some((outlook, now));
        if let Some(places) = outlook.room {
            other.credit.record_room(Room { places, at: now });
        }
        let key = (region.clone(), service.to_owned(), urgent);
        self.unsent.insert(key, (outlook, now));
    }

    /// Removes and returns the outlooks received since the last call, for the other VMs of the region.
    pub fn take_outlooks(&mut self, now: Instant) -> Vec<RegionEstimate> {
        let unsent = std::mem::take(&mut self.unsent).into_iter();
        let unsent = unsent.map(|((region, service, urgent), (outlook, at))| RegionEstimate {
            region,
            service,
            urgent,
            wait: outlook.wait,
            running: outlook.running,
            room: outlook.room,
            age: now.saturating_duration_since(at),
        });
        unsent.collect()
    }

    /// Applies the outlooks that other VMs of the region received.
    pub fn apply_remotes(&mut self, remotes: &[RegionEstimate], now: Instant) {
        for remote in remotes {
            let (wait, running, room) = (remote.wait, remote.running, remote.room);
            let outlook = Outlook { wait, running, room };
            let at = now.checked_sub(remote.age).unwrap_or(now);
            let other = self.other(&remote.region, &remote.service);
            other.outlooks[usize::from(remote.urgent)] = Some((outlook, at));
            if let Some(places) = room {
                other.credit.record_room(Room { places, at });
            }
        }
    }

    /// Records that a request was forwarded.
    pub fn record_sent(&mut self, region: &id::Region, service: &str, now: Instant) {
        self.other(region, service).credit.record_sent(now);
    }

    /// Records the outcome of a request that was forwarded at that time. After a rejection the region counts as full: what
    /// it reported was wrong.
    pub fn record_end(
        &mut self,
        region: &id::Region,
        service: &str,
        (outcome, sent_at): (Outcome, Instant),
        now: Instant,
    ) {
        let other = self.other(region, service);
        other.health.record(outcome, now);
        other.credit.record_end(sent_at);
        if outcome == Outcome::Refused {
            other.credit.record_room(Room { places: 0, at: now });
        }
    }

    /// Returns the region that caches the prefix. `here` is the highest rendezvous weight of this region's engines.
    pub fn holder(&self, query: &RegionQuery<'_>, here: Option<u64>, now: Instant) -> Holder {
        let Some(Prefix { key, .. }) = query.work.prefix else { return Holder::Unknown };
        let others = self.reachable(query, now).filter_map(|(region, upstreams)| {
            let weights = upstreams.iter().map(|id| rendezvous::weight(key, id.as_str()));
            Some((weights.max()?, region))
        });
        match (others.max(), here) {
            (Some((weight, region)), here) if here.is_none_or(|here| weight > here) => {
                Holder::Remote(region.clone())
            }
            (_, Some(_)) => Holder::Local,
            (_, None) => Holder::Unknown,
        }
    }

    /// Returns the other regions that may serve a request, in order of cost. `random` returns random numbers between
    /// zero and one, which break ties.
    pub fn candidates(
        &mut self,
        query: &RegionQuery<'_>,
        holder: &Holder,
        profile: &Profile,
        mut random: impl FnMut() -> f64,
        now: Instant,
    ) -> Vec<RegionCandidate> {
        let (margin, jitter) = match query.is_forwarded_early() {
            // All VMs of the region know the same outlooks. Differences of less than a service time mean little, and
            // without a jitter of that size all VMs would choose the same region until the next outlook.
            true => (PLAIN_FORWARDING_COST, profile.service_time.max(JITTER)),
            false => (FORWARDING_COST, JITTER),
        };
        let is_for_room = query.is_forwarded_for_room().is_some();
        let reachable = self.reachable(query, now);
        let candidates = reachable.map(|(region, _)| {
            let (outlook, penalty) = self.outlook_and_penalty(region, query, profile, now);
            let holds = matches!(holder, Holder::Remote(there) if there == region);
            let uncached = match query.work.prefix {
                Some(prefix) if !holds => prefix.tokens,
                _ => Tokens::ZERO,
            };
            let conditions = conditions(query, uncached, &outlook, profile);
            let estimate = conditions.estimate(profile, query.max_wait);
            let kilobytes = query.bytes as f64 / 1000.0 + conditions.events * EVENT_KILOBYTES;
            let transfer = seconds(kilobytes * COST_PER_KILOBYTE);
            let cost =
                seconds(estimate.cost) + margin + transfer + penalty + jitter.mul_f64(random());
            let (first_event, last_event) =
                (seconds(estimate.first_event), seconds(estimate.last_event));
            let (region, room) = (region.clone(), None);
            RegionCandidate { region, first_event, last_event, cost, room, is_for_room }
        });
        let mut candidates: Vec<RegionCandidate> = candidates.collect();
        candidates.retain_mut(|candidate| {
            let other = self.other(&candidate.region, query.service);
            candidate.room = other.credit.room(now);
            let has_outlook = other.outlook(query.urgent, now).is_some();
            query
                .is_forwarded_for_room()
                .is_none_or(|vms| other.credit.permits(vms, has_outlook, random(), now))
        });
        candidates.sort_by_key(|candidate| candidate.cost);
        candidates
    }

    /// Iterates over the regions that may serve a request and are reachable, with their upstreams.
    fn reachable<'a>(
        &'a self,
        query: &'a RegionQuery<'_>,
        now: Instant,
    ) -> impl Iterator<Item = (&'a id::Region, &'a Vec<id::Upstream>)> {
        let open = self.open.get(query.service).into_iter().flatten();
        open.filter(move |(region, _)| {
            let other = self.others.get(&((*region).clone(), query.service.to_owned()));
            (query.allows)(region) && !other.is_some_and(|other| other.health.is_backing_off(now))
        })
    }

    /// Returns a region's outlook and the penalty for its failures.
    fn outlook_and_penalty(
        &self,
        region: &id::Region,
        query: &RegionQuery<'_>,
        profile: &Profile,
        now: Instant,
    ) -> (Outlook, Duration) {
        let running = profile.running.round() as u32;
        let unknown = Outlook { wait: DEFAULT_WAIT, running, room: None };
        let Some(other) = self.others.get(&(region.clone(), query.service.to_owned())) else {
            return (unknown, Duration::ZERO);
        };
        let outlook = other.outlook(query.urgent, now).unwrap_or(unknown);
        let is_engine = query.work.suffix > Tokens::ZERO;
        (outlook, other.health.penalty(is_engine, OutcomeCounts::default(), now))
    }

    fn other(&mut self, region: &id::Region, service: &str) -> &mut Other {
        self.others.entry((region.clone(), service.to_owned())).or_default()
    }
}

impl Other {
    /// Returns the outlook for that urgency, unless it is stale.
    fn outlook(&self, urgent: bool, now: Instant) -> Option<Outlook> {
        let (outlook, at) = self.outlooks[usize::from(urgent)]?;
        (now.saturating_duration_since(at) < OUTLOOK_TTL).then_some(outlook)
    }
}

/// Returns the conditions for a request in a region with that outlook, the network delay included.
fn conditions(
    query: &RegionQuery<'_>,
    uncached: Tokens,
    outlook: &Outlook,
    profile: &Profile,
) -> Conditions {
    let prefill = (query.work.suffix + uncached).get() as f64;
    let delay = (outlook.wait + ROUND_TRIP).as_secs_f64();
    Conditions {
        first_event: delay + profile.speed.prefill(prefill),
        prefill,
        uncached: uncached.get() as f64,
        events: profile.length.events(&query.work.output),
        running: f64::from(outlook.running),
        slowdown: profile.slowdown,
    }
}

#[cfg(test)]
mod tests;
