//! A request runs at most once, however often and wherever it is resent, and each caller gets the whole answer.

use std::time::Duration;

use fakes::Fault;
use http::StatusCode;
use tokio::time;

use crate::LOOKUP;
use crate::MANDATE;
use crate::engine;
use crate::support::Caller;
use crate::support::Local;

fn mandate(key: &str) -> Caller {
    Caller::chat("mandate", "move the standing orders of account 7", 20, false).with_key(key)
}

// The caller sends a request, loses its connection, and sends it again to another VM while the first send still
// runs. Both sends must end in the same answer, and the engine must have run it once.
#[tokio::test]
async fn a_resend_to_another_vm_joins_the_running_request() {
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    engine.slow_down(10.0);
    let (one, two) = (mandate("k1"), mandate("k1"));
    let (at_a, at_b) = (site.callers("a"), site.callers("b"));
    let second = async {
        time::sleep(Duration::from_millis(300)).await;
        two.send(at_b).await
    };
    let (first, second) = tokio::join!(one.send(at_a), second);
    let (first, second) = (first.unwrap(), second.unwrap());
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    assert_eq!(first.body, second.body, "{second:?}");
    assert_eq!(engine.executions("k1"), 1);
}

#[tokio::test]
async fn a_resend_after_the_answer_gets_the_kept_answer_on_any_vm() {
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    let first = mandate("k1").send(site.callers("a")).await.unwrap();
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    for vm in ["a", "b"] {
        let again = mandate("k1").send(site.callers(vm)).await.unwrap();
        assert_eq!((again.status, &again.body), (StatusCode::OK, &first.body));
    }
    assert_eq!(engine.ran().len(), 1);
}

#[tokio::test]
async fn the_same_key_with_another_body_is_refused() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    mandate("k1").send(site.callers("a")).await.unwrap();
    let other = Caller::chat("mandate", "something else", 3, false).with_key("k1");
    let refused = other.send(site.callers("a")).await.unwrap().problem();
    assert_eq!(refused.kind, "urn:masticstream:refusal:key-reused");
    assert_eq!(engine.ran().len(), 1);
}

#[tokio::test]
async fn a_request_that_may_not_repeat_needs_a_key() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(MANDATE).await;
    let plain = Caller::chat("mandate", "no key", 3, false);
    let refused = plain.send(site.callers("a")).await.unwrap().problem();
    assert_eq!(refused.kind, "urn:masticstream:refusal:key-missing");
}

// The VM that runs a request is killed in the middle of it. The caller resends to the other VM, again and again.
// What the request did by then can't be told, so it is never run again; and once the dead VM is given up, the
// caller is told so for good instead of being sent away for ever.
#[tokio::test]
async fn a_request_whose_vm_dies_is_never_run_again() {
    let mut site = Local::start(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "b", 4).await;
    engine.slow_down(50.0);
    let at_a = site.callers("a");
    let lost = tokio::spawn(async move { mandate("k1").send(at_a).await });
    while engine.ran().is_empty() {
        time::sleep(Duration::from_millis(10)).await;
    }
    site.crash_entry("a");
    assert!(lost.await.unwrap().is_err_and(|_| true) || engine.ran().len() == 1);
    let mut told = mandate("k1").send(site.callers("b")).await.unwrap().problem();
    for _ in 0..60 {
        assert_eq!(told.kind, "urn:masticstream:refusal:outcome-unknown");
        assert_eq!(serde_json::to_value(told.ran).unwrap(), "unknown");
        if told.retry_after_ms.is_none() {
            break;
        }
        time::sleep(Duration::from_millis(500)).await;
        told = mandate("k1").send(site.callers("b")).await.unwrap().problem();
    }
    assert_eq!(told.retry_after_ms, None, "the last word must come");
    assert_eq!(engine.ran().len(), 1);
}

// The engine dies in the middle of a request that may not repeat. It may have acted on it, so no other engine
// may get it, and the caller is told that the outcome is unknown, now and on each resend.
#[tokio::test]
async fn a_request_whose_engine_dies_is_not_run_on_another() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(MANDATE).await;
    let one = engine(&site, "e1", "gulf", "a", 4).await;
    let two = engine(&site, "e2", "gulf", "a", 4).await;
    one.fail_next(Fault::CutAfter(1));
    two.fail_next(Fault::CutAfter(1));
    for _ in 0..2 {
        let told = mandate("k1").send(site.callers("a")).await.unwrap().problem();
        assert_eq!(serde_json::to_value(told.ran).unwrap(), "unknown");
    }
    assert_eq!(one.ran().len() + two.ran().len(), 1);
}

