//! A leaving upstream gets no new work, and a graceful shutdown cuts off no request.

use std::time::Duration;

use fakes::Settings;
use fakes::Upstream;
use tokio::time;

use crate::LOOKUP;
use crate::engine;
use crate::support::Caller;
use crate::support::Local;

// An upstream says to one VM that it leaves. Callers of the other VM must not be sent to it either, a moment
// later, although it still answers.
#[tokio::test]
async fn a_leaving_upstream_gets_no_new_work_from_any_vm() {
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(LOOKUP).await;
    let stays = engine(&site, "e2", "gulf", "a", 4).await;
    let leaves = Upstream::start(Settings::engine("e1")).await.unwrap();
    assert!(site.announce("a", &leaves, 1));
    site.upstreams_known("gulf", 2).await;
    assert!(site.announce("a", &leaves, 2));
    site.leave("a", leaves.id(), 1).await;
    assert!(!site.announce("a", &leaves, 3), "a renewal that was late brings nothing back");
    time::sleep(Duration::from_millis(1900)).await;
    let before = leaves.ran().len();
    for number in 0..20 {
        let to = site.callers(if number % 2 == 0 { "a" } else { "b" });
        let answer = Caller::chat("lookup", "where?", 2, true).send(to).await.unwrap();
        assert_eq!(answer.streamed(), Some(fakes::answer("where?", 2)));
    }
    assert_eq!(leaves.ran().len(), before);
    assert_eq!(stays.ran().len(), 20);
}

// An operator restarts a VM while a stream runs through it. The stream goes on to its end; a new request is
// refused as not run and told whom to ask; the directory of the other VM no longer names the VM.
#[tokio::test]
async fn a_graceful_shutdown_cuts_off_no_stream() {
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(LOOKUP).await;
    let engine = engine(&site, "e1", "gulf", "b", 4).await;
    engine.slow_down(10.0);
    let at = site.callers("a");
    let stream =
        tokio::spawn(async move { Caller::chat("lookup", "long", 30, true).send(at).await });
    while engine.ran().is_empty() {
        time::sleep(Duration::from_millis(5)).await;
    }
    let drained = tokio::spawn(site.drain_entry("a"));
    time::sleep(Duration::from_millis(100)).await;
    let refused = Caller::chat("lookup", "new", 2, true).send(at).await.unwrap().problem();
    assert_eq!(refused.kind, "urn:masticstream:refusal:draining");
    assert_eq!(serde_json::to_value(refused.ran).unwrap(), "no");
    assert!(refused.detail.contains(&site.callers("b").to_string()), "{}", refused.detail);
    let answer = stream.await.unwrap().unwrap();
    assert_eq!(answer.streamed(), Some(fakes::answer("long", 30)), "{answer:?}");
    drained.await.unwrap();
    let live = site.hub("b").live();
    assert!(live.iter().all(|live| live.vm.as_str() != "a"), "{live:?}");
}

// The upstream's process is killed. Requests that it ran are repeated elsewhere where that is allowed, and a few
// seconds later nobody tries it any more.
#[tokio::test]
async fn a_dead_upstream_is_left_out() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let dies = engine(&site, "e1", "gulf", "a", 4).await;
    let _stays = engine(&site, "e2", "gulf", "a", 4).await;
    dies.crash();
    for _ in 0..10 {
        let answer =
            Caller::chat("lookup", "where?", 2, true).send(site.callers("a")).await.unwrap();
        assert_eq!(answer.streamed(), Some(fakes::answer("where?", 2)), "{answer:?}");
    }
    site.upstreams_known("gulf", 1).await;
}
