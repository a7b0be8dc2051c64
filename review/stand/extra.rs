//! A worker sends additional bytes after complete answers, late: where the next answer is expected. A request that may run once
//! must not run twice.

#[path = "harness.rs"]
mod harness;

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::*;

const CALLERS: usize = 12;
const LASTS: Duration = Duration::from_secs(30);
/// One of the three workers is faulty; it adds bytes after each so many of its answers.
const EACH: u64 = 40;
/// The bytes: an answer without an id, which belongs to no request.
const EXTRA: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

#[derive(Default)]
struct Seen {
    /// The workers that ran each request.
    ran: Mutex<HashMap<String, Vec<String>>>,
    /// Channels on which the faulty worker owes additional bytes, by their far ends.
    owed: Mutex<HashMap<std::net::SocketAddr, String>>,
    added: Mutex<u64>,
    answers: Mutex<u64>,
    statuses: Mutex<HashMap<u16, u64>>,
}

fn main() {
    open_record(&std::env::args().nth(1).expect("the record's path"));
    let trouble = with_trouble();
    let site = Site::new(3, vec![("lj-a", "lj")]);
    for number in 1..=3 {
        site.start(number, "lj-a", true);
    }
    site.start(20, "lj-a", false);
    let seen = Arc::new(Seen::default());
    for nth in 0..3u8 {
        let seen = seen.clone();
        let random = Mutex::new(Random::new(u64::from(nth) + 11));
        let serve: Serve = Arc::new(move |worker, asked, wire| {
            if asked.path == "/healthz" {
                return health(worker, wire);
            }
            let name = worker.id.lock().unwrap().clone();
            let Ok(far_end) = wire.stream.peer_addr() else { return false };
            if let Some(before) = seen.owed.lock().unwrap().remove(&far_end) {
                record(&format!(
                    "worker {name}: late bytes after its answer to {before} come as it has read {}",
                    asked.id
                ));
                *seen.added.lock().unwrap() += 1;
                if wire.stream.write_all(EXTRA).is_err() {
                    return false;
                }
            }
            record(&format!("worker {name} runs {}", asked.id));
            seen.ran.lock().unwrap().entry(asked.id.clone()).or_default().push(name.clone());
            let number = random.lock().unwrap().next();
            thread::sleep(Duration::from_millis(30 + number % 60));
            let is_whole = answer(worker, asked, wire, 200, &[b'a'; 800]);
            if trouble && nth == 2 {
                let mut answers = seen.answers.lock().unwrap();
                *answers += 1;
                if *answers % EACH == 0 {
                    seen.owed.lock().unwrap().insert(far_end, asked.id.clone());
                }
            }
            is_whole
        });
        let (id, address) = (format!("w{nth}"), site.at(100 + nth, 8080));
        Worker::start(&id, "switch-api", "lj-a", address, 6, site.all_controls(), serve);
    }
    let routes = [RouteSpec {
        name: "debit-confirm",
        prefix: "/debit/",
        kind: "unsafe",
        timeout_ms: 3000,
        slo_ms: 500,
        service: "switch-api",
        attempts: 2,
        resumable: false,
    }];
    let text = config(1, "bank.example", &routes, &["switch-api"]);
    site.order("POST", "/v1/config/replace", &text, Duration::from_secs(20));
    site.wait_ready(20, 3);
    say(&format!("late bytes after complete answers: {trouble}"));

    let began = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|nth| {
            let (seen, front) = (seen.clone(), site.front(20));
            thread::spawn(move || caller(nth as u64, front, &seen, began))
        })
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
    thread::sleep(Duration::from_secs(1));
    let ran = seen.ran.lock().unwrap();
    let twice: Vec<String> = ran
        .iter()
        .filter(|(_, workers)| workers.len() > 1)
        .map(|(id, workers)| format!("{id} at {}", workers.join(" and ")))
        .collect();
    let added = *seen.added.lock().unwrap();
    say(&format!(
        "{} requests ran, late bytes {added} times, statuses {:?}",
        ran.len(),
        seen.statuses.lock().unwrap()
    ));
    if ran.is_empty() || (trouble && added == 0) {
        cannot_run("nothing ran, or no late bytes were sent");
    }
    say(&format!("TWICE: {} unsafe requests ran more than once: {twice:?}", twice.len()));
    say(if twice.is_empty() { "held" } else { "BROKEN" });
    end(i32::from(!twice.is_empty()));
}

fn caller(nth: u64, front: std::net::SocketAddr, seen: &Seen, began: Instant) {
    let mut random = Random::new(nth + 7);
    let mut kept: Option<Wire> = None;
    let mut number = 0;
    while began.elapsed() < LASTS {
        thread::sleep(Duration::from_millis(20 + random.below(100)));
        let mut wire = match kept.take() {
            Some(wire) => wire,
            None => match TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
                Ok(stream) => Wire::new(stream),
                Err(_) => continue,
            },
        };
        wire.stream.set_read_timeout(Some(Duration::from_secs(4))).ok();
        number += 1;
        let id = format!("{nth:04x}{number:012x}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "3000")];
        let bytes = request_bytes("POST", "/debit/1", "bank.example", &headers, &[b'b'; 600]);
        let reply = wire.stream.write_all(&bytes).and_then(|()| exchange(&mut wire));
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        *seen.statuses.lock().unwrap().entry(status).or_default() += 1;
        if status != 200 {
            record(&format!("caller {nth}: {id} gets {status}"));
        }
        if reply.is_ok_and(|reply| reply.head.get("connection") != Some("close")) {
            kept = Some(wire);
        }
    }
}