// All control VMs of the region but one are gone, so the ledger has no majority. Whether the request ran before
// can't be told: it is not run, and the refusal doesn't say that it never was.
#[tokio::test]
async fn without_a_majority_nothing_runs_that_may_not_repeat() {
    let mut site = Local::start(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    mandate("k1").send(site.callers("a")).await.unwrap();
    site.crash_control("b");
    site.crash_control("c");
    // VM a may still have the answer at hand, before its record is committed; VM b can only ask the ledger.
    let told = mandate("k1").send(site.callers("b")).await.unwrap().problem();
    assert_eq!(told.kind, "urn:masticstream:refusal:ledger-unreachable");
    assert_eq!(serde_json::to_value(told.ran).unwrap(), "unknown");
    assert!(told.retry_after_ms.is_some());
    site.start_control("b").await;
    let until = time::Instant::now() + crate::support::site::PATIENCE;
    loop {
        let answer = mandate("k1").send(site.callers("a")).await.unwrap();
        if answer.status == StatusCode::OK {
            break;
        }
        assert!(time::Instant::now() < until, "{answer:?}");
    }
    assert_eq!(engine.ran().len(), 1);
}

// A region of two VMs and a witness elsewhere loses one of its VMs. The key was claimed and answered before; the
// VM that is left must still know it, and new keys must go on.
#[tokio::test]
async fn a_region_of_two_vms_outlasts_the_loss_of_either() {
    for lost in ["a", "b"] {
        let mut site = Local::start(&["a@gulf", "b@gulf", "c@delta"]).await;
        site.put(MANDATE).await;
        let left = if lost == "a" { "b" } else { "a" };
        let engine = engine(&site, "e1", "gulf", left, 4).await;
        let first = mandate("k1").send(site.callers(left)).await.unwrap();
        assert_eq!(first.status, StatusCode::OK, "{first:?}");
        site.crash_control(lost);
        site.crash_entry(lost);
        let until = time::Instant::now() + crate::support::site::PATIENCE;
        loop {
            let again = mandate("k1").send(site.callers(left)).await.unwrap();
            if again.status == StatusCode::OK {
                assert_eq!(again.body, first.body);
                break;
            }
            assert!(time::Instant::now() < until, "{lost} lost: {again:?}");
        }
        let next = mandate("k2").send(site.callers(left)).await.unwrap();
        assert_eq!(next.status, StatusCode::OK, "{next:?}");
        assert_eq!(engine.ran().len(), 2);
    }
}

// A VM dies while it runs a request that may repeat. Its caller resends it to another VM, which runs it again: the
// key's record of a lost run must not stand in the way of an answer that may be had.
#[tokio::test]
async fn a_repeatable_request_whose_vm_dies_is_run_again() {
    let mut site = Local::start(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(LOOKUP).await;
    let engine = engine(&site, "e1", "gulf", "b", 4).await;
    engine.slow_down(50.0);
    let (at_a, lookup) = (site.callers("a"), Caller::chat("lookup", "where?", 20, true));
    let sent = lookup.clone().with_key("k1");
    let lost = tokio::spawn(async move { sent.send(at_a).await });
    while engine.ran().is_empty() {
        time::sleep(Duration::from_millis(10)).await;
    }
    site.crash_entry("a");
    lost.await.unwrap().ok();
    engine.slow_down(1.0);
    let answer = lookup.with_key("k1").send(site.callers("b")).await.unwrap();
    assert_eq!(answer.streamed(), Some(fakes::answer("where?", 20)), "{answer:?}");
}

// The ledger loses its majority while a request runs. The caller gets the whole answer when the engine has given it,
// and does not wait for the record of it; a resend to the same VM reads the same answer; and once the majority is
// back, every VM knows that the request ran.
#[tokio::test]
async fn an_answer_does_not_wait_for_the_ledger() {
    let mut site = Local::start(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    engine.slow_down(5.0);
    let at = site.callers("a");
    let running = tokio::spawn(async move { mandate("k1").send(at).await });
    while engine.ran().is_empty() {
        time::sleep(Duration::from_millis(5)).await;
    }
    site.crash_control("b");
    site.crash_control("c");
    let answer = time::timeout(Duration::from_secs(6), running).await;
    let answer = answer.expect("in time").unwrap().unwrap();
    assert_eq!((answer.status, answer.complete), (StatusCode::OK, true), "{answer:?}");
    let again = mandate("k1").send(at).await.unwrap();
    assert_eq!(again.body, answer.body);
    site.start_control("b").await;
    let until = time::Instant::now() + crate::support::site::PATIENCE;
    loop {
        let elsewhere = mandate("k1").send(site.callers("b")).await.unwrap();
        if elsewhere.status == StatusCode::OK {
            assert_eq!(elsewhere.body, answer.body);
            break;
        }
        assert!(time::Instant::now() < until, "{elsewhere:?}");
    }
    assert_eq!(engine.ran().len(), 1);
}
