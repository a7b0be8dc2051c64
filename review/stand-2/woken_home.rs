//! A config binds a route to a home region while an entry machine elsewhere stands still; requests that are sent to it
//! after the ack wait for it.

mod common;

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::Record;
use common::Run;
use common::Site;

/// `config_apply_ms` of the small sites.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// How long the machine stands still.
const FREEZE: Duration = Duration::from_millis(4_500);
const REQUESTS: usize = 10;
const TIME_LIMIT: Duration = Duration::from_millis(3_000);

fn case() -> bool {
    let record = Record::create(&std::env::args().nth(1).expect("name the record"));
    let mut site = Site::new(record.clone(), &["lj", "mb", "kp"], &["lj", "mb"]);
    site.start_all();
    let routes = [("/r/", "unsafe", "api")];
    let open = common::plain_config(3, &routes, &["api"]);
    site.put(&open);
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    for (name, zone) in [("i-lj", "lj-a"), ("i-mb", "mb-a")] {
        let address = common::start_worker(name, Duration::from_millis(15), &record, &runs);
        common::check_in(name, "api", zone, 8, address, site.controls());
    }
    site.wait_ready(2);
    thread::sleep(Duration::from_secs(3));
    let front = site.front(0);
    if !common::ask(front, "POST", "/r/warm", "warm", TIME_LIMIT).is_ok_and(|reply| reply.status == 200) {
        common::give_up(&record, "the route is not served");
    }
    // Requesters keep channels, each of which has carried a request before.
    let kept: Vec<TcpStream> = (0..REQUESTS)
        .map(|nth| {
            let (id, mut stream) = (format!("kept-{nth}"), TcpStream::connect(front).unwrap());
            common::ask_on(&mut stream, "POST", &format!("/r/{id}"), &id, TIME_LIMIT).ok();
            stream
        })
        .collect();
    let frozen = site.entries[0].clone();
    let began = Instant::now();
    if common::has_trouble() {
        site.signal(&frozen, common::SIGSTOP);
    }
    site.put(&common::plain_config(7, &routes, &["api"]).replace("\"home_regions\":[]", "\"home_regions\":[\"mb\"]"));
    let acked = Instant::now();
    thread::sleep(CONFIG_APPLY + Duration::from_millis(300));
    runs.lock().unwrap().clear();
    record.line(&format!("{} ms after the ack:", acked.elapsed().as_millis()));
    let asked: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(nth, mut stream)| {
            let (id, record) = (format!("h-{nth}"), record.clone());
            thread::sleep(Duration::from_millis(50));
            record.line(&format!("requester sends {id} to the machine in lj"));
            thread::spawn(move || match common::ask_on(&mut stream, "POST", &format!("/r/{id}"), &id, TIME_LIMIT) {
                Ok(reply) => record.line(&format!("{id} is answered {} by {:?}", reply.status, reply.text())),
                Err(error) => record.line(&format!("{id} has no answer: {error}")),
            })
        })
        .collect();
    thread::sleep(FREEZE.saturating_sub(began.elapsed()));
    if common::has_trouble() {
        site.signal(&frozen, common::SIGCONT);
    }
    asked.into_iter().for_each(|asked| asked.join().unwrap());
    let away = runs.lock().unwrap().iter().filter(|run| run.worker == "i-lj").count();
    record.line(&format!("{away} of {REQUESTS} requests ran at the worker in lj, which is no home of their route"));
    away == 0
}

fn main() {
    common::run_case(case)
}
