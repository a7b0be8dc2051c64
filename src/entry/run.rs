//! The life of one request: looked up, waiting, claimed, attempted, answered.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use crate::decide::quarantine::Status;
use crate::decide::retry;
use crate::decide::retry::Evidence;
use crate::decide::retry::Layer;
use crate::decide::spill;
use crate::decide::spill::ForwardState;
use crate::entry::Hub;
use crate::entry::Job;
use crate::entry::charged::Charged;
use crate::entry::claim;
use crate::entry::claim::Known;
use crate::entry::stage;
use crate::entry::stage::Checked;
use crate::entry::stage::Unclaimed;
use crate::entry::transcript::End;
use crate::entry::transcript::Head;
use crate::entry::transcript::Writer;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;
use crate::http::answer::Failure;
use crate::http::answer::Fault;
use crate::http::forward;
use crate::id;
use crate::ledger;

/// Who reads along with another VM asks again after so long without a first piece.
const JOIN_PATIENCE: Duration = Duration::from_secs(3);

/// How long to wait for the record of a run that has ended, and how often the ledger is asked for it.
const RECORD_PATIENCE: Duration = Duration::from_secs(3);
const RECORD_PAUSE: Duration = Duration::from_millis(50);

/// A caller who waits for a stream hears that its request is alive this often.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// A request that is cut off asks the ledger once more, where it is there.
const CUTOFF_PATIENCE: Duration = Duration::from_millis(500);

/// A request's claim, where it made one, and how it ended.
type Ended = (Option<ledger::Step>, Result<(), Refusal>);

/// Runs a request to its end and writes its answer.
pub async fn run(hub: Arc<Hub>, job: Arc<Job>, out: Arc<Writer>) {
    let _stream = hub.enter();
    let (step, ended) = tokio::select! {
        biased;
        ended = answer(&hub, &job, &out) => ended,
        () = after_cutoff(&hub) => (None, Err(hub.cutoff_refusal(Ran::Unknown))),
        // Nobody reads, and a request without a key can't be asked for again.
        () = out.abandoned(), if job.key.is_none() => {
            hub.metrics.ended(job.entry.class, "abandoned");
            return;
        }
        // The VM that passed a request on tells its caller itself.
        never = keep_alive(&out), if job.events && !job.is_forwarded() => match never {},
    };
    // Failure: the ledger loses its majority while the request runs, and the caller, who has the answer but for its end,
    // waits for a record that it has no use for. The claim was committed before the request ran, which is what keeps
    // it from running twice; until its end is recorded, resends that come here read this answer along.
    let record = Record::of(&job, &out, &ended);
    match ended {
        Ok(()) => {
            hub.metrics.ended(job.entry.class, "whole");
            hub.metrics.latency(job.entry.class, job.arrived.elapsed());
            out.end(End::Whole);
        }
        Err(refusal) => {
            hub.metrics.ended(job.entry.class, refusal.reason.name());
            info!(hub.log, "request refused"; "request" => %job.request, "entry" => %job.entry.name,
                "reason" => refusal.reason.name(), "ran" => ?refusal.ran, "detail" => &refusal.detail);
            out.end(End::Refused(refusal));
        }
    }
    if let Some(step) = step {
        settle(&hub, &job, step, record).await;
    }
}

/// Tells a caller who waits for a stream that its request is alive, again and again until the answer begins. Proxies
/// and callers' libraries give up on connections that carry nothing, often after a minute.
async fn keep_alive(out: &Writer) -> Infallible {
    let mut ticks = time::interval_at(Instant::now() + KEEP_ALIVE, KEEP_ALIVE);
    while out.pushed() == 0 {
        ticks.tick().await;
        if out.pushed() == 0 {
            let kind = HeaderValue::from_static("text/event-stream");
            let headers = vec![(header::CONTENT_TYPE, kind)];
            out.comment(Head { status: StatusCode::OK, headers, events: true });
        }
    }
    std::future::pending().await
}

/// Waits until a request that is cut off has had time to end by itself, with what is known of it.
async fn after_cutoff(hub: &Hub) {
    hub.cutoff().passed().await;
    time::sleep(CUTOFF_PATIENCE).await;
}

/// How a claim ends.
enum Record {
    /// The request was answered; this is kept for resends.
    Answered(Option<Arc<ledger::Answer>>),
    /// The key is free again: nothing ran, or what ran may run again.
    Free,
    /// The request may have run, and is not run again.
    Broken,
}

