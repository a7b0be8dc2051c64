//! One request as its caller sees it: sent, resent while it is lost or refused, judged.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::sync::Mutex;
use tokio::time;
use tokio::time::Instant;

use crate::http::Ran;
use crate::http::client::Client;
use crate::http::refusal::Problem;
use crate::http::refusal::TYPE_PREFIX;
use crate::id;
use crate::load::directory::Book;
use crate::load::exchange;
use crate::load::exchange::Answer;
use crate::load::exchange::Ended;
use crate::load::question::Question;
use crate::load::scenario::Caller;

/// The shortest wait before a request is sent again that nobody gave a time for.
const BACKOFF: Duration = Duration::from_millis(100);
/// The longest one.
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);

/// A caller that is about to give up still waits that long for the answer to its last sending: cut off in the middle,
/// an honest refusal that is on its way would count as lost.
const LAST: Duration = Duration::from_secs(10);

/// How a request ended for its caller.
#[derive(Debug)]
pub enum Fate {
    /// A whole answer and its own.
    Answered {
        /// From the first sending to the first piece.
        first: Duration,
        /// From the first sending to the last piece.
        whole: Duration,
        /// Times between its pieces.
        gaps: Vec<Duration>,
        /// The region that it comes from.
        region: Option<id::Region>,
    },
    /// An answer that isn't its own, or is no answer.
    Wrong,
    /// A refusal that coming back doesn't change, or the last one before the caller gave up.
    Refused {
        /// The refusal's name.
        reason: String,
    },
    /// Neither answer nor refusal.
    Lost,
}

/// What is known of a request at its end.
#[derive(Debug)]
pub struct Record {
    /// Its key.
    pub key: id::Key,
    /// How it ended.
    pub fate: Fate,
    /// Times that it was sent.
    pub sends: u64,
    /// Names of all refusals on the way.
    pub refusals: Vec<String>,
    /// Whether each time that it was sent ended in a refusal that says that it ran nowhere.
    pub said_not_run: bool,
}

/// Sends a request until it is answered, refused for good, or given up.
pub async fn live(
    client: &Client,
    book: &Mutex<Book>,
    caller: &Caller,
    question: Question,
    mut rng: SmallRng,
) -> Record {
    let started = Instant::now();
    let until = started + caller.give_up;
    let mut avoid = None;
    let mut record = Record {
        key: question.key.clone(),
        fate: Fate::Lost,
        sends: 0,
        refusals: Vec::new(),
        said_not_run: true,
    };
    while Instant::now() < until {
        let Some(vm) = choose(client, book, avoid, &mut rng).await else {
            time::sleep(BACKOFF).await;
            continue;
        };
        record.sends += 1;
        let wait = match exchange::ask(client, vm, &question, until + LAST).await {
            Ended::Whole(answer) => {
                record.said_not_run = false;
                record.fate = judge(answer, &question, started);
                return record;
            }
            Ended::Refused(problem) => {
                record.said_not_run &= problem.ran == Ran::No;
                let reason = reason(&problem);
                record.refusals.push(reason.clone());
                let leaves = reason == "draining";
                record.fate = Fate::Refused { reason };
                if is_final(&problem) {
                    return record;
                }
                avoid = leaves.then_some(vm);
                problem.retry_after_ms.map(Duration::from_millis)
            }
            Ended::Lost => {
                record.said_not_run = false;
                record.fate = Fate::Lost;
                avoid = Some(vm);
                Some(Duration::ZERO).filter(|_| record.sends == 1)
            }
        };
        if let Some(lost) = avoid {
            book.lock().await.distrust(lost);
        }
        let wait = wait.unwrap_or_else(|| backoff(record.sends, &mut rng));
        time::sleep_until((Instant::now() + wait).min(until)).await;
    }
    record
}

async fn choose(
    client: &Client,
    book: &Mutex<Book>,
    avoid: Option<SocketAddr>,
    rng: &mut SmallRng,
) -> Option<SocketAddr> {
    let mut book = book.lock().await;
    book.refresh(client).await;
    book.pick(avoid, rng)
}

/// Doubles with each sending, and spreads over its upper half, so that callers don't come back together.
fn backoff(sends: u64, rng: &mut SmallRng) -> Duration {
    let doublings = sends.saturating_sub(1).min(10) as u32;
    let wait = (BACKOFF * 2_u32.pow(doublings)).min(LONGEST_BACKOFF);
    wait.mul_f64(rng.random_range(0.5..1.0))
}

fn reason(problem: &Problem) -> String {
    problem.kind.strip_prefix(TYPE_PREFIX).unwrap_or(&problem.kind).to_owned()
}

/// Whether coming back can't help: the VM names no time, and the fault is the request's own.
fn is_final(problem: &Problem) -> bool {
    let own = (400..500).contains(&problem.status) && !matches!(problem.status, 408 | 429);
    own && problem.retry_after_ms.is_none()
}

fn judge(answer: Answer, question: &Question, started: Instant) -> Fate {
    if answer.text != question.answer {
        return Fate::Wrong;
    }
    Fate::Answered {
        first: answer.first - started,
        whole: started.elapsed(),
        gaps: answer.gaps,
        region: answer.region,
    }
}
