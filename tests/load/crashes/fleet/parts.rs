//! Parts of prompts that crash upstreams, whatever else a request holds: no two requests are alike.

use std::time::Duration;

use masticstream::decide::quarantine::Digest;
use rand::Rng;
use tokio::time::Instant;
use yare::parameterized;

use super::CASE;
use super::Case;
use super::Fleet;
use super::MAX_LATE_RETRIES;
use super::MAX_SHARED_BYTES;
use super::SPAN;

/// The part that all prompts begin with.
const FIRST: u64 = 1;
/// The parts of sessions, and the deadly ones.
const SESSIONS: u64 = 1_000;
const DEADLY: u64 = 1_000_000;
/// The number of the first request with a deadly part.
const FIRST_NUMBER: usize = 10_000_000;
/// The rule counts requests with a part later than a while after this crash.
const CRASHES_OF_PART: usize = 5;
/// How long after a crash VMs may not know of it: it is detected, evaluated and told to all.
const NEWS_TIME: Duration = Duration::from_millis(400);

/// The parts of an innocent request.
pub fn of_innocent(case: &Case, number: usize) -> Vec<Digest> {
    match case.sessions {
        0 => Vec::new(),
        sessions => {
            [FIRST, SESSIONS + (number * 7919 % sessions) as u64].map(Digest::of_part).into()
        }
    }
}

/// Adds the requests with deadly parts.
pub fn add(fleet: &mut Fleet) {
    let case = fleet.case;
    for deadly in 0..case.deadly_parts {
        let from = case.deadly_from + deadly as f64;
        let mut at = if case.was_sound { 0.0 } else { from };
        while at < SPAN.as_secs_f64() {
            let number = FIRST_NUMBER + fleet.requests.len();
            let culprit = (at >= from).then_some(case.culprits + deadly);
            fleet.add(super::digest(number), culprit, at);
            let request = fleet.requests.last_mut().expect("it was added");
            request.parts = [FIRST, DEADLY + deadly as u64].map(Digest::of_part).into();
            at += fleet.rng.random_range(0.0..2.0 / case.deadly_rate);
        }
    }
}

impl Fleet {
    /// Starts of requests with a deadly part, each of which crashes its upstream, once its first crash could be known.
    fn avoidable_starts(&self, culprit: usize) -> usize {
        let first = self.crashes[culprit].first();
        let is_avoidable = |at: &&Instant| first.is_some_and(|first| **at > *first + NEWS_TIME);
        self.starts[culprit].iter().filter(is_avoidable).count()
    }
}

const PARTS: Case = Case {
    culprits: 0,
    upstreams: 22,
    deadly_parts: 1,
    deadly_rate: 10.0,
    deadly_from: 5.0,
    sessions: 40,
    ..CASE
};

// Guards against upstreams that crash one after the other under requests which share a part of their prompts, and against sound
// requests that are refused for the parts that these share with them.
#[parameterized(
    two_vms = { Case { vms: 2, ..PARTS } },
    six_vms = { PARTS },
    rarely = { Case { deadly_rate: 2.0, ..PARTS } },
    often = { Case { deadly_rate: 30.0, ..PARTS } },
    two_parts = { Case { deadly_parts: 2, ..PARTS } },
    many_sessions = { Case { sessions: 2_000, ..PARTS } },
    before_any_answer = { Case { deadly_from: 0.0, rate: 7.0, ..PARTS } },
    before_any_answer_few_upstreams = { Case { deadly_from: 0.0, rate: 7.0, upstreams: 6, ..PARTS } },
    two_before_any_answer = { Case { deadly_from: 0.0, rate: 7.0, deadly_parts: 2, ..PARTS } },
    sound_before = { Case { was_sound: true, ..PARTS } },
    beside_other_crashes = { Case { others: 8, ..PARTS } },
    with_a_restart_of_all = { Case { restart: true, ..PARTS } },
    a_fleet = { Case { vms: 985, upstreams: 850, rate: 1500.0, sessions: 20_000, ..PARTS } },
)]
fn a_part_that_crashes_upstreams_is_found(case: Case) {
    for seed in 1..=10 {
        let mut fleet = Fleet::new(case, seed);
        fleet.play();
        let (refused, _) = fleet.innocent();
        let sound = fleet.requests.iter().filter(|request| request.culprit.is_none()).count();
        for deadly in 0..case.deadly_parts {
            let culprit = case.culprits + deadly;
            let crashes = fleet.avoidable_starts(culprit);
            assert!(crashes < CRASHES_OF_PART, "{crashes} crashes after the first, seed {seed}");
            let late = fleet.late_starts(culprit, CRASHES_OF_PART);
            assert!(late <= MAX_LATE_RETRIES, "{late} late requests, seed {seed}");
        }
        assert!(refused * 100 <= sound, "{refused} of {sound} sound requests refused, seed {seed}");
        assert!(fleet.largest <= MAX_SHARED_BYTES, "{} bytes, seed {seed}", fleet.largest);
    }
}
