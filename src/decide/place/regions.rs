//! Whether a request is better served in another region.
//!
//! Load pattern: each region has its peak at another hour, and a small one can't serve its own. Without help its callers
//! are refused beside idle engines elsewhere; with too ready help the narrow lines between regions carry prompts that
//! were better read at home, and all VMs of a region run to the same other one at once.
//!
//! A shared part of a prompt is asked for in all regions, by turns. Kept by each region for itself, it is read in each of
//! them, and most prompt work is reading again. So one region holds it, found by rendezvous among the engines of all regions:
//! a prompt's body crosses a line more cheaply than its shared part is read again, and the peak of one region spreads over
//! the engines of all.
//!
//! Streams fill the engines of a region at its peak, and each gets slower, while engines elsewhere run a few. The first event
//! comes soon in both, so compared by that alone they would be equal, and long streams would outlive their callers. So regions
//! are compared by the cost to all callers, as engines are.
//!
//! A region tells its outlook (the expected time to the first event, and the requests that run in its best engine) with each
//! answer that it gives to another, and the VMs of a region tell each other; an outlook that is old doesn't count.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::cost::Case;
use super::health::Evidence;
use super::health::Health;
use super::health::Outcome;
use super::model::Shared;
use super::model::Usual;
use super::model::Work;
use super::seconds;
use crate::decide::route::rendezvous;
use crate::decide::sharing::RegionEstimate;
use crate::id;
use crate::unit::Tokens;

/// A trip to another region and back.
const TRIP: Duration = Duration::from_millis(110);
/// What a request must gain besides: bytes between regions are dear, and the other region has callers of its own.
const PRICE: Duration = Duration::from_millis(150);
/// What a thousand bytes between regions weigh, in seconds in flight: by what operators pay for a GB between regions against
/// what a lost request costs them, 33 kB are as dear as a request that is in flight for one second more.
const PER_KILOBYTE: f64 = 0.03;
/// The bytes of an event and its share of heads.
const EVENT_KILOBYTES: f64 = 0.1;
/// What is expected of a region that has told nothing for long.
const UNKNOWN: Duration = Duration::from_millis(80);
/// An outlook counts for so long; regions fill and empty within seconds.
const OUTLOOK_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Other {
    /// For urgent requests, and for others.
    outlooks: [Option<(Outlook, Instant)>; 2],
    health: Health,
}

/// How a usual request would fare in a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outlook {
    /// The time to its first event.
    pub wait: Duration,
    /// The requests that run in the engine that it would go to.
    pub running: u32,
}

/// The upstreams that take requests, by region.
pub type Open = BTreeMap<id::Region, Vec<id::Upstream>>;

/// What is known of other regions, by service.
#[derive(Debug, Default)]
pub struct Regions {
    others: HashMap<(id::Region, String), Other>,
    /// What was told and not passed on to the other VMs of the region.
    news: BTreeMap<(id::Region, String, bool), (Outlook, Instant)>,
    open: HashMap<String, Open>,
}

/// A request that looks for a region.
#[derive(Clone, Copy)]
pub struct Passage<'a> {
    /// The service.
    pub service: &'a str,
    /// What it asks of an engine.
    pub work: Work,
    /// Whether no other request to the service goes before it.
    pub urgent: bool,
    /// The bytes of its body.
    pub bytes: usize,
    /// The longest that it may be expected to wait for its first event; beyond it, it is refused.
    pub longest: Duration,
    /// Whether a region may serve it.
    pub allows: &'a dyn Fn(&id::Region) -> bool,
}

/// The region whose engine holds the shared part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holder {
    /// The own one.
    Here,
    /// Another one.
    There(id::Region),
    /// There is no shared part, or no engine.
    Nobody,
}

/// A region that may serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The region.
    pub region: id::Region,
    /// The expected time to the first event.
    pub expected: Duration,
    /// The expected time to the last event.
    pub whole: Duration,
    /// All that speaks against it, to compare.
    pub cost: Duration,
}

impl Regions {
    /// Takes in which upstreams of other regions take requests, by service.
    pub fn sync(&mut self, open: HashMap<String, Open>) {
        self.open = open;
    }

    /// A region told its outlook for requests of that urgency.
    pub fn told(
        &mut self,
        region: &id::Region,
        (service, urgent): (&str, bool),
        outlook: Outlook,
        now: Instant,
    ) {
        self.other(region, service).outlooks[usize::from(urgent)] = Some((outlook, now));
        let key = (region.clone(), service.to_owned(), urgent);
        self.news.insert(key, (outlook, now));
    }

    /// What regions told this VM since this was asked last, for the other VMs of its region.
    pub fn news(&mut self, now: Instant) -> Vec<RegionEstimate> {
        let news = std::mem::take(&mut self.news).into_iter();
        let news = news.map(|((region, service, urgent), (outlook, at))| RegionEstimate {
            region,
            service,
            urgent,
            wait: outlook.wait,
            running: outlook.running,
            age: now.saturating_duration_since(at),
        });
        news.collect()
    }

