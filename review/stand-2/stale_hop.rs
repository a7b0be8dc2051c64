//! A config moves a route while an entry machine to which requests are passed on stands still for a moment.

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::Record;
use common::Run;
use common::Site;

/// `downgrade_slack_ms` of the small sites.
const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);
/// How long the machine stands still.
const FREEZE: Duration = Duration::from_millis(2_000);
/// How often that happens.
const ROUNDS: u64 = 3;
/// The time between two requests, and how many there are in a round.
const PAUSE: Duration = Duration::from_millis(50);
const REQUESTS: usize = 60;
const TIME_LIMIT: Duration = Duration::from_millis(3_000);
/// The services that the route goes to in turn, and the worker of each.
const SERVICES: [(&str, &str); 2] = [("red", "i-red"), ("blue", "i-blue")];

fn config(version: u64, service: &str) -> String {
    common::plain_config(version, &[("/move/", "unsafe", service)], &["red", "blue"])
}

/// Sends a request each 50 ms to the machine in `lj`; returns what was sent when.
fn send_all(site: &Site, round: u64) -> thread::JoinHandle<Vec<(String, Instant)>> {
    let (front, record) = (site.front(0), site.record.clone());
    thread::spawn(move || {
        let mut sent = Vec::new();
        let mut asked = Vec::new();
        for nth in 0..REQUESTS {
            thread::sleep(PAUSE);
            let id = format!("m-{round}-{nth}");
            sent.push((id.clone(), Instant::now()));
            record.line(&format!("requester sends {id} to the machine in lj"));
            let record = record.clone();
            asked.push(thread::spawn(move || {
                let path = format!("/move/{id}");
                match common::ask(front, "POST", &path, &id, TIME_LIMIT) {
                    Ok(reply) => {
                        record.line(&format!("{id} is answered {} by {:?}", reply.status, reply.text()));
                    }
                    Err(error) => record.line(&format!("{id} has no answer: {error}")),
                }
            }));
        }
        asked.into_iter().for_each(|asked| asked.join().unwrap());
        sent
    })
}

/// Sends some requests at once, so that machines hold channels to each other as they do under load.
fn warm_up(site: &Site, round: u64) {
    let asked: Vec<_> = (0..40)
        .map(|nth| {
            let (front, id) = (site.front(0), format!("warm-{round}-{nth}"));
            thread::spawn(move || {
                common::ask(front, "POST", &format!("/move/{id}"), &id, TIME_LIMIT).ok();
            })
        })
        .collect();
    asked.into_iter().for_each(|asked| asked.join().unwrap());
    thread::sleep(Duration::from_millis(300));
}

/// Moves the route while a machine stands still; returns how many requests were handled as only the older config allows.
fn round(site: &Site, runs: &Mutex<Vec<Run>>, round: u64) -> usize {
    let (old, new) = (SERVICES[(round as usize + 1) % 2].1, SERVICES[round as usize % 2]);
    let frozen = &site.entries[1 + round as usize % 2];
    warm_up(site, round);
    runs.lock().unwrap().clear();
    if common::has_trouble() {
        site.signal(frozen, common::SIGSTOP);
    }
    let began = Instant::now();
    let requests = send_all(site, round);
    thread::sleep(Duration::from_millis(100));
    site.put(&config(7 + round, new.0));
    thread::sleep(FREEZE.saturating_sub(began.elapsed()));
    if common::has_trouble() {
        site.signal(frozen, common::SIGCONT);
    }
    let sent = requests.join().unwrap();
    let runs = runs.lock().unwrap().clone();
    let Some(effect) = runs.iter().filter(|run| run.worker == new.1).map(|run| run.at).min() else {
        common::give_up(&site.record, "the new config had no effect")
    };
    // All requests were sent to one machine, in one lifetime of its process.
    let stale: Vec<String> = sent
        .iter()
        .filter(|(_, at)| *at > effect + DOWNGRADE_SLACK)
        .filter(|(id, _)| runs.iter().any(|run| run.id == *id && run.worker == old))
        .map(|(id, at)| format!("{id} ({} ms)", (*at - effect).as_millis()))
        .collect();
    site.record.line(&format!(
        "round {round}: {} requests were sent over {} ms after a worker had seen the new config, and ran as only the old \
         one allows: {}",
        stale.len(),
        DOWNGRADE_SLACK.as_millis(),
        stale.join(", ")
    ));
    stale.len()
}

fn case() -> bool {
    let record = Record::create(&std::env::args().nth(1).expect("name the record"));
    let mut site = Site::new(record.clone(), &["lj", "mb", "kp"], &["lj", "mb", "mb"]);
    site.start_all();
    site.put(&config(3, SERVICES[1].0));
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    // Both services have their workers in `mb`, so that the machine in `lj` passes its requests on.
    for (service, name) in SERVICES {
        let address = common::start_worker(name, Duration::from_millis(15), &record, &runs);
        common::check_in(name, service, "mb-a", 8, address, site.controls());
    }
    site.wait_ready(2);
    thread::sleep(Duration::from_secs(3));
    let warm = common::ask(site.front(0), "POST", "/move/warm", "warm", TIME_LIMIT);
    if !warm.is_ok_and(|reply| reply.status == 200 && reply.text() == SERVICES[1].1) {
        common::give_up(&record, "the route is not served");
    }
    let mut stale = 0;
    for nth in 0..ROUNDS {
        stale += round(&site, &runs, nth);
        thread::sleep(Duration::from_secs(2));
    }
    record.line(&format!("{stale} requests in all"));
    stale == 0
}

fn main() {
    common::run_case(case)
}
