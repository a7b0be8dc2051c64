//! Every refusal is honest, comes at once, and says when to come back.

use std::time::Duration;

use fakes::Upstream;
use tokio::time;
use tokio::time::Instant;

use crate::LOOKUP;
use crate::engine;
use crate::support::Caller;
use crate::support::Local;

// One slot, held by a long answer. A short request with little time can't be served: it is refused at once and not
// when its time is over, is told that it did not run, and indeed it did not.
#[tokio::test]
async fn what_can_not_be_in_time_is_refused_at_once_and_did_not_run() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let engine = engine(&site, "e1", "gulf", "a", 1).await;
    let warm = Caller::chat("lookup", "warm", 40, true);
    warm.send(site.callers("a")).await.unwrap();
    engine.slow_down(20.0);
    let at = site.callers("a");
    let long = tokio::spawn(async move { Caller::chat("lookup", "long", 40, true).send(at).await });
    while engine.ran().len() < 2 {
        time::sleep(Duration::from_millis(5)).await;
    }
    let begun = Instant::now();
    let short = Caller::chat("lookup", "short", 2, true).with("mastic-deadline-ms", "150");
    let refused = short.send(at).await.unwrap().problem();
    assert!(begun.elapsed() < Duration::from_millis(160), "{:?}", begun.elapsed());
    assert_eq!(serde_json::to_value(refused.ran).unwrap(), "no");
    assert!(refused.retry_after_ms.is_some(), "{refused:?}");
    let answer = long.await.unwrap().unwrap();
    assert_eq!(answer.streamed(), Some(fakes::answer("long", 40)));
    assert_eq!(engine.ran().len(), 2, "the refused request ran nowhere");
}

// One owner asks for far more than its limit through two VMs at once. What is beyond the limit of the whole system
// is refused as not run, and another owner's requests are served as if nothing happened.
#[tokio::test]
async fn a_hot_owner_is_held_to_its_limit_and_harms_no_other() {
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(LOOKUP).await;
    let limited = LOOKUP
        .replace("name: lookup", "name: hot")
        .replace("owner: bayou", "owner: hot")
        .replace("requests: 1000/s", "requests: 5/s");
    site.put(&limited).await;
    let engine = engine(&site, "e1", "gulf", "a", 8).await;
    let calls = (0..80).map(|number| {
        let to = site.callers(vm_of(number));
        async move {
            let answer = Caller::chat("hot", "again", 1, true).send(to).await.unwrap();
            answer.status.is_success()
        }
    });
    let served = futures::future::join_all(calls).await.into_iter().filter(|ok| *ok).count();
    // The burst is two seconds' worth; the other VM's floor and one more second come on top at the most.
    assert!((1..=20).contains(&served), "{served} of 80 at once were served by a limit of 5/s");
    assert_eq!(engine.ran().len(), served, "what was refused ran nowhere");
    let other = Caller::chat("lookup", "calm", 2, true).send(site.callers("b")).await.unwrap();
    assert_eq!(other.streamed(), Some(fakes::answer("calm", 2)));
}

#[tokio::test]
async fn bad_requests_are_told_what_is_wrong() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let at = site.callers("a");
    let cases = [
        (Caller::raw("lookup", "{"), "bad-request"),
        (Caller::raw("lookup", "{\"model\":\"small\"}"), "bad-request"),
        (Caller::raw("lookup", "{\"model\":\"huge\",\"prompt\":\"x\"}"), "unknown-model"),
        (Caller::raw("lookup", &"x".repeat(2 << 20)), "too-large"),
        (Caller::raw("nobody", "{}"), "unknown-entry"),
        (Caller::raw("no body", "{}"), "unknown-entry"),
        (Caller::raw("lookup", "{}").with("mastic-deadline-ms", "soon"), "bad-request"),
    ];
    for (request, expected) in cases {
        let refused = request.send(at).await.unwrap().problem();
        assert_eq!(refused.kind, format!("urn:masticstream:refusal:{expected}"));
        assert_eq!(serde_json::to_value(refused.ran).unwrap(), "no");
    }
}

/// The one of two VMs to which a request or an engine of that number goes.
const fn vm_of(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "a" } else { "b" }
}

/// Starts engines that announce themselves to both VMs of a region.
async fn engines(site: &Local, count: usize) -> Vec<Upstream> {
    let mut engines = Vec::new();
    for number in 0..count {
        engines.push(engine(site, &format!("e{number}"), "gulf", vm_of(number), 4).await);
    }
    engines
}

