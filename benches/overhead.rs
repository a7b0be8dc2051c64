//! What an entry VM adds to a direct call of a stand-in for an engine: latency, processor time and memory.
//!
//!     cargo bench --bench overhead
//!
//! Callers, the daemons and the engine run in one process, first without the daemons and then through them, in the
//! same run; the difference is what the system adds.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fakes::Settings;
use fakes::Upstream;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use masticstream::http::client::Client;
use tokio::time::Instant;

use crate::support::Local;

const ENTRY: &str = "
name: lookup
owner: bayou
class: short
models: [small]
home: gulf
deadline: 20s
repeat: allowed
limits: { requests: 1000000/s, tokens: 100000000/s, concurrency: 4000 }
";
const BODY: &str =
    r#"{"messages":[{"role":"user","content":"how far is the cell?"}],"max_tokens":1}"#;
/// Requests one after the other, for latency.
const SINGLE: usize = 4000;
/// Callers at once, for throughput.
const CROWD: usize = 64;
const CROWD_TIME: Duration = Duration::from_secs(5);

struct Run {
    latency: Histogram<u64>,
    rate: f64,
    processor_us: f64,
    failed: u64,
}

async fn call(client: &Client, to: SocketAddr) -> bool {
    let request = Request::post("/v1/chat/completions")
        .header("host", "bench")
        .header("mastic-entry", "lookup")
        .body(Full::new(Bytes::from_static(BODY.as_bytes())));
    let Ok(request) = request else { return false };
    let Ok((response, lease)) = client.send(to, request).await else { return false };
    let whole = response.status().is_success() && response.into_body().collect().await.is_ok();
    client.keep(lease);
    whole
}

/// User and system time of this process, in microseconds.
fn processor_us() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(") ").next().unwrap_or_default();
    let field = |at| after.split(' ').nth(at).and_then(|text: &str| text.parse().ok());
    let ticks: f64 = field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0);
    ticks * 10_000.0
}

/// Resident memory of this process, in MiB.
fn memory() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    pages * 4096.0 / f64::from(1 << 20)
}

async fn run(to: SocketAddr) -> Run {
    let client = Client::new();
    let mut latency = Histogram::new(3).expect("three digits");
    let mut failed = 0;
    for number in 0..SINGLE + 200 {
        let begun = Instant::now();
        failed += u64::from(!call(&client, to).await);
        if number >= 200 {
            latency.record(begun.elapsed().as_nanos() as u64).ok();
        }
    }
    let before = processor_us();
    let until = Instant::now() + CROWD_TIME;
    let callers = (0..CROWD).map(|_| {
        let client = client.clone();
        tokio::spawn(async move {
            let (mut done, mut failed) = (0_u64, 0_u64);
            while Instant::now() < until {
                if call(&client, to).await {
                    done += 1;
                } else {
                    failed += 1;
                }
            }
            (done, failed)
        })
    });
    let ended = futures::future::join_all(callers).await;
    let counts: Vec<(u64, u64)> = ended.into_iter().map(|ended| ended.expect("no panic")).collect();
    let done: u64 = counts.iter().map(|(done, _)| done).sum();
    failed += counts.iter().map(|(_, failed)| failed).sum::<u64>();
    let processor_us = (processor_us() - before) / done as f64;
    Run { latency, rate: done as f64 / CROWD_TIME.as_secs_f64(), processor_us, failed }
}

fn print(name: &str, run: &Run) {
    let at = |quantile| run.latency.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "| {name} | {:.0} | {:.0} | {:.0} | {:.1} | {} |",
        at(0.5),
        at(0.99),
        run.rate,
        run.processor_us,
        run.failed
    );
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let mut site = Local::start(&["a@gulf"]).await;
    site.put(ENTRY).await;
    let settings = Settings::engine("e1")
        .with_entries([site.upstreams("a")])
        .with_slots(512)
        .with_speed(Duration::ZERO, Duration::ZERO);
    let engine = Upstream::start(settings).await.expect("a free port");
    site.upstreams_known("gulf", 1).await;
    let at_rest = memory();
    println!(
        "| path | p50 µs | p99 µs | requests/s, {CROWD} callers | processor µs each | failed |"
    );
    println!("|---|---|---|---|---|---|");
    let direct = run(engine.address()).await;
    print("direct", &direct);
    let through = run(site.callers("a")).await;
    print("through one entry VM", &through);
    let added = |quantile| {
        let of = |run: &Run| run.latency.value_at_quantile(quantile) as f64 / 1000.0;
        of(&through) - of(&direct)
    };
    let processor = through.processor_us - direct.processor_us;
    println!("\nadded: p50 {:.0} µs, p99 {:.0} µs", added(0.5), added(0.99));
    println!(
        "added processor time: {processor:.1} µs, or {:.0} requests/s a core",
        1e6 / processor
    );
    println!("memory of the whole process: {at_rest:.0} MiB before, {:.0} MiB after", memory());
}
