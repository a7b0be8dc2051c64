//! A leaving upstream gets no new work, and a graceful shutdown cuts off no request.

use std::time::Duration;

use fakes::Settings;
use fakes::Upstream;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Instant;
use yare::parameterized;

use crate::LOOKUP;
use crate::MANDATE;
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

/// How long VMs drain where requests outlast it.
const DRAIN: Duration = Duration::from_millis(1500);
/// After that, the rest of a shutdown.
const SHUTDOWN: Duration = Duration::from_millis(1000);

/// A site whose only engine takes many seconds for a request.
async fn slow_site() -> (Local, Upstream) {
    let mut site = Local::start_with_drain(&["a@gulf", "b@gulf"], DRAIN).await;
    site.put(LOOKUP).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "b", 1).await;
    engine.slow_down(1000.0);
    (site, engine)
}

/// Guards against requests that have run and are cut with no answer at the end of a planned stop.
#[parameterized(
    that_may_run_once = { "mandate" },
    that_may_be_repeated = { "lookup" },
)]
#[test_macro(tokio::test)]
async fn a_request_that_outlasts_a_shutdown_gets_an_answer(entry: &'static str) {
    let (mut site, engine) = slow_site().await;
    let at = site.callers("a");
    let request = || Caller::chat(entry, "long", 2, false).with_key("k1");
    let running = tokio::spawn(async move { request().send(at).await });
    while engine.ran().is_empty() {
        time::sleep(Duration::from_millis(5)).await;
    }
    let began = Instant::now();
    let drained = tokio::spawn(site.drain_entry("a"));
    let told = running.await.unwrap().unwrap().problem();
    assert_eq!(serde_json::to_value(told.ran).unwrap(), "unknown");
    drained.await.unwrap();
    assert!(began.elapsed() < DRAIN + SHUTDOWN, "{:?}", began.elapsed());
    if entry == "mandate" {
        let told = request().send(site.callers("b")).await.unwrap().problem();
        assert_eq!(told.kind, "urn:masticstream:refusal:outcome-unknown");
        assert_eq!(told.retry_after_ms, None, "how it ended has been recorded");
        assert_eq!(engine.ran().len(), 1);
    }
}

/// Guards against requests that wait for a place and are cut with no answer at the end of a planned stop.
#[tokio::test]
async fn a_request_that_waits_at_a_shutdown_is_refused_as_not_run() {
    let (mut site, engine) = slow_site().await;
    let at = site.callers("a");
    let first = Caller::chat("lookup", "first", 2, false);
    let running = tokio::spawn(async move { first.send(at).await });
    while engine.ran().is_empty() {
        time::sleep(Duration::from_millis(5)).await;
    }
    // The engine holds some of them itself, and some are refused at once.
    let mut waiting = Vec::new();
    for number in 0..20 {
        let next = Caller::chat("lookup", &format!("next {number}"), 2, false);
        waiting.push(tokio::spawn(async move { next.send(at).await }));
    }
    time::sleep(Duration::from_millis(100)).await;
    let drained = tokio::spawn(site.drain_entry("a"));
    let mut waited = 0;
    for next in waiting {
        let told = next.await.unwrap().unwrap().problem();
        let ran = serde_json::to_value(told.ran).unwrap();
        match told.kind.strip_prefix("urn:masticstream:refusal:").unwrap() {
            "overload" => assert_eq!(ran, "no"),
            "upstream-failed" => assert_eq!(ran, "unknown"),
            kind => {
                assert_eq!((kind, ran), ("draining", "no".into()));
                waited += 1;
            }
        }
    }
    assert!(waited > 0);
    running.await.unwrap().unwrap().problem();
    drained.await.unwrap();
    assert_eq!(engine.ran().len(), 1);
}

/// Sends text on a connection of its own and reads until it is closed.
async fn exchange(to: std::net::SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).await.ok();
    String::from_utf8_lossy(&reply).into_owned()
}

/// Guards against uploads that are cut with no answer at the end of a planned stop.
#[tokio::test]
async fn an_upload_during_a_shutdown_gets_an_answer() {
    let (mut site, engine) = slow_site().await;
    let at = site.callers("a");
    let text = "POST /entries/lookup/v1/chat/completions HTTP/1.1\r\nhost: a\r\n\
                content-length: 1000\r\n\r\nbegun";
    let uploading = tokio::spawn(exchange(at, text));
    time::sleep(Duration::from_millis(100)).await;
    site.drain_entry("a").await;
    let reply = uploading.await.unwrap();
    assert!(reply.starts_with("HTTP/1.1 503 "), "{reply:?}");
    assert!(reply.contains("connection: close\r\n"), "{reply:?}");
    assert!(reply.contains("mastic-ran: no\r\n"), "{reply:?}");
    assert!(engine.ran().is_empty());
}

/// Guards against requests of other VMs that are passed on late in a shutdown although they will hardly end within it.
#[tokio::test]
async fn a_forwarded_request_that_would_outlast_a_shutdown_is_refused() {
    let (mut site, engine) = slow_site().await;
    let at = site.callers("a");
    let first = Caller::chat("lookup", "first", 2, false);
    let running = tokio::spawn(async move { first.send(at).await });
    while engine.ran().is_empty() {
        time::sleep(Duration::from_millis(5)).await;
    }
    let entry = site.site.vms[&"a".parse().unwrap()].entry.clone().unwrap();
    let drained = tokio::spawn(site.drain_entry("a"));
    time::sleep(Duration::from_millis(300)).await;
    let body = r#"{"model":"small","messages":[{"role":"user","content":"late"}]}"#;
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nmastic-secret: {}\r\n\
         mastic-path: b\r\n{}: lookup\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        site.site.secret,
        site.site.headers.entry,
        body.len()
    );
    let began = Instant::now();
    let reply = exchange(entry.forwards, &text).await;
    assert!(reply.starts_with("HTTP/1.1 503 "), "{reply:?}");
    assert!(reply.contains("mastic-ran: no\r\n"), "{reply:?}");
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    running.await.unwrap().unwrap().problem();
    drained.await.unwrap();
    assert_eq!(engine.ran().len(), 1);
}