// One request crashes each engine that runs it, and its caller sends it again and again, to either VM. Two engines
// fall; then it is refused, and the others go on to serve.
#[tokio::test]
async fn a_request_that_kills_what_runs_it_is_stopped() {
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(LOOKUP).await;
    let engines = engines(&site, 5).await;
    let mut stopped = 0;
    for number in 0..8 {
        let to = site.callers(vm_of(number));
        let answer = Caller::chat("lookup", "[[crash]]", 3, true).send(to).await.unwrap();
        assert!(!answer.status.is_success(), "{answer:?}");
        stopped += u32::from(answer.problem().kind == "urn:masticstream:refusal:quarantined");
        time::sleep(Duration::from_millis(300)).await;
    }
    let runs: usize = engines.iter().map(|engine| engine.ran().len()).sum();
    assert!(runs <= 3, "{runs} engines were lost to one request");
    assert!(stopped >= 4, "it was stopped {stopped} of 8 times");
    let answer = Caller::chat("lookup", "calm", 2, true).send(site.callers("a")).await.unwrap();
    assert_eq!(answer.streamed(), Some(fakes::answer("calm", 2)), "{answer:?}");
}

// Requests of which no two are alike share a part of their prompts that crashes each engine that runs it. Sound ones
// share their system prompt with them. The engines that are left go on to serve these.
#[tokio::test]
async fn requests_with_a_part_that_crashes_engines_are_stopped() {
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(LOOKUP).await;
    let engines = engines(&site, 8).await;
    let system = "s".repeat(400);
    let (deadly, sound) = ("[[crash]]".repeat(100), "calm".repeat(225));
    let mut stopped = 0;
    let mut served = 0;
    for number in 0..12 {
        let to = site.callers(vm_of(number));
        let prompt = format!("{system}{deadly}{number}");
        let answer = Caller::chat("lookup", &prompt, 3, true).send(to).await.unwrap();
        assert!(!answer.status.is_success(), "{answer:?}");
        stopped += u32::from(answer.problem().kind == "urn:masticstream:refusal:quarantined");
        let prompt = format!("{system}{sound}{number}");
        let answer = Caller::chat("lookup", &prompt, 2, true).send(to).await.unwrap();
        served += u32::from(answer.streamed() == Some(fakes::answer(&prompt, 2)));
        time::sleep(Duration::from_millis(300)).await;
    }
    let runs: usize = engines.iter().map(|engine| engine.ran().len()).sum();
    let crashes = runs.saturating_sub(served as usize);
    assert!(crashes <= 3, "{crashes} engines were lost to one part of the prompts");
    assert!(stopped >= 8, "it was stopped {stopped} of 12 times");
    assert_eq!(served, 12, "sound requests with the same system prompt");
}

// A region of two VMs loses one of them. No majority of its VMs is left to say who keeps the owners' limits, so
// callers would be held to half of what they are due until somebody repairs the VM. The ledger, which has a witness
// elsewhere, answers the VM that is left, and that decides.
#[tokio::test]
async fn an_owner_gets_its_whole_limit_when_one_of_two_vms_is_lost() {
    let mut site = Local::start(&["a@gulf", "b@gulf", "c@delta"]).await;
    site.put(&LOOKUP.replace("requests: 1000/s", "requests: 40/s")).await;
    let _engine = engine(&site, "e1", "gulf", "a", 64).await;
    site.crash_entry("b");
    site.crash_control("b");
    let mut most = 0;
    let until = Instant::now() + crate::support::site::PATIENCE;
    while most <= 60 {
        assert!(Instant::now() < until, "{most} of 80 at once were served by a limit of 40/s");
        time::sleep(Duration::from_millis(2500)).await;
        let calls = (0..80).map(|_| {
            let to = site.callers("a");
            async move { Caller::chat("lookup", "again", 1, true).send(to).await.unwrap().status }
        });
        let answers = futures::future::join_all(calls).await;
        most = answers.iter().filter(|status| status.is_success()).count();
    }
}

// An engine takes a request and never begins to answer. The caller hears at its deadline that there is no answer, and
// not when the engine's silence has lasted long enough to be sure of; what the engine did can't be told.
#[tokio::test]
async fn no_caller_waits_past_its_deadline() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let _engine = engine(&site, "e1", "gulf", "a", 4).await;
    let request =
        Caller::chat("lookup", "[[silent:0]]", 3, false).with("mastic-deadline-ms", "700");
    let begun = Instant::now();
    let refused = request.send(site.callers("a")).await.unwrap().problem();
    assert!(begun.elapsed() < Duration::from_millis(2500), "{:?}", begun.elapsed());
    assert_eq!(refused.kind, "urn:masticstream:refusal:too-late");
    assert_eq!(serde_json::to_value(refused.ran).unwrap(), "unknown");
}
