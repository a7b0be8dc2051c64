use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use crate::Fault;
use crate::Outcome;
use crate::Settings;
use crate::Upstream;
use crate::answer;

const MOMENT: Duration = Duration::from_millis(300);

/// Lets everything run until something holds; the clock is paused, so no time is slept away.
async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        task::yield_now().await;
    }
}

async fn connect(to: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(to).await?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

fn request(method: Method, path: &str, body: String) -> Request<Full<Bytes>> {
    let request = Request::builder().method(method).uri(path).header("host", "fake");
    let request = request.header("mastic-attempt", "0".repeat(32)).header("idempotency-key", "k");
    request.body(Full::new(Bytes::from(body))).unwrap()
}

fn prompt(text: &str, stream: bool, tokens: usize) -> Request<Full<Bytes>> {
    let body = serde_json::json!({"model": "small", "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}]});
    request(Method::POST, "/v1/chat/completions", body.to_string())
}

async fn text(response: Response<Incoming>) -> Result<String, hyper::Error> {
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

async fn send(to: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<(StatusCode, String)> {
    let mut sender = connect(to).await?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let status = response.status();
    Ok((status, text(response).await.map_err(io::Error::other)?))
}

/// The text of a whole stream; none where `[DONE]` is missing.
fn streamed(body: &str) -> Option<String> {
    let data = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let data: Vec<_> = data.collect();
    let (last, events) = data.split_last()?;
    let content = |event: &&str| {
        let event: Value = serde_json::from_str(event).ok()?;
        Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned())
    };
    (*last == "[DONE]").then(|| events.iter().filter_map(content).collect())
}

#[tokio::test(start_paused = true)]
async fn answers_are_a_function_of_the_prompt() {
    let engine = Upstream::start(Settings::engine("e")).await.unwrap();
    let (_, body) = send(engine.address(), prompt("hail?", true, 40)).await.unwrap();
    assert_eq!(streamed(&body), Some(answer("hail?", 40)));
    let (_, body) = send(engine.address(), prompt("hail?", false, 5)).await.unwrap();
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(body["choices"][0]["message"]["content"], answer("hail?", 5));
    assert_eq!(body["usage"]["completion_tokens"], 5);
    assert!(engine.ran().iter().all(|run| run.outcome == Outcome::Completed));
    assert_eq!(engine.executions("k"), 2);
}

#[tokio::test(start_paused = true)]
async fn a_stream_resumes_at_an_offset() {
    let engine = Upstream::start(Settings::engine("e")).await.unwrap();
    let mut resumed = prompt("hail?", true, 10);
    resumed.headers_mut().insert("mastic-resume-offset", "4".parse().unwrap());
    let (_, body) = send(engine.address(), resumed).await.unwrap();
    let rest = streamed(&body).unwrap();
    assert!(answer("hail?", 10).ends_with(&rest));
    assert_eq!(rest.split_whitespace().count(), 6);
}

#[tokio::test(start_paused = true)]
async fn a_crash_takes_all_connections_and_a_restart_counts() {
    // A request kills the engine: its own connection and that of an innocent request both break, new
    // connections are refused, and after a restart the engine answers with the next incarnation.
    let slow = Duration::from_millis(50);
    let engine = Upstream::start(Settings::engine("e").with_speed(slow, slow)).await.unwrap();
    let address = engine.address();
    let innocent = tokio::spawn(send(address, prompt("innocent", true, 100)));
    until(|| engine.load().0 == 1).await;
    assert!(send(address, prompt("[[crash]]", true, 4)).await.is_err());
    assert!(innocent.await.unwrap().is_err());
    assert!(connect(address).await.is_err());
    assert_eq!(engine.ran().iter().filter(|run| run.outcome == Outcome::Cut).count(), 2);
    engine.restart();
    until(|| engine.incarnation() == 2).await;
    assert_eq!(send(address, prompt("again", true, 1)).await.unwrap().0, StatusCode::OK);
}

#[tokio::test(start_paused = true)]
async fn open_connections_go_silent_while_new_ones_work() {
    let engine = Upstream::start(Settings::engine("e")).await.unwrap();
    let mut open = connect(engine.address()).await.unwrap();
    let response = open.send_request(prompt("one", false, 1)).await.unwrap();
    text(response).await.unwrap();
    engine.silence_open();
    let silent = time::timeout(MOMENT, open.send_request(prompt("two", false, 1))).await;
    assert!(silent.is_err());
    assert_eq!(send(engine.address(), prompt("three", false, 1)).await.unwrap().0, 200);
}

#[tokio::test(start_paused = true)]
async fn faults_strike_the_next_request_only() {
    let engine = Upstream::start(Settings::engine("e")).await.unwrap();
    let address = engine.address();
    engine.fail_next(Fault::CutAfter(3));
    assert!(send(address, prompt("a", true, 8)).await.is_err());
    engine.fail_next(Fault::Refuse);
    assert_eq!(send(address, prompt("b", true, 8)).await.unwrap().0, 503);
    engine.fail_next(Fault::Crossed);
    let mut sender = connect(address).await.unwrap();
    let response = sender.send_request(prompt("c", true, 8)).await.unwrap();
    assert_eq!(response.headers()["mastic-attempt"], "f".repeat(32));
    assert_ne!(streamed(&text(response).await.unwrap()), Some(answer("c", 8)));
    let (_, body) = send(address, prompt("d", true, 8)).await.unwrap();
    assert_eq!(streamed(&body), Some(answer("d", 8)));
    assert_eq!(engine.ran().len(), 3, "a refused request doesn't run");
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_goes_away_cancels() {
    let slow = Duration::from_millis(20);
    let engine = Upstream::start(Settings::engine("e").with_speed(slow, slow)).await.unwrap();
    let caller = tokio::spawn(send(engine.address(), prompt("long", true, 1_000_000)));
    until(|| engine.load().0 == 1).await;
    caller.abort();
    until(|| engine.ran()[0].outcome == Outcome::Cut).await;
    until(|| engine.load().0 == 0).await;
    assert_eq!(engine.ran().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn slots_are_given_by_priority() {
    let slow = Duration::from_secs(3600);
    let settings = Settings::engine("e").with_slots(1).with_speed(slow, slow);
    let engine = Upstream::start(settings).await.unwrap();
    let mut sent = Vec::new();
    for (i, (text, priority)) in [("first", "2"), ("last", "3"), ("urgent", "0")].iter().enumerate()
    {
        let mut request = prompt(text, false, 2);
        request.headers_mut().insert("mastic-priority", priority.parse().unwrap());
        sent.push(tokio::spawn(send(engine.address(), request)));
        until(|| engine.load() == (1, i)).await;
    }
    for sent in sent {
        sent.await.unwrap().unwrap();
    }
    let order: Vec<_> = engine.ran().iter().map(|run| run.priority).collect();
    assert_eq!(order, [2, 0, 3]);
}

#[tokio::test(start_paused = true)]
async fn orders_with_an_old_fencing_number_are_refused_where_they_are_checked() {
    let order = |fence: u64| {
        let body = format!(r#"{{"kind":"load","model":"large","fence":{fence}}}"#);
        request(Method::POST, "/orders", body)
    };
    for (settings, status) in
        [(Settings::engine("e"), 409), (Settings::engine("e").without_fencing(), 200)]
    {
        let engine = Upstream::start(settings).await.unwrap();
        assert_eq!(send(engine.address(), order(7)).await.unwrap().0, 200);
        assert_eq!(send(engine.address(), order(6)).await.unwrap().0, status);
        assert_eq!(engine.models(), ["small", "large"]);
    }
}

#[tokio::test(start_paused = true)]
async fn cache_events_come_late_and_with_gaps() {
    let mut settings = Settings::engine("e");
    settings.event_gap = 2;
    settings.event_lag = Duration::from_secs(3600);
    settings.cache_size = 2;
    let engine = Upstream::start(settings).await.unwrap();
    for text in ["a", "b", "c"] {
        send(engine.address(), prompt(text, false, 1)).await.unwrap();
    }
    let events = || send(engine.address(), request(Method::GET, "/events?since=0", String::new()));
    let sequences = |body: &str| {
        let body: Value = serde_json::from_str(body).unwrap();
        let events = body["events"].as_array().unwrap().clone();
        events.iter().map(|event| event["sequence"].as_u64().unwrap()).collect::<Vec<_>>()
    };
    assert!(sequences(&events().await.unwrap().1).is_empty());
    time::advance(Duration::from_secs(3600)).await;
    assert_eq!(sequences(&events().await.unwrap().1), [1, 3]);
}

#[tokio::test(start_paused = true)]
async fn a_service_counts_executions_per_key() {
    let service = Upstream::start(Settings::service("s")).await.unwrap();
    let book = || request(Method::PUT, "/mandates/7", "draft".to_owned());
    let (_, first) = send(service.address(), book()).await.unwrap();
    let (_, second) = send(service.address(), book()).await.unwrap();
    assert_eq!(first, second);
    assert!(first.contains(&answer("PUT /mandates/7\ndraft", 8)));
    assert_eq!(service.executions("k"), 2);
}