impl Record {
    fn of(job: &Job, out: &Writer, ended: &Result<(), Refusal>) -> Self {
        match ended {
            Ok(()) => Self::Answered(out.kept_answer().map(Arc::new)),
            Err(refusal) if refusal.ran == Ran::No || job.may_repeat() => Self::Free,
            Err(_) => Self::Broken,
        }
    }
}

async fn settle(hub: &Hub, job: &Job, step: ledger::Step, record: Record) {
    match record {
        Record::Answered(answer) => {
            claim::finish(hub, job, step, ledger::Outcome::Whole, answer).await;
        }
        Record::Free => claim::release(hub, job, step).await,
        Record::Broken => claim::finish(hub, job, step, ledger::Outcome::Broken, None).await,
    }
}

/// Answers from what is known of the request's key, else by running it.
async fn answer(hub: &Arc<Hub>, job: &Arc<Job>, out: &Writer) -> Ended {
    let must_claim = job.key.is_some() && !job.is_forwarded();
    if !must_claim {
        return execute(hub, job, out, false).await;
    }
    match claim::look(hub, job).await {
        Ok(Known::Absent) => execute(hub, job, out, true).await,
        Ok(Known::Unasked) => execute_again(hub, job, out).await,
        Ok(known) => match replay(hub, job, out, known).await {
            Err(_) if job.may_repeat() && out.pushed() == 0 => execute_again(hub, job, out).await,
            replayed => (None, replayed),
        },
        Err(refusal) => (None, Err(refusal)),
    }
}

/// Runs a request that may repeat without a claim. What came of an earlier send is not known, so no refusal of this
/// one may say that nothing ran.
async fn execute_again(hub: &Arc<Hub>, job: &Arc<Job>, out: &Writer) -> Ended {
    let (step, ended) = execute(hub, job, out, false).await;
    (step, ended.map_err(|refusal| refusal.with_ran(Ran::Unknown)))
}

/// Answers a request that ran or runs elsewhere.
async fn replay(hub: &Hub, job: &Job, out: &Writer, known: Known) -> Result<(), Refusal> {
    let mut known = known;
    let mut until = None;
    loop {
        let vm = match known {
            Known::Answered(answer) => {
                let kind = HeaderValue::from_str(&answer.media);
                let headers = kind.into_iter().map(|kind| (header::CONTENT_TYPE, kind)).collect();
                let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
                let events = answer.media.starts_with("text/event-stream");
                let body = Bytes::copy_from_slice(&answer.body);
                out.whole_answer(Head { status, headers, events }, body);
                return Ok(());
            }
            Known::Running(vm) => vm,
            Known::Absent | Known::Unasked => {
                return Err(in_progress("the request was given up elsewhere"));
            }
        };
        match join(hub, job, out, &vm).await? {
            Joined::Answered => return Ok(()),
            // The ledger was asked before the end of the run, and knows more by now.
            Joined::Late => known = claim::look(hub, job).await?,
        }
        if matches!(&known, Known::Running(other) if *other == vm) {
            let until = *until.get_or_insert(job.deadline.min(Instant::now() + RECORD_PATIENCE));
            if Instant::now() >= until {
                let text = format!("the request ended on {vm}, and how is being recorded");
                return Err(in_progress(&text));
            }
            time::sleep(RECORD_PAUSE).await;
        }
    }
}

/// What came of reading along.
enum Joined {
    /// The whole answer was read.
    Answered,
    /// The request had ended before.
    Late,
}

/// Reads along with the VM that runs the request.
async fn join(hub: &Hub, job: &Job, out: &Writer, vm: &id::Vm) -> Result<Joined, Refusal> {
    let address = hub.site.vms.get(vm).and_then(|vm| Some(vm.entry.as_ref()?.forwards));
    let Some(address) = address.filter(|_| *vm != hub.me) else {
        return Err(in_progress("the request was started, and how it ended is being recorded"));
    };
    let mut sink = stage::sink(hub, job, out, &|| true);
    sink.patience.first = sink.patience.first.min(JOIN_PATIENCE);
    loop {
        let Err(failure) = forward::ask_join(hub, job, address, &sink).await else {
            return Ok(Joined::Answered);
        };
        if failure.fault == Fault::Ended && out.pushed() == 0 {
            return Ok(Joined::Late);
        }
        // Joining again is harmless, and a connection that has gone silent is found out no other way.
        let again = failure.fault == Fault::Silent && out.pushed() == 0;
        if !again || Instant::now() >= job.deadline {
            return Err(in_progress(&format!("the request runs on {vm}: {}", failure.why)));
        }
    }
}

fn in_progress(detail: &str) -> Refusal {
    Refusal::new(Reason::OutcomeUnknown, detail)
        .with_ran(Ran::Unknown)
        .with_retry_after(claim::RUNNING_BACK)
}

