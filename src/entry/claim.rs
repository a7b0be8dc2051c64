//! At most once: what the ledger knows of a request's key, and the claim that comes before its first byte leaves.
//!
//! The home region's ledger decides, wherever else the key was used before. It is asked twice. Before the request
//! waits, a look tells whether it ran already: without it a resend of a request that ran could be refused for
//! overload and be told that it ran nowhere. When a place is free, the claim is committed: any earlier, and the
//! loss of this VM would leave requests that only waited here as unknown for ever.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::time;
use tokio::time::Instant;

use crate::entry::Hub;
use crate::entry::Job;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;
use crate::id;
use crate::ledger;
use crate::ledger::Command;
use crate::ledger::Reply;
use crate::settings::site::Vm;
use crate::unit::Version;
use crate::wire;
use crate::wire::Peer;
use crate::wire::Role;
use crate::wire::message::Unavailable;

/// How long a ledger is asked. One round in the region takes a few milliseconds; after links went silent, they are replaced
/// within three seconds, and an election follows.
const ASK: Duration = Duration::from_secs(8);
/// How long a ledger is asked at least, even at the deadline: a refusal is more useful if it says that nothing ran.
const LEAST: Duration = Duration::from_millis(500);
/// How long a ledger is asked whether it answers at all.
const CHECK: Duration = Duration::from_secs(3);
/// Replicas that had no leader are asked again after this.
const PAUSE: Duration = Duration::from_millis(100);
/// A claim that got no answer is asked for again this often, which is harmless, before it is withdrawn.
const CLAIMS: usize = 3;
/// The end of an attempt is told to the ledger until it is heard, for this long.
const SETTLE: Duration = Duration::from_secs(120);
/// When to come back to a ledger that has no majority.
const LEDGER_BACK: Duration = Duration::from_secs(2);
/// When to come back for a request that is in progress elsewhere.
pub const RUNNING_BACK: Duration = Duration::from_secs(1);

/// What the ledger knows of a key.
#[derive(Debug)]
pub enum Known {
    /// It never ran.
    Absent,
    /// The ledger can't be asked, and the request may run without it.
    Unasked,
    /// It runs on that VM.
    Running(id::Vm),
    /// It ran to its end, and this was its answer.
    Answered(Arc<ledger::Answer>),
}

/// What came of a claim.
#[derive(Debug)]
pub enum Claim {
    /// The attempt may run, and no other will.
    Granted(ledger::Step),
    /// Another attempt was first.
    Known(Known),
}

fn key_of(job: &Job) -> Option<&id::Key> {
    job.key.as_ref()
}

/// The region whose ledger decides: the home, and for entries without one the region that the request came to.
fn ledger_region<'a>(hub: &'a Hub, job: &'a Job) -> &'a id::Region {
    job.entry.home.region().unwrap_or_else(|| hub.region())
}

/// What the ledgers of the home, and of homes before it, know of the request.
pub async fn look(hub: &Hub, job: &Job) -> Result<Known, Refusal> {
    let Some(key) = key_of(job) else { return Ok(Known::Absent) };
    let look = ledger::Look {
        owner: job.entry.owner.clone(),
        entry: job.entry.name.clone(),
        key: key.clone(),
        body: job.digest,
        home_since: job.origin.since,
    };
    let home = ledger_region(hub, job);
    for past in job.origin.past.iter().filter(|past| *past != home) {
        // The look at a past home is committed there, and raises the bar for starts that it still gets.
        match ask_for(hub, job, past, Command::Look(look.clone())).await {
            Ok(Reply::Absent) => (),
            other => return known(hub, job, other),
        }
    }
    let asked = peek(hub, home, look, limit(job)).await;
    known(hub, job, asked)
}

