//! The load patterns: 24 slots on three upstreams, which is 24 short requests a second.

use std::time::Duration;

use masticstream::catalogue::Class;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::caller::Manner;
use crate::job::Stream;
use crate::pool::Pool;
use crate::pool::Turn;
use crate::world::Setting;

/// Short requests a second that keep every slot busy.
pub const FULL: f64 = 24.0;

/// A load pattern with its seed.
#[derive(Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub setting: Setting,
    pub seed: u64,
}

impl Scenario {
    fn new(name: &'static str, seed: u64, end: u64, streams: &[Stream]) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut jobs: Vec<_> = streams.iter().flat_map(|stream| stream.jobs(&mut rng)).collect();
        jobs.sort_by_key(|job| job.asked);
        let setting = Setting {
            pool: Pool::new(3, 8),
            turns: Vec::new(),
            jobs,
            manner: Manner::default(),
            end: Duration::from_secs(end),
        };
        Self { name, setting, seed }
    }

    fn with_turns(mut self, turns: &[(u64, usize, Option<f64>)]) -> Self {
        let turn =
            |&(at, upstream, slowness)| Turn { at: Duration::from_secs(at), upstream, slowness };
        self.setting.turns = turns.iter().map(turn).collect();
        self
    }

    pub fn steady() -> Self {
        let streams = [
            Stream::new("alerts", Class::Alert, 2.0),
            Stream::new("lookups", Class::Short, 0.7 * FULL),
        ];
        Self::new("steady, 70%", 1, 140, &streams)
    }

    /// Ten seconds of eight times the capacity.
    pub fn burst() -> Self {
        let streams = [
            Stream::new("alerts", Class::Alert, 2.0),
            Stream::new("lookups", Class::Short, 0.5 * FULL),
            Stream::new("burst", Class::Short, 8.0 * FULL).with_span(20, 30),
        ];
        Self::new("burst", 2, 240, &streams)
    }

    /// One owner asks for five times the capacity, twenty others for half of it together.
    pub fn hot_owner() -> Self {
        let streams = [
            Stream::new("others", Class::Short, 0.5 * FULL),
            Stream::new("hot owner", Class::Short, 5.0 * FULL).with_owners(1).with_span(20, 80),
        ];
        Self::new("hot caller", 3, 180, &streams)
    }

    /// One of three upstreams takes ten times as long for a minute.
    pub fn slow_upstream() -> Self {
        let streams = [
            Stream::new("alerts", Class::Alert, 2.0),
            Stream::new("lookups", Class::Short, 0.5 * FULL),
        ];
        Self::new("slow upstream", 4, 180, &streams)
            .with_turns(&[(30, 0, Some(10.0)), (90, 0, Some(1.0))])
    }

    /// Briefings for 70% of the slots, lookups for 20%, a few alerts.
    pub fn long_among_short() -> Self {
        let streams = [
            Stream::new("alerts", Class::Alert, 1.0).with_span(0, 600),
            Stream::new("lookups", Class::Short, 0.2 * FULL).with_span(0, 600),
            Stream::new("briefings", Class::Long, 0.7 * FULL / 30.0).with_span(0, 600),
        ];
        Self::new("long among short", 5, 900, &streams)
    }

    /// Drafts for half an hour of all slots arrive within five minutes and are due in an hour, beside the day's work.
    pub fn drafts() -> Self {
        let streams = [
            Stream::new("lookups", Class::Short, 0.05 * FULL).with_span(0, 3_600),
            Stream::new("briefings", Class::Long, 0.3 * FULL / 30.0).with_span(0, 3_600),
            Stream::new("drafts", Class::Batch, 6.0 * FULL / 30.0).with_span(0, 300),
        ];
        Self::new("drafts", 6, 4_500, &streams)
    }

    /// So many times more lookups than can be served, for two minutes.
    pub fn overload(times: u32) -> Self {
        let name = match times {
            1 => "load 1x",
            2 => "overload 2x",
            5 => "overload 5x",
            20 => "overload 20x",
            _ => "overload",
        };
        let streams = [
            Stream::new("alerts", Class::Alert, 2.0),
            Stream::new("lookups", Class::Short, f64::from(times) * FULL),
        ];
        Self::new(name, 7, 120, &streams)
    }

    /// All upstreams are away for thirty seconds, while callers go on asking.
    pub fn retry_storm() -> Self {
        let streams = [
            Stream::new("alerts", Class::Alert, 2.0),
            Stream::new("lookups", Class::Short, 0.6 * FULL),
        ];
        let turns = [0, 1, 2].map(|upstream| (30, upstream, None));
        let back = [0, 1, 2].map(|upstream| (60, upstream, Some(1.0)));
        Self::new("retry storm", 8, 240, &streams).with_turns(&[turns, back].concat())
    }

    pub fn all() -> Vec<Self> {
        vec![
            Self::steady(),
            Self::burst(),
            Self::hot_owner(),
            Self::slow_upstream(),
            Self::long_among_short(),
            Self::drafts(),
            Self::overload(1),
            Self::overload(2),
            Self::overload(5),
            Self::overload(20),
            Self::retry_storm(),
        ]
    }
}
