//! Answers that break off, and bytes that are no answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;
use yare::parameterized;

use crate::LOOKUP;
use crate::MANDATE;
use crate::support::Caller;
use crate::support::Local;
use crate::support::caller::Answer;

/// More than the sockets between an entry VM and an engine hold, and less than an owner may have waiting.
const LONG_UPLOAD: usize = 7 << 20;
const SHORT_UPLOAD: usize = 0;
/// What a request holds besides.
const REST_BYTES: usize = 1 << 10;

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\n{\"choices\":";
const CODED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n{\"choices\":";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n{\r\n";
const SIZED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"choices\":";

/// How an engine ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// Nothing more is sent, and it is reset a moment later.
    HalfClose,
}

/// An engine that sends these bytes for an answer.
#[derive(Debug, Clone, Copy)]
struct Engine {
    bytes: &'static str,
    /// Whether it sends them before it has read the body of the request, which it never does.
    is_early: bool,
    end: End,
    /// Whether it answers in that way also what is asked of it besides requests.
    answers_all: bool,
}

impl Engine {
    /// Serves until it is dropped; returns where, and how many requests it has run.
    fn start(self, tasks: &mut JoinSet<()>) -> (SocketAddr, Arc<AtomicUsize>) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = runs.clone();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(self.converse(stream, counted.clone()));
            }
        });
        (address, runs)
    }

    async fn converse(self, mut stream: TcpStream, runs: Arc<AtomicUsize>) {
        let Some((head, unread)) = read_head(&mut stream).await else { return };
        if !head.starts_with("post") && !self.answers_all {
            let none = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
            stream.write_all(none).await.ok();
            return;
        }
        runs.fetch_add(usize::from(head.starts_with("post")), Ordering::Relaxed);
        if !self.is_early {
            let mut rest = vec![0; unread];
            stream.read_exact(&mut rest).await.unwrap();
        }
        stream.write_all(self.bytes.as_bytes()).await.unwrap();
        match self.end {
            End::Close => return,
            End::Reset => time::sleep(Duration::from_millis(50)).await,
            End::HalfClose => {
                stream.shutdown().await.unwrap();
                time::sleep(Duration::from_millis(100)).await;
            }
        }
        stream.set_zero_linger().unwrap();
    }
}

/// Reads the head of a request; returns it, and how many bytes of the body have not been read.
async fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.parse().unwrap());
            return Some((head, (end + 4 + length).saturating_sub(bytes.len())));
        }
        let mut more = [0; 1024];
        let count = stream.read(&mut more).await.ok().filter(|&count| count > 0)?;
        bytes.extend_from_slice(&more[..count]);
    }
}

/// Has one engine answer a request for each entry, the one that may be repeated first; returns both answers, and how often the
/// engine ran the other one.
async fn ask(engine: Engine, upload: usize) -> ([Answer; 2], usize) {
    let mut site = Local::start_with_body_bytes(&["a@gulf"], (upload + REST_BYTES) as u64).await;
    site.put(LOOKUP).await;
    site.put(MANDATE).await;
    let mut tasks = JoinSet::new();
    let (address, runs) = engine.start(&mut tasks);
    assert!(site.announce_at("a", ("e0", address), 1));
    site.upstreams_known("gulf", 1).await;
    let padding = "x".repeat(upload);
    let body = format!(r#"{{"messages":[],"max_tokens":3,"padding":"{padding}"}}"#);
    let lookup = Caller::raw("lookup", &body).send(site.callers("a")).await.unwrap();
    let before = runs.load(Ordering::Relaxed);
    let mandate = Caller::raw("mandate", &body).with_key("k1");
    let mandate = mandate.send(site.callers("a")).await.unwrap();
    ([lookup, mandate], runs.load(Ordering::Relaxed) - before)
}

/// Has one engine break off, and checks that callers hear it and that nothing runs twice that must not.
async fn fails(engine: Engine, upload: usize) {
    let (answers, runs) = ask(engine, upload).await;
    for answer in answers {
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
        assert!(answer.body.contains("\"ran\":\"unknown\""), "{answer:?}");
    }
    assert_eq!(runs, 1);
}

// Guards against a part of an answer that looks whole, as its engine broke off while the request was written.
#[parameterized(
    reset = { UNFRAMED, End::Reset },
    half_closed = { UNFRAMED, End::HalfClose },
    closed = { UNFRAMED, End::Close },
    coded = { CODED, End::HalfClose },
    chunks = { CHUNKED, End::HalfClose },
    sized = { SIZED, End::HalfClose },
)]
#[test_macro(tokio::test)]
async fn an_answer_that_ends_within_its_request_is_not_passed_on(bytes: &'static str, end: End) {
    fails(Engine { bytes, is_early: true, end, answers_all: false }, LONG_UPLOAD).await;
}