/// Claims the key for an attempt of this VM. To be called when the request has a place, before a byte is sent.
pub async fn claim(hub: &Hub, job: &Job, attempt: id::Attempt) -> Result<Claim, Refusal> {
    let Some(key) = key_of(job) else { return Err(unreachable_ledger()) };
    let step = ledger::Step { owner: job.entry.owner.clone(), key: key.clone(), attempt };
    let start = ledger::Start {
        owner: step.owner.clone(),
        entry: job.entry.name.clone(),
        key: step.key.clone(),
        body: job.digest,
        attempt,
        vm: hub.me.clone(),
        incarnation: hub.incarnation(),
        home_since: job.origin.since,
    };
    let region = ledger_region(hub, job).clone();
    let mut last = Err(Unavailable::NoLeader);
    for _ in 0..CLAIMS {
        // Asking again for the same attempt is harmless: it is granted once, and told so each time.
        last = ask_for(hub, job, &region, Command::Start(start.clone())).await;
        if last != Err(Unavailable::Unknown) || Instant::now() >= job.deadline {
            break;
        }
    }
    match last {
        Ok(Reply::Granted) => Ok(Claim::Granted(step)),
        Ok(Reply::Abandoned) => {
            hub.reincarnate();
            Err(unreachable_ledger().with_ran(Ran::No))
        }
        Ok(Reply::Moved { .. }) => {
            // The new home may have started the key already.
            let text = "the entry's home has just moved; the new home answers";
            let refusal = Refusal::new(Reason::HomeUnreachable, text).with_ran(Ran::Unknown);
            Err(refusal.with_retry_after(LEDGER_BACK))
        }
        Err(Unavailable::Unknown) => withdraw(hub, job, &region, step).await,
        other => known(hub, job, other).map(Claim::Known),
    }
}

/// A claim whose answer was lost may still be committed. Told "not run" now, its caller might start anew under
/// another key while this one runs; so it is withdrawn through the log first, which is final.
async fn withdraw(
    hub: &Hub,
    job: &Job,
    region: &id::Region,
    step: ledger::Step,
) -> Result<Claim, Refusal> {
    let withdraw = ledger::Withdraw { step, body: job.digest };
    match ask(hub, region, Command::Withdraw(withdraw)).await {
        Ok(Reply::Withdrawn) => Err(unreachable_ledger().with_ran(Ran::No)),
        other => known(hub, job, other).map(Claim::Known),
    }
}

/// Tells the ledger how an attempt ended, until it is heard.
pub async fn finish(
    hub: &Hub,
    job: &Job,
    step: ledger::Step,
    outcome: ledger::Outcome,
    answer: Option<Arc<ledger::Answer>>,
) {
    let command = Command::Finish(ledger::Finish { step, outcome, answer });
    settle(hub, job, command).await;
}

/// Tells the ledger that an attempt surely reached no upstream, until it is heard.
pub async fn release(hub: &Hub, job: &Job, step: ledger::Step) {
    settle(hub, job, Command::Release(step)).await;
}

async fn settle(hub: &Hub, job: &Job, command: Command) {
    let region = ledger_region(hub, job).clone();
    let until = Instant::now() + SETTLE;
    while Instant::now() < until {
        if ask(hub, &region, command.clone()).await.is_ok() {
            return;
        }
        time::sleep(PAUSE).await;
    }
    warn!(hub.log, "the ledger was not told how a request ended"; "request" => %job.request);
}

fn known(hub: &Hub, job: &Job, asked: Result<Reply, Unavailable>) -> Result<Known, Refusal> {
    let unknown = |text: &str| Refusal::new(Reason::OutcomeUnknown, text).with_ran(Ran::Unknown);
    // A request that may repeat is run again where its earlier run can't be told or no longer be had.
    let again = job.may_repeat().then_some(Known::Unasked);
    match asked {
        Ok(Reply::Absent | Reply::Withdrawn | Reply::Done | Reply::Stale) => Ok(Known::Absent),
        Ok(Reply::Running { vm, .. }) => Ok(Known::Running(vm)),
        Ok(Reply::Granted) => Ok(Known::Running(hub.me.clone())),
        Ok(Reply::Finished { answer: Some(answer), outcome: ledger::Outcome::Whole }) => {
            Ok(Known::Answered(answer))
        }
        Ok(Reply::Finished { outcome: ledger::Outcome::Whole, answer: None }) => {
            again.ok_or_else(|| unknown("the request was answered; the answer is no longer kept"))
        }
        Ok(Reply::Finished { outcome: ledger::Outcome::Broken, .. }) => {
            again.ok_or_else(|| unknown("the answer of the request broke off; it is not run again"))
        }
        Ok(Reply::Unknown) => again
            .ok_or_else(|| unknown("the VM that ran the request was lost; it is not run again")),
        Ok(Reply::Mismatch) => {
            let text = "the key was used for another request";
            Err(Refusal::new(Reason::KeyReused, text))
        }
        Ok(Reply::Abandoned | Reply::Moved { .. }) | Err(_) => again.ok_or_else(unreachable_ledger),
    }
}

