//! Bound data stays in its region, nothing circles, and an isolated region serves its own callers.

use http::StatusCode;
use http::header;
use masticstream::dump;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::LOOKUP;
use crate::MANDATE;
use crate::engine;
use crate::support::Caller;
use crate::support::Local;

// A caller sends bound data to a VM of another region. It is told where to go after the head of its request, and
// before it has sent any of the body: nothing of it can be kept, logged or served there.
#[tokio::test]
async fn bound_data_is_sent_home_before_its_body_is_read() {
    let mut site = Local::start(&["a@gulf", "b@delta"]).await;
    site.put(MANDATE).await;
    let away = engine(&site, "e1", "delta", "b", 4).await;
    let mut stream = TcpStream::connect(site.callers("b")).await.unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nmastic-entry: mandate\r\n\
                idempotency-key: k1\r\ncontent-length: 500000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = vec![0; 4096];
    let read = stream.read(&mut bytes).await.unwrap();
    let answer = String::from_utf8_lossy(&bytes[..read]).to_lowercase();
    assert!(answer.starts_with("http/1.1 307"), "{answer}");
    assert!(
        answer.contains(&format!("location: http://{}/v1/chat", site.callers("a"))),
        "{answer}"
    );
    assert!(away.ran().is_empty());
}

#[tokio::test]
async fn bound_data_is_refused_where_its_home_can_not_be_reached() {
    let mut site = Local::start(&["a@gulf", "b@delta", "c@piedmont"]).await;
    site.put(MANDATE).await;
    let away = engine(&site, "e1", "delta", "b", 4).await;
    site.crash_entry("a");
    site.crash_control("a");
    let request = Caller::chat("mandate", "private", 3, false).with_key("k1");
    let mut answer = request.send(site.callers("b")).await.unwrap();
    for _ in 0..100 {
        if answer.status != StatusCode::TEMPORARY_REDIRECT {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        answer = request.send(site.callers("b")).await.unwrap();
    }
    assert_eq!(answer.problem().kind, "urn:masticstream:refusal:home-unreachable");
    assert!(away.ran().is_empty());
}

// A foreign proxy is set up so that it sends our requests back to us. Without a check the request would circle
// until its deadline and occupy every VM on its way.
#[tokio::test]
async fn a_request_that_comes_back_is_refused() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let request = Caller::chat("lookup", "hello", 3, true)
        .with(header::VIA.as_str(), "1.1 proxy, 1.1 masticstream-a");
    let refused = request.send(site.callers("a")).await.unwrap();
    assert_eq!(refused.status, StatusCode::LOOP_DETECTED);
}

// The region loses all others: no catalogue majority, no digests. Its own callers must notice nothing, neither
// those of repeatable requests nor those of requests that run at most once.
#[tokio::test]
async fn an_isolated_region_serves_its_own_callers() {
    let mut site = Local::start(&["a@gulf", "b@delta", "c@piedmont"]).await;
    site.put(LOOKUP).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    for vm in ["b", "c"] {
        site.crash_entry(vm);
        site.crash_control(vm);
    }
    let lookup = Caller::chat("lookup", "how far?", 5, true).send(site.callers("a")).await.unwrap();
    assert_eq!(lookup.streamed(), Some(fakes::answer("how far?", 5)));
    let mandate = Caller::chat("mandate", "move it", 5, true).with_key("k1");
    let answer = mandate.send(site.callers("a")).await.unwrap();
    assert_eq!(answer.streamed(), Some(fakes::answer("move it", 5)), "{answer:?}");
    assert_eq!(engine.ran().len(), 2);
}