// Guards against the same where the request had been written.
#[parameterized(
    reset = { UNFRAMED, End::Reset },
    chunks_reset = { CHUNKED, End::Reset },
    chunks_closed = { CHUNKED, End::Close },
    sized_reset = { SIZED, End::Reset },
    sized_closed = { SIZED, End::Close },
)]
#[test_macro(tokio::test)]
async fn an_answer_that_breaks_off_is_not_passed_on(bytes: &'static str, end: End) {
    fails(Engine { bytes, is_early: false, end, answers_all: false }, SHORT_UPLOAD).await;
}

// Guards against the beginning of a head that is taken for a whole one.
#[parameterized(
    status_line = { "HTTP/1.1 200", End::Close },
    after_status_line = { "HTTP/1.1 200 OK\r\n", End::Reset },
    within_a_name = { "HTTP/1.1 200 OK\r\ncontent-le", End::Close },
    within_a_length = { "HTTP/1.1 200 OK\r\ncontent-length: 1", End::Close },
    after_headers = { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n", End::Close },
    after_headers_reset = { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n", End::Reset },
    within_the_last_line = { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r", End::Close },
    after_an_interim_head = { "HTTP/1.1 103 X\r\n\r\n", End::Close },
    within_a_second_head = { "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n", End::Close },
)]
#[test_macro(tokio::test)]
async fn a_head_that_breaks_off_is_no_answer(bytes: &'static str, end: End) {
    fails(Engine { bytes, is_early: false, end, answers_all: false }, SHORT_UPLOAD).await;
}

// Guards against a status outside of 200 to 599 that callers get as that of an answer.
#[parameterized(
    zero = { "HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\n{}" },
    below = { "HTTP/1.1 099 X\r\ncontent-length: 2\r\n\r\n{}" },
    switches = { "HTTP/1.1 101 X\r\n\r\n" },
    interim = { "HTTP/1.1 199 X\r\n\r\n" },
    above = { "HTTP/1.1 600 X\r\ncontent-length: 2\r\n\r\n{}" },
    highest = { "HTTP/1.1 999 X\r\ncontent-length: 2\r\n\r\n{}" },
    parted = { "HTTP/1.1 2 00\r\ncontent-length: 2\r\n\r\n{}" },
    four_digits = { "HTTP/1.1 2000 X\r\ncontent-length: 2\r\n\r\n{}" },
)]
#[test_macro(tokio::test)]
async fn a_status_that_is_none_is_no_answer(bytes: &'static str) {
    fails(Engine { bytes, is_early: false, end: End::Close, answers_all: false }, SHORT_UPLOAD)
        .await;
}

// Guards against requests that are quarantined since an engine, which is up, answers nothing but bytes that are no answer.
#[parameterized(
    zero = { "HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\n{}" },
    above = { "HTTP/1.1 600 X\r\ncontent-length: 2\r\n\r\n{}" },
)]
#[test_macro(tokio::test)]
async fn bytes_that_are_no_answer_are_no_crash(bytes: &'static str) {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let mut tasks = JoinSet::new();
    let engine = Engine { bytes, is_early: false, end: End::Close, answers_all: true };
    let (address, runs) = engine.start(&mut tasks);
    assert!(site.announce_at("a", ("e0", address), 1));
    site.upstreams_known("gulf", 1).await;
    for _ in 0..4 {
        let answer = Caller::chat("lookup", "where?", 3, false).send(site.callers("a")).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
        assert!(!site.logged("a").contains("an upstream died"), "{}", site.logged("a"));
    }
    assert!(runs.load(Ordering::Relaxed) >= 4);
}

// What is a whole answer stays one.
#[parameterized(
    without_a_reason = { "HTTP/1.1 200\r\ncontent-length: 2\r\n\r\n{}" },
    without_length = { "HTTP/1.1 200 OK\r\n\r\n{}" },
    after_an_interim_head = { "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" },
)]
#[test_macro(tokio::test)]
async fn a_whole_answer_in_an_unusual_form_is_passed_on(bytes: &'static str) {
    let (answers, runs) =
        ask(Engine { bytes, is_early: false, end: End::Close, answers_all: false }, SHORT_UPLOAD)
            .await;
    for answer in answers {
        assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "{}"));
    }
    assert_eq!(runs, 1);
}