/// Whether the request ran before can't be told without its ledger, so it isn't.
fn unreachable_ledger() -> Refusal {
    let text = "the record of what ran has no majority at present";
    Refusal::new(Reason::LedgerUnreachable, text)
        .with_ran(Ran::Unknown)
        .with_retry_after(LEDGER_BACK)
}

/// Has a command committed by the ledger of a region.
pub async fn ask(hub: &Hub, region: &id::Region, command: Command) -> Result<Reply, Unavailable> {
    at_ledger(hub, region, || wire::Request::Ledger(command.clone()), ASK).await
}

/// The same for a request, whose caller waits until its deadline only.
async fn ask_for(
    hub: &Hub,
    job: &Job,
    region: &id::Region,
    command: Command,
) -> Result<Reply, Unavailable> {
    at_ledger(hub, region, || wire::Request::Ledger(command.clone()), limit(job)).await
}

/// How long a ledger may be asked on behalf of a request.
fn limit(job: &Job) -> Duration {
    job.deadline.saturating_duration_since(Instant::now()).clamp(LEAST, ASK)
}

async fn peek(
    hub: &Hub,
    region: &id::Region,
    look: ledger::Look,
    limit: Duration,
) -> Result<Reply, Unavailable> {
    at_ledger(hub, region, || wire::Request::Peek(look.clone()), limit).await
}

/// Whether the region's ledger has a majority that answers this VM.
pub async fn reaches_ledger(hub: &Hub) -> bool {
    let (Ok(owner), Ok(entry), Ok(key)) = ("none".parse(), "none".parse(), "none".parse()) else {
        return false;
    };
    let body = ledger::Digest::new([0; ledger::DIGEST_BYTES]);
    let look = ledger::Look { owner, entry, key, body, home_since: Version::ZERO };
    peek(hub, hub.region(), look, CHECK).await.is_ok()
}

/// Asks the control VMs of a region one after the other, the one that answered last first.
async fn at_ledger(
    hub: &Hub,
    region: &id::Region,
    request: impl Fn() -> wire::Request,
    limit: Duration,
) -> Result<Reply, Unavailable> {
    let Some(mesh) = hub.mesh() else { return Err(Unavailable::NoLeader) };
    let until = Instant::now() + limit;
    let mut worst = Unavailable::NoLeader;
    loop {
        for peer in hub.ledger_peers(region) {
            let left = until.saturating_duration_since(Instant::now());
            match mesh.call(&peer, request(), left).await {
                Ok(wire::Reply::Ledger(Ok(reply))) => {
                    hub.note_ledger(region, &peer.vm);
                    return Ok(reply);
                }
                Ok(wire::Reply::Ledger(Err(Unavailable::NoLeader))) => (),
                Err(error) if error.is_unsent() => (),
                Ok(_) | Err(_) => worst = Unavailable::Unknown,
            }
        }
        if Instant::now() + PAUSE >= until {
            return Err(worst);
        }
        time::sleep(PAUSE).await;
    }
}

impl Hub {
    /// The control daemons that hold a region's ledger, the one that answered last first.
    pub fn ledger_peers(&self, region: &id::Region) -> Vec<Peer> {
        let last = self.last_ledger(region);
        let holds = |vm: &Vm| vm.region == *region && vm.control.is_some();
        let vms = self.site.vms.iter().filter(|(_, vm)| holds(vm));
        let mut names: Vec<id::Vm> = vms.map(|(name, _)| name.clone()).collect();
        names.sort_by_key(|name| last.as_ref() != Some(name));
        names.into_iter().map(|name| Peer::new(name, Role::Control)).collect()
    }
}