    /// Takes what regions told the VMs of this one, on an average of late.
    pub fn told_by_host(&mut self, remotes: &[RegionEstimate], now: Instant) {
        for remote in remotes {
            let outlook = Outlook { wait: remote.wait, running: remote.running };
            let at = now.checked_sub(remote.age).unwrap_or(now);
            let other = self.other(&remote.region, &remote.service);
            other.outlooks[usize::from(remote.urgent)] = Some((outlook, at));
        }
    }

    /// A request that was passed on ended so.
    pub fn ended(&mut self, region: &id::Region, service: &str, outcome: Outcome, now: Instant) {
        self.other(region, service).health.take(outcome, now);
    }

    /// Which region holds the shared part, where this region's best engine has that weight for it.
    pub fn holder(&self, passage: &Passage<'_>, here: Option<u64>, now: Instant) -> Holder {
        let Some(Shared { key, .. }) = passage.work.shared else { return Holder::Nobody };
        let others = self.reachable(passage, now).filter_map(|(region, upstreams)| {
            let weights = upstreams.iter().map(|id| rendezvous::weight(key, id.as_str()));
            Some((weights.max()?, region))
        });
        match (others.max(), here) {
            (Some((weight, region)), here) if here.is_none_or(|here| weight > here) => {
                Holder::There(region.clone())
            }
            (_, Some(_)) => Holder::Here,
            (_, None) => Holder::Nobody,
        }
    }

    /// The other regions that may serve a request, the best one first. `spread` draws a time by which regions that are
    /// equally good are told apart.
    pub fn offers(
        &self,
        passage: &Passage<'_>,
        holder: &Holder,
        usual: &Usual,
        mut spread: impl FnMut() -> Duration,
        now: Instant,
    ) -> Vec<Offer> {
        let reachable = self.reachable(passage, now);
        let offers = reachable.map(|(region, _)| {
            let (outlook, penalty) = self.standing(region, passage, usual, now);
            let holds = matches!(holder, Holder::There(there) if there == region);
            let again = match passage.work.shared {
                Some(shared) if !holds => shared.tokens,
                _ => Tokens::ZERO,
            };
            let case = case(passage, again, &outlook, usual);
            let estimate = case.estimate(usual, passage.longest);
            let kilobytes = passage.bytes as f64 / 1000.0 + case.events * EVENT_KILOBYTES;
            let line = seconds(kilobytes * PER_KILOBYTE);
            let cost = seconds(estimate.cost) + PRICE + line + penalty + spread();
            let (expected, whole) = (seconds(estimate.first), seconds(estimate.whole));
            Offer { region: region.clone(), expected, whole, cost }
        });
        let mut offers: Vec<Offer> = offers.collect();
        offers.sort_by_key(|offer| offer.cost);
        offers
    }

    /// The regions that may serve a request and can be reached, with their upstreams.
    fn reachable<'a>(
        &'a self,
        passage: &'a Passage<'_>,
        now: Instant,
    ) -> impl Iterator<Item = (&'a id::Region, &'a Vec<id::Upstream>)> {
        let open = self.open.get(passage.service).into_iter().flatten();
        open.filter(move |(region, _)| {
            let other = self.others.get(&((*region).clone(), passage.service.to_owned()));
            (passage.allows)(region) && !other.is_some_and(|other| other.health.is_away(now))
        })
    }

    /// A region's outlook, and what its failures cost.
    fn standing(
        &self,
        region: &id::Region,
        passage: &Passage<'_>,
        usual: &Usual,
        now: Instant,
    ) -> (Outlook, Duration) {
        let unknown = Outlook { wait: UNKNOWN, running: usual.running.round() as u32 };
        let Some(other) = self.others.get(&(region.clone(), passage.service.to_owned())) else {
            return (unknown, Duration::ZERO);
        };
        let fresh =
            |(_, at): &(Outlook, Instant)| now.saturating_duration_since(*at) < OUTLOOK_TIME;
        let told = other.outlooks[usize::from(passage.urgent)];
        let outlook = told.filter(fresh).map_or(unknown, |(outlook, _)| outlook);
        let is_engine = passage.work.own > Tokens::ZERO;
        (outlook, other.health.penalty(is_engine, Evidence::default(), now))
    }

    fn other(&mut self, region: &id::Region, service: &str) -> &mut Other {
        self.others.entry((region.clone(), service.to_owned())).or_default()
    }
}

/// How a request would fare in a region with that outlook, the way there included.
fn case(passage: &Passage<'_>, again: Tokens, outlook: &Outlook, usual: &Usual) -> Case {
    let reads = (passage.work.own + again).get() as f64;
    let way = (outlook.wait + TRIP).as_secs_f64();
    Case {
        first: way + usual.speed.reading(reads),
        reads,
        again: again.get() as f64,
        events: usual.length.events(&passage.work.output),
        running: f64::from(outlook.running),
        slowness: usual.slowness,
    }
}

#[cfg(test)]
mod tests;