/// Runs the request within its owner's limits.
async fn execute(hub: &Arc<Hub>, job: &Arc<Job>, out: &Writer, must_claim: bool) -> Ended {
    if hub.is_draining() && !job.is_forwarded() {
        return (None, Err(hub.draining_refusal()));
    }
    let mut charged = None;
    if hub.charges(job) {
        match Charged::new(hub, job).await {
            Ok(charge) => charged = Some(charge),
            Err(refusal) => return (None, Err(refusal)),
        }
    }
    let checked = Checked::new(hub.clone(), job.clone(), must_claim);
    let (step, ended) = match elsewhere(hub, job, out, checked).await {
        Elsewhere::Stays { checked, evidence } => match charge_away(hub, job, &mut charged).await {
            Ok(()) => attempts(hub, job, out, checked, evidence).await,
            Err(refusal) => {
                let refusal = refusal.with_ran(Ran::after(&evidence));
                (checked.into_step(), Err(refusal))
            }
        },
        Elsewhere::Ended(ended) => ended,
    };
    let ended = match ended {
        Err(refusal) if must_claim && step.is_none() && refusal.ran == Ran::No => {
            Err(still_not_run(hub, job, refusal).await)
        }
        ended => ended,
    };
    if let Some(charged) = &mut charged {
        charged.took(out.tokens(job.prompt));
    }
    (step, ended)
}

/// What another region's entry runs here, for want of its home, counts against the owner all the same.
async fn charge_away(
    hub: &Arc<Hub>,
    job: &Arc<Job>,
    charged: &mut Option<Charged>,
) -> Result<(), Refusal> {
    if charged.is_none() && !job.is_forwarded() {
        *charged = Some(Charged::new(hub, job).await?);
    }
    Ok(())
}

/// Asks once more before a request that waited is told that it did not run: a resend of it through another VM may
/// have run meanwhile.
async fn still_not_run(hub: &Hub, job: &Job, refusal: Refusal) -> Refusal {
    match claim::look(hub, job).await {
        Ok(Known::Absent) => refusal,
        _ => refusal.with_ran(Ran::Unknown),
    }
}

/// What came of handing a request to another region.
enum Elsewhere {
    /// It runs here.
    Stays {
        /// The request.
        checked: Checked,
        /// What is known of its attempt elsewhere.
        evidence: Vec<Evidence>,
    },
    /// It was answered or refused.
    Ended(Ended),
}

/// Hands the request to another region where that is better; what is refused there stays here.
async fn elsewhere(hub: &Arc<Hub>, job: &Arc<Job>, out: &Writer, checked: Checked) -> Elsewhere {
    let journey = if job.is_forwarded() { ForwardState::Forwarded } else { ForwardState::Original };
    let decision = hub.dispatch().region_for(job, journey, Instant::now());
    let region = match decision {
        spill::Decision::Forward(region) => region,
        // Bound requests were sent home before their body was read.
        spill::Decision::Local | spill::Decision::Redirect(_) => {
            return Elsewhere::Stays { checked, evidence: Vec::new() };
        }
    };
    let Some(address) = hub.forward_address(&region) else {
        hub.dispatch().returned(job, &region, true, Instant::now());
        return Elsewhere::Stays { checked, evidence: Vec::new() };
    };
    debug!(hub.log, "handed over"; "request" => %job.request, "region" => %region);
    let handed = checked.hand_over(address, out).await;
    let refused = !matches!(handed, Ok((_, Ok(()))));
    hub.dispatch().returned(job, &region, refused, Instant::now());
    hub.metrics.handed_over(job.entry.class, refused);
    match handed {
        Ok((checked, Ok(()))) => Elsewhere::Ended((checked.into_step(), Ok(()))),
        Ok((checked, Err(failure))) => {
            info!(hub.log, "handed back"; "request" => %job.request, "region" => %region,
                "why" => &failure.why);
            if let Fault::Limited { retry_after } = failure.fault {
                // Run here instead, the request would pass by its owner's limit.
                let refusal = Refusal::new(Reason::Limit, failure.why);
                let refusal = refusal.with_ran(Ran::after(&[failure.evidence]));
                let ended = Err(refusal.with_retry_after(retry_after));
                return Elsewhere::Ended((checked.into_step(), ended));
            }
            if failure.evidence.may_repeat(job.entry.repeat) {
                return Elsewhere::Stays { checked, evidence: vec![failure.evidence] };
            }
            let refusal = Refusal::new(Reason::UpstreamFailed, failure.why);
            let refusal = refusal.with_ran(Ran::after(&[failure.evidence]));
            Elsewhere::Ended((checked.into_step(), Err(refusal)))
        }
        Err(Unclaimed::Refused(refusal)) => Elsewhere::Ended((None, Err(refusal))),
        Err(Unclaimed::Known(known)) => {
            Elsewhere::Ended((None, replay(hub, job, out, known).await))
        }
    }
}