// An entry that prefers its home is asked for in another region. It is answered from home while that can be
// reached, and the answer says where it ran.
#[tokio::test]
async fn a_request_runs_in_its_home_region() {
    let mut site = Local::start(&["a@gulf", "b@delta"]).await;
    site.put(&LOOKUP.replace("prefers: latency", "prefers: home")).await;
    let home = engine(&site, "e1", "gulf", "a", 4).await;
    let away = engine(&site, "e2", "delta", "b", 4).await;
    let until = tokio::time::Instant::now() + crate::support::site::PATIENCE;
    // The regions tell each other every two seconds.
    while home.ran().is_empty() {
        assert!(tokio::time::Instant::now() < until, "nothing went home");
        let answer =
            Caller::chat("lookup", "hello", 3, true).send(site.callers("b")).await.unwrap();
        assert_eq!(answer.streamed(), Some(fakes::answer("hello", 3)), "{answer:?}");
        let region = answer.headers["mastic-region"].to_str().unwrap().to_owned();
        assert_eq!(region == "gulf", !home.ran().is_empty());
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    drop(away);
}

// Bound requests go to their home, to another region first, and are resent; one of them fails. What another region's
// VM has seen of them by then is the head of a request: its log and its dump hold neither prompt, key nor answer. And
// no VM at all logs a prompt or an answer.
#[tokio::test]
async fn bound_data_leaves_no_trace_elsewhere() {
    let mut site = Local::start(&["a@gulf", "b@delta"]).await;
    site.put(MANDATE).await;
    let engine = engine(&site, "e1", "gulf", "a", 4).await;
    let prompt = "account SI56-7731 moves to Koper";
    let request = Caller::chat("mandate", prompt, 6, true).with_key("key-SI56-7731");
    for vm in ["b", "a", "b", "a"] {
        let answer = request.send(site.callers(vm)).await.unwrap();
        assert_eq!(answer.status == StatusCode::TEMPORARY_REDIRECT, vm == "b", "{answer:?}");
    }
    engine.fail_next(fakes::Fault::CutAfter(2));
    let broken = Caller::chat("mandate", prompt, 6, true).with_key("key-SI56-7732");
    broken.send(site.callers("a")).await.unwrap();
    let answer = fakes::answer(prompt, 6);
    let away = site.logged("b") + &serde_json::to_string(&dump::entry(site.hub("b"))).unwrap();
    let home = site.logged("a") + &serde_json::to_string(&dump::entry(site.hub("a"))).unwrap();
    assert!(home.contains("attempt failed"), "the log is looked at");
    for private in [prompt, "SI56-7731", answer.as_str()] {
        assert!(!away.contains(private), "{private} in {away}");
    }
    assert!(!home.contains(prompt) && !home.contains(&answer), "{home}");
}

// Two living regions lose each other for some seconds, twice, under traffic of both. Each goes on to answer its own
// callers, those of bound requests that run at most once among them; nothing of a region is served in the other; a
// change is accepted on the side of the majority alone, and is in force on both once they see each other again.
#[tokio::test]
async fn parted_regions_serve_their_own_and_come_together_again() {
    let mut site = Local::start_behind_proxies(&["a@delta", "b@delta", "c@gulf", "d@gulf"]).await;
    site.put(MANDATE).await;
    let other =
        MANDATE.replace("home: gulf", "home: delta").replace("name: mandate", "name: other");
    site.put(&other).await;
    let gulf = engine(&site, "e1", "gulf", "c", 4).await;
    let delta = engine(&site, "e2", "delta", "a", 4).await;
    for round in 0..2 {
        site.part(&["a", "b"], true);
        let until = tokio::time::Instant::now() + std::time::Duration::from_secs(6);
        let mut number = 0;
        while tokio::time::Instant::now() < until {
            number += 1;
            for (entry, vm) in [("mandate", "c"), ("mandate", "d"), ("other", "a"), ("other", "b")]
            {
                let key = format!("{round}-{number}-{vm}");
                let answer = insist(&site, entry, vm, &key).await;
                assert_eq!(answer.streamed(), Some(fakes::answer(&key, 3)), "{answer:?}");
            }
        }
        let changed = LOOKUP.replace("deadline: 20s", &format!("deadline: {}s", round + 5));
        let version = site.put_on("a", &changed).await;
        assert!(site.hub("c").version() < version, "the change crossed the partition");
        site.part(&["a", "b"], false);
        site.in_force(version).await;
    }
    let wrong = |engine: &fakes::Upstream, ending: [&str; 2]| {
        engine
            .ran()
            .into_iter()
            .filter_map(|run| run.key)
            .any(|key| !ending.iter().any(|vm| key.ends_with(vm)))
    };
    assert!(!wrong(&gulf, ["-c", "-d"]) && !wrong(&delta, ["-a", "-b"]));
    let mut keys: Vec<_> = gulf.ran().into_iter().filter_map(|run| run.key).collect();
    keys.sort();
    keys.windows(2).for_each(|two| assert_ne!(two[0], two[1], "a mandate ran twice"));
}

/// Sends a request under its key until it is answered.
async fn insist(site: &Local, entry: &str, vm: &str, key: &str) -> crate::support::caller::Answer {
    let request = Caller::chat(entry, key, 3, true).with_key(key);
    let until = tokio::time::Instant::now() + crate::support::site::PATIENCE;
    loop {
        let answer = request.send(site.callers(vm)).await.unwrap();
        if answer.status == StatusCode::OK || tokio::time::Instant::now() > until {
            return answer;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
}
