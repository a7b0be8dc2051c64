//! Every caller gets the whole answer to its own request, or hears that it didn't.

use std::net::SocketAddr;
use std::time::Duration;

use fakes::Fault;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time;

use crate::LOOKUP;
use crate::MANDATE;
use crate::engine;
use crate::support::Caller;
use crate::support::Local;

// The engine breaks off in the middle of a stream whose first half the caller has. Another attempt can't be
// spliced on. The stream must end in an error and must not end as a whole one does.
#[tokio::test]
async fn a_broken_stream_does_not_look_whole() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    engine.fail_next(Fault::CutAfter(3));
    let request = Caller::chat("mandate", "draft it", 10, true).with_key("k1");
    let answer = request.send(site.callers("a")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.body.contains("event: error"), "{}", answer.body);
    assert!(!answer.body.contains("[DONE]"));
    assert!(answer.body.contains("\"ran\":\"unknown\""), "{}", answer.body);
}

// The engine breaks off an answer of which nothing was passed on, and the request may repeat. Another engine
// answers it, and the caller never knows.
#[tokio::test]
async fn a_broken_attempt_is_replaced_where_that_is_allowed() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let one = engine(&site, "e1", "gulf", "a", 4).await;
    let two = engine(&site, "e2", "gulf", "a", 4).await;
    one.fail_next(Fault::CutAfter(2));
    two.fail_next(Fault::CutAfter(2));
    let answer = Caller::chat("lookup", "where?", 6, false).send(site.callers("a")).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert!(answer.body.contains(&fakes::answer("where?", 6)));
    assert_eq!(one.ran().len() + two.ran().len(), 3);
}

// The engine mixes two requests up and sends somebody else's answer. Its attempt's id gives it away: not a byte of
// it reaches the caller.
#[tokio::test]
async fn a_crossed_answer_is_not_passed_on() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let one = engine(&site, "e1", "gulf", "a", 4).await;
    let two = engine(&site, "e2", "gulf", "a", 4).await;
    one.fail_next(Fault::Crossed);
    two.fail_next(Fault::Crossed);
    let answer = Caller::chat("lookup", "mine?", 6, true).send(site.callers("a")).await.unwrap();
    assert_eq!(answer.streamed(), Some(fakes::answer("mine?", 6)), "{answer:?}");
}

// The connection to the engine goes silent for good in the middle of a stream, while new connections work: a
// middlebox has forgotten it. The stream goes on over a fresh connection from where it was, and the caller gets
// each piece once.
#[tokio::test]
async fn a_silent_connection_is_replaced_and_the_stream_goes_on() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    engine.fail_next(Fault::SilentAfter(3));
    let answer = Caller::chat("lookup", "go on", 9, true).send(site.callers("a")).await.unwrap();
    assert_eq!(answer.streamed(), Some(fakes::answer("go on", 9)), "{answer:?}");
}

// A crowd of callers asks at once, each for something else, while engines fail at random. They come back as they
// are told to, and whoever gets an answer gets its own. In the end all have one.
#[tokio::test]
async fn answers_are_never_mixed_up_in_a_crowd() {
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(LOOKUP).await;
    let one = engine(&site, "e1", "gulf", "a", 4).await;
    let two = engine(&site, "e2", "gulf", "b", 4).await;
    for _ in 0..5 {
        one.fail_next(Fault::Crossed);
        two.fail_next(Fault::CutAfter(1));
        two.fail_next(Fault::Late(Duration::from_millis(50)));
    }
    let calls = (0..60).map(|number| {
        let to = site.callers(if number % 2 == 0 { "a" } else { "b" });
        insist(to, format!("question {number}"), number % 3 == 0)
    });
    let refused: Vec<String> =
        futures::future::join_all(calls).await.into_iter().filter_map(Result::err).collect();
    assert!(refused.is_empty(), "{refused:#?}");
}

/// Asks until there is an answer, and checks that it is the right one.
async fn insist(to: SocketAddr, prompt: String, stream: bool) -> Result<(), String> {
    let own = fakes::answer(&prompt, 5);
    let mut last = String::new();
    for _ in 0..30 {
        let answer = Caller::chat("lookup", &prompt, 5, stream).send(to).await?;
        if answer.status != StatusCode::OK {
            let problem = answer.problem();
            let away = problem.retry_after_ms.ok_or(problem.detail.clone())?;
            last = problem.detail;
            time::sleep(Duration::from_millis(away.min(1000))).await;
            continue;
        }
        let whole = match stream {
            true => answer.streamed(),
            false => answer.complete.then_some(answer.body),
        };
        let Some(text) = whole else { continue };
        assert!(text.contains(&own), "{prompt}: {text}");
        return Ok(());
    }
    Err(last)
}