/// Attempts until one is whole, or until another may not be made.
async fn attempts(
    hub: &Arc<Hub>,
    job: &Arc<Job>,
    out: &Writer,
    checked: Checked,
    evidence: Vec<Evidence>,
) -> Ended {
    let mut checked = checked;
    let mut evidence = evidence;
    let mut avoid = Vec::new();
    hub.dispatch().began(job, Instant::now());
    loop {
        match acquitted(hub, job, &evidence).await {
            Ok(upstreams) => avoid.extend(upstreams),
            Err(refusal) => return (checked.into_step(), Err(refusal)),
        }
        if hub.outlasts_shutdown(job) {
            let refusal = hub.cutoff_refusal(Ran::after(&evidence));
            return (checked.into_step(), Err(refusal));
        }
        let placed = match checked.place(&avoid).await {
            Ok(placed) => placed,
            Err((checked, refusal)) => {
                let refusal = refusal.with_ran(Ran::after(&evidence));
                return (checked.into_step(), Err(refusal));
            }
        };
        let claimed = match placed.claim().await {
            Ok(claimed) => claimed,
            Err(Unclaimed::Refused(refusal)) => return (None, Err(refusal)),
            Err(Unclaimed::Known(known)) => return (None, replay(hub, job, out, known).await),
        };
        let (again, upstream, ended) = claimed.attempt(out).await;
        let Err(failure) = ended else { return (again.into_step(), Ok(())) };
        warn!(hub.log, "attempt failed"; "request" => %job.request, "upstream" => %upstream,
            "why" => &failure.why, "evidence" => ?failure.evidence);
        evidence.push(failure.evidence);
        if let Err(refusal) = again_after(hub, job, &evidence, &failure).await {
            return (again.into_step(), Err(refusal));
        }
        avoid.push(upstream);
        checked = again;
    }
}

/// Refuses a request that upstreams die of, and else names those that died under it.
async fn acquitted(
    hub: &Hub,
    job: &Job,
    evidence: &[Evidence],
) -> Result<Vec<id::Upstream>, Refusal> {
    loop {
        let status = hub.dispatch().standing(job, Instant::now());
        match status {
            Status::Clear => return Ok(Vec::new()),
            Status::Suspect { avoid } => return Ok(avoid),
            Status::Pending { time_left } => time::sleep(time_left).await,
            Status::Quarantined { time_left } => {
                let text = "upstreams died while running this request, or others that share a part of \
                    its prompt; it is not run for now";
                // It may have run by an earlier send.
                let ran = match hub.dispatch().is_charged(job) {
                    true => Ran::Unknown,
                    false => Ran::after(evidence),
                };
                let refusal = Refusal::new(Reason::Quarantined, text).with_ran(ran);
                return Err(refusal.with_retry_after(time_left));
            }
        }
    }
}

/// Waits until the next attempt may be made; refuses at once where none may.
async fn again_after(
    hub: &Hub,
    job: &Job,
    evidence: &[Evidence],
    failure: &Failure,
) -> Result<(), Refusal> {
    let now = Instant::now();
    let layer = if job.is_forwarded() { Layer::Forwarded } else { Layer::First };
    let decision = hub.dispatch().failed(job, evidence, layer, now);
    match decision {
        retry::Decision::Retry { after } => {
            time::sleep(after).await;
            Ok(())
        }
        retry::Decision::GiveUp { reason, ran, retry_after } => {
            let why = format!("{}; {}", failure.why, told(reason));
            let reason = match now >= job.deadline {
                true => Reason::TooLate,
                false => Reason::UpstreamFailed,
            };
            Err(Refusal::new(reason, why).with_ran(ran).with_retry_after(retry_after))
        }
    }
}

fn told(reason: retry::Reason) -> &'static str {
    match reason {
        retry::Reason::MayHaveRun => "it may have run, and is not run again",
        retry::Reason::NotFirstVm => "the VM that was asked first decides",
        retry::Reason::AttemptLimit => "it was tried often enough",
        retry::Reason::Deadline => "another attempt would miss the deadline",
        retry::Reason::OwnerBudget => "the owner's retries are used up",
        retry::Reason::UpstreamBudget => "the upstreams' retries are used up",
    }
}
