//! Bad input on every listener: the process stays up, answers what it can with a clear refusal, and serves on.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use fakes::Settings;
use fakes::Upstream;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::support::Caller;
use crate::support::Local;
use crate::support::entries::LOOKUP;

const CASES: usize = 400;

/// Requests that are well formed but for what the generator does to them.
const SEEDS: [&str; 7] = [
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nmastic-entry: lookup\r\ncontent-length: 44\r\n\r\n\
     {\"prompt\":\"hello\",\"max_tokens\":3,\"stream\":true}",
    "PUT /upstreams/e9 HTTP/1.1\r\nhost: x\r\ncontent-length: 40\r\n\r\n{\"address\":\"127.0.0.1:1\",\"slots\":99999999}",
    "DELETE /upstreams/e1?incarnation=999999999999999999999 HTTP/1.1\r\nhost: x\r\n\r\n",
    "PUT /entries/lookup HTTP/1.1\r\nhost: x\r\ncontent-length: 17\r\n\r\n{\"operation\":\"zz\"}",
    "GET /join HTTP/1.1\r\nhost: x\r\nmastic-secret: guess\r\n\r\n",
    "GET /link HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-version: 13\r\n\
     sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n\u{82}\u{7f}\u{ff}\u{ff}\u{ff}\u{ff}\u{ff}\u{ff}\u{ff}\u{ff}",
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nmastic-entry: lookup\r\ntransfer-encoding: chunked\r\n\r\n\
     ffffffffffffffff\r\n{\"prompt\":",
];

/// One of the seeds with bytes changed, doubled, cut off or made huge.
fn mutated(rng: &mut SmallRng) -> Vec<u8> {
    let mut bytes = SEEDS[rng.random_range(0..SEEDS.len())].as_bytes().to_vec();
    for _ in 0..rng.random_range(0..4) {
        let at = rng.random_range(0..bytes.len().max(1));
        match rng.random_range(0..5) {
            0 => bytes.truncate(at),
            1 => bytes.splice(at..at, [0xff, 0xfe, 0x00]).for_each(drop),
            2 => bytes.splice(at..at, vec![b'A'; 100_000]).for_each(drop),
            3 if !bytes.is_empty() => bytes[at] ^= 1 << rng.random_range(0..8),
            _ => bytes.extend_from_within(at..),
        }
        if bytes.is_empty() {
            bytes.push(b'G');
        }
    }
    bytes
}

/// Sends bytes, half-closes or not, and reads what comes for a moment.
async fn send(to: SocketAddr, bytes: &[u8], half_close: bool) -> Vec<u8> {
    let Ok(mut stream) = TcpStream::connect(to).await else { return Vec::new() };
    stream.write_all(bytes).await.ok();
    if half_close {
        stream.shutdown().await.ok();
    }
    let mut answer = vec![0; 4096];
    let read = time::timeout(Duration::from_millis(40), stream.read(&mut answer)).await;
    answer.truncate(read.map_or(0, |read| read.unwrap_or(0)));
    answer
}

// Strangers and broken programs send whatever they like to all five listeners, some cut off, some without end. No
// answer claims success for what is no request, the daemon lives, and a proper caller is served after all of it.
#[tokio::test]
async fn a_daemon_outlives_whatever_is_sent_to_it() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(LOOKUP).await;
    let engine = Settings::engine("e1").with_entries([site.upstreams("a")]);
    let _engine = Upstream::start(engine).await.unwrap();
    site.upstreams_known("gulf", 1).await;
    let vm = site.site.vms.values().next().unwrap().clone();
    let (entry, control) = (vm.entry.unwrap(), vm.control.unwrap());
    let listeners = [
        entry.callers,
        entry.upstreams,
        entry.operators,
        entry.links,
        entry.forwards,
        control.links,
        control.operators,
    ];
    let mut rng = SmallRng::seed_from_u64(20_261_202);
    let cases = (0..CASES).map(|number| {
        let (bytes, half) = (mutated(&mut rng), rng.random_bool(0.3));
        let to = listeners[number % listeners.len()];
        async move { send(to, &bytes, half).await }
    });
    let cases: Vec<_> = cases.collect();
    for answer in futures::future::join_all(cases).await {
        let text = String::from_utf8_lossy(&answer);
        assert!(!text.starts_with("HTTP/1.1 5") || text.contains("\"ran\":\"no\""), "{text}");
    }
    let answer =
        Caller::chat("lookup", "still there?", 4, true).send(site.callers("a")).await.unwrap();
    assert_eq!(answer.streamed(), Some(fakes::answer("still there?", 4)), "{answer:?}");
    let record = site.hub("a").view().record(&"lookup".parse().unwrap()).cloned();
    assert!(record.is_some_and(|record| record.entry.is_some()), "the entry is still there");
}
