use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::catalogue::Repeat;
use crate::decide::retry::Decision;
use crate::decide::retry::Evidence;
use crate::decide::retry::Failure;
use crate::decide::retry::Layer;
use crate::decide::retry::Retry;
use crate::id;

/// Results of a minute in which all upstreams fail from the 10th to the 20th second.
struct Stats {
    attempts: usize,
    in_time: usize,
    /// The maximum number of attempts waiting for the upstreams.
    backlog: usize,
}

#[derive(Clone)]
struct Request {
    owner: id::Owner,
    evidence: Vec<Evidence>,
    layer_tries: u32,
    deadline: u64,
}

const STEP: u64 = 10;
const RATE: u64 = 1;
const CAPACITY: usize = 2;
const SECOND: u64 = 1000 / STEP;

/// Simulates 100 requests a second to upstreams that serve 200 a second; a failed request costs as much as a served one.
/// Refused callers resend after the returned time, or after 100 ms without retry control.
fn outage(retry: Option<&mut Retry>) -> Stats {
    let mut retry = retry;
    let (mut rng, start) = (SmallRng::seed_from_u64(5), Instant::now());
    let model: id::Model = "storm".parse().unwrap();
    let mut due: VecDeque<Vec<Request>> = vec![Vec::new(); 200 * SECOND as usize].into();
    let (mut queue, mut stats) = (VecDeque::new(), Stats { attempts: 0, in_time: 0, backlog: 0 });
    for tick in 0..60 * SECOND {
        let now = start + Duration::from_millis(tick * STEP);
        let mut arrived = due.pop_front().unwrap_or_default();
        due.push_back(Vec::new());
        for number in 0..RATE {
            let owner = format!("owner-{}", (tick + number) % 20).parse().unwrap();
            if let Some(retry) = retry.as_mut() {
                retry.first_attempt(&owner, &model, now);
            }
            arrived.push(Request {
                owner,
                evidence: Vec::new(),
                layer_tries: 0,
                deadline: tick + 2 * SECOND,
            });
        }
        stats.attempts += arrived.len();
        queue.extend(arrived);
        stats.backlog = stats.backlog.max(queue.len());
        let down = (10 * SECOND..20 * SECOND).contains(&tick);
        for _ in 0..CAPACITY {
            let Some(mut request): Option<Request> = queue.pop_front() else { break };
            if !down {
                stats.in_time += usize::from(tick <= request.deadline);
                if let Some(retry) = retry.as_mut() {
                    retry.answered(&model, now);
                }
                continue;
            }
            request.evidence.push(Evidence::SaidNotRun);
            let after = match retry.as_mut() {
                Some(retry) => after(retry, &mut request, tick, now, &mut rng),
                None => {
                    // Three tries at each of two layers, then the caller's own resend, each after 100 ms.
                    request.layer_tries += 1;
                    if request.layer_tries.is_multiple_of(9) {
                        request.deadline = tick + 2 * SECOND;
                    }
                    Duration::from_millis(100)
                }
            };
            let place = (after.as_millis() as u64 / STEP) as usize;
            due[place].push(request);
        }
    }
    stats
}

fn after(
    retry: &mut Retry,
    request: &mut Request,
    tick: u64,
    now: Instant,
    rng: &mut SmallRng,
) -> Duration {
    let failure = Failure {
        owner: &request.owner,
        model: &"storm".parse().unwrap(),
        repeat: Repeat::Allowed,
        evidence: &request.evidence,
        layer: Layer::First,
        time_left: Duration::from_millis(request.deadline.saturating_sub(tick) * STEP),
        expected: Duration::from_millis(50),
    };
    match retry.decide(&failure, now, rng) {
        Decision::Retry { after } => after,
        Decision::GiveUp { retry_after, .. } => {
            // The caller resends at the returned time, with a new deadline.
            request.evidence.clear();
            request.deadline = tick + 2 * SECOND + retry_after.as_millis() as u64 / STEP;
            retry_after
        }
    }
}

// Guards against retries that multiply the load during an outage and delay requests after it.
#[test]
fn a_retry_storm() {
    let (ours, naive) = (outage(Some(&mut Retry::new(Instant::now()))), outage(None));
    for (policy, stats) in [("ours", &ours), ("naive", &naive)] {
        let Stats { attempts, in_time, backlog } = stats;
        println!("| retry storm | {policy} | {attempts} | {in_time} | {backlog} |");
    }
    assert!(ours.attempts < naive.attempts);
    assert!(ours.in_time > naive.in_time);
    assert!(ours.backlog * 2 < naive.backlog);
}

// Guards against one owner's failures using up the retries of the other owners.
#[test]
fn one_owner_uses_up_its_own_retries() {
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    let mut retry = Retry::new(now);
    let model: id::Model = "storm".parse().unwrap();
    let mut tries = |owner: &str, times: usize| -> usize {
        let owner = owner.parse().unwrap();
        let failure = Failure {
            owner: &owner,
            model: &model,
            repeat: Repeat::Allowed,
            evidence: &[Evidence::NothingSent],
            layer: Layer::First,
            time_left: Duration::from_secs(9),
            expected: Duration::from_secs(1),
        };
        let decisions = (0..times).map(|_| retry.decide(&failure, now, &mut rng));
        decisions.filter(|decision| matches!(decision, Decision::Retry { .. })).count()
    };
    assert_eq!(tries("hot", 100), 10);
    assert_eq!(tries("other", 3), 3);
}