// Something between the VMs loses track of every connection between daemons at once: both ends believe in them, and
// nothing arrives any more, while new connections work. Heartbeats find out on both sides. Callers of requests that
// need the ledger, and operators, wait for that and no longer, and a change is in force everywhere afterwards.
#[tokio::test]
async fn silent_links_between_daemons_are_replaced() {
    let mut site = Local::start_behind_proxies(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    let send = |key: &str| Caller::chat("mandate", "move it", 4, false).with_key(key);
    for round in 0..2 {
        let key = format!("k{round}");
        let first = send(&key).send(site.callers("a")).await.unwrap();
        assert_eq!(first.status, StatusCode::OK, "{first:?}");
        site.forget_connections();
        let begun = time::Instant::now();
        loop {
            let again = send(&key).send(site.callers("b")).await.unwrap();
            if again.status == StatusCode::OK {
                assert_eq!(again.body, first.body);
                break;
            }
            assert!(begun.elapsed() < crate::support::site::PATIENCE, "{again:?}");
        }
        let entry = LOOKUP.replace("name: lookup", &format!("name: lookup-{round}"));
        site.put(&entry).await;
    }
    assert_eq!(engine.ran().len(), 2);
}

// A resend joins the running request over a connection between two VMs, which is kept. Then everything between them
// is forgotten, and the next resend joins another request. Found by the test above: it was sent on the kept connection
// and waited a minute for an answer that could not come, far beyond its deadline.
#[tokio::test]
async fn a_join_does_not_wait_on_a_connection_that_is_forgotten() {
    let mut site = Local::start_behind_proxies(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    engine.slow_down(60.0);
    for round in 0..2 {
        let begun = time::Instant::now();
        let request = Caller::chat("mandate", "move it", 20, false).with_key(&format!("k{round}"));
        let (first, at) = (request.clone(), site.callers("a"));
        let running = tokio::spawn(async move { first.send(at).await });
        while engine.ran().len() <= round {
            // Without a run of its own the wait would never end.
            assert!(!running.is_finished(), "no run: {:?}", running.await);
            time::sleep(Duration::from_millis(5)).await;
        }
        site.forget_connections();
        let mut joined = request.send(site.callers("b")).await.unwrap();
        while joined.status != StatusCode::OK && begun.elapsed() < Duration::from_secs(18) {
            joined = request.send(site.callers("b")).await.unwrap();
        }
        assert!(begun.elapsed() < Duration::from_secs(18), "{:?} {joined:?}", begun.elapsed());
        let first = running.await.unwrap().unwrap();
        assert_eq!((first.status, &first.body), (joined.status, &joined.body));
    }
    assert_eq!(engine.ran().len(), 2);
}

// Guards against a 409 for a resend that looks its key up while the request runs, and joins it after it has ended.
#[tokio::test]
async fn a_resend_that_joins_too_late_gets_the_kept_answer() {
    let mut site = Local::start_behind_proxies(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    engine.slow_down(8.0);
    site.cut_forwards("b", "a", true);
    let request = Caller::chat("mandate", "move it", 20, false).with_key("k1");
    let (first, at) = (request.clone(), site.callers("a"));
    let running = tokio::spawn(async move { first.send(at).await });
    while engine.ran().is_empty() {
        assert!(!running.is_finished(), "no run: {:?}", running.await);
        time::sleep(Duration::from_millis(5)).await;
    }
    let (again, at) = (request.clone(), site.callers("b"));
    let resend = tokio::spawn(async move { again.send(at).await });
    let first = running.await.unwrap().unwrap();
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    site.cut_forwards("b", "a", false);
    let resend = resend.await.unwrap().unwrap();
    assert_eq!((resend.status, &resend.body), (StatusCode::OK, &first.body), "{resend:?}");
    assert_eq!(engine.ran().len(), 1);
}

// Guards against a first request that is refused since all connections between VMs went silent just before, although it
// could be served once new ones are made.
#[tokio::test]
async fn a_request_right_after_connections_are_forgotten_is_served() {
    let mut site = Local::start_behind_proxies(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    for (nth, vm) in ["a", "b", "c"].into_iter().enumerate() {
        site.forget_connections();
        let request =
            Caller::chat("mandate", "move it", 20, false).with_key(&format!("forgotten-{vm}"));
        let answer = request.send(site.callers(vm)).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{vm}: {answer:?}");
        assert_eq!(engine.ran().len(), nth + 1);
    }
}

// A caller asks for a stream, and the engine takes its time before the first piece. The connection carries a comment
// every few seconds meanwhile, so that nothing on the way takes it for dead, and then the whole answer.
#[tokio::test]
async fn a_caller_who_waits_for_a_stream_hears_that_it_is_alive() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    engine.fail_next(Fault::Late(Duration::from_millis(5500)));
    let request = Caller::chat("mandate", "draft it", 3, true).with_key("k1");
    let answer = request.send(site.callers("a")).await.unwrap();
    assert!(answer.body.starts_with(": waiting\n\ndata: "), "{answer:?}");
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{answer:?}");
    let again = request.send(site.callers("a")).await.unwrap();
    assert_eq!(
        again.streamed(),
        Some(fakes::answer("draft it", 3)),
        "the kept answer has no comments"
    );
}

/// Takes requests until it has begun to answer one, without a length, and crashes in the middle of it.
async fn crash_in_an_answer(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        let mut bytes = [0; 4096];
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            let count = stream.read(&mut bytes).await.expect("a request");
            if count == 0 {
                break;
            }
            head.extend_from_slice(&bytes[..count]);
        }
        let is_asked = head.starts_with(b"POST");
        let answer: &[u8] = match is_asked {
            true => b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"choices\":",
            false => b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        };
        if is_asked {
            drop(listener);
            stream.write_all(answer).await.expect("a caller");
            return;
        }
        stream.write_all(answer).await.expect("a caller");
    }
}

// An engine's answer has neither a length nor chunks, and the engine crashes in the middle of it, which looks like its
// end. All callers get whole answers, from another engine.
#[tokio::test]
async fn an_answer_without_a_length_that_a_crash_ends_is_not_passed_on() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let _engine = engine(&site, "e1", "gulf", "a", 4).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let crash = tokio::spawn(crash_in_an_answer(listener));
    assert!(site.announce_at("a", ("e0", address), 1));
    site.upstreams_known("gulf", 2).await;
    let request = Caller::chat("lookup", "whole", 3, false);
    let answers = futures::future::join_all((0..8).map(|_| request.send(site.callers("a")))).await;
    crash.await.unwrap();
    for answer in answers.into_iter().map(Result::unwrap) {
        assert!(answer.status.is_success(), "{answer:?}");
        assert!(answer.body.contains(&fakes::answer("whole", 3)), "{answer:?}");
    }
}
