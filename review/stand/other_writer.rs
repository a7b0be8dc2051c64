//! A check-in of another writer reaches the control machines. Configurations must still be read and accepted.

#[path = "harness.rs"]
mod harness;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::*;

/// The operator asks for the configuration for so long (`contact_ms` is 5,000, `ack_ms` 6,000).
const READS: Duration = Duration::from_secs(20);

/// A check-in as the pages show it, but for a service that no configuration names, and with a floating-point number in
/// `remaining_ms`, where its writer means "no end".
fn foreign_check_in(address: &str) -> String {
    format!(
        "{{\"service\":\"batch\",\"address\":\"{address}\",\"zone\":\"lj-a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"remaining_ms\":1e20,\"sequence\":1,\"born\":{}}}",
        unix_ms()
    )
}

fn main() {
    open_record(&std::env::args().nth(1).expect("the record's path"));
    let trouble = with_trouble();
    let site = Site::new(3, vec![("lj-a", "lj")]);
    for number in 1..=3 {
        site.start(number, "lj-a", true);
    }
    site.start(20, "lj-a", false);
    for nth in 0..3u8 {
        let serve: Serve = Arc::new(|worker, asked, wire| {
            if asked.path == "/healthz" {
                return health(worker, wire);
            }
            thread::sleep(Duration::from_millis(60));
            answer(worker, asked, wire, 200, &[b'a'; 800])
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
        attempts: 1,
        resumable: false,
    }];
    let text = config(7, "bank.example", &routes, &["switch-api"]);
    site.order("POST", "/v1/config/replace", &text, Duration::from_secs(20));
    site.wait_ready(20, 3);
    say(&format!("a check-in of another writer: {trouble}"));

    if trouble {
        let body = foreign_check_in(&site.at(150, 8080).to_string());
        // A check-in that is not acknowledged goes to the next node.
        for to in site.all_controls() {
            let path = "/v1/instances/b-1/heartbeat";
            let reply = call(to, "POST", path, &[], body.as_bytes(), Duration::from_secs(1));
            record(&format!("other writer: {body} to {to}: {:?}", reply.as_ref().map(Reply::text)));
            let status = reply.map_or(0, |reply| reply.status);
            say(&format!("other writer: its check-in at {to} is answered {status}"));
            if (200..300).contains(&status) || status == 400 {
                break;
            }
        }
    }
    thread::sleep(Duration::from_secs(8));

    let (began, mut reads, mut whole) = (Instant::now(), 0, 0);
    while began.elapsed() < READS {
        for to in site.all_controls() {
            let reply = call(to, "GET", "/v1/config/read", &[], b"", Duration::from_secs(1));
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            record(&format!("operator: GET /v1/config/read at {to}: {status}"));
            reads += 1;
            whole +=
                u32::from(reply.is_ok_and(|reply| reply.status == 200 && reply.text() == text));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let newer = config(9, "bank.example", &routes, &["switch-api"]);
    let mut acks = 0;
    for to in site.all_controls() {
        let limit = Duration::from_secs(3);
        let reply = call(to, "POST", "/v1/config/replace", &[], newer.as_bytes(), limit);
        let status = reply.map_or(0, |reply| reply.status);
        record(&format!("operator: POST /v1/config/replace, version 9, at {to}: {status}"));
        acks += u32::from(status == 200);
    }
    say(&format!("operator: {whole} of {reads} reads gave version 7; version 9 had {acks} acks"));
    let mut workers = 0;
    for to in site.all_controls() {
        let body = format!(
            "{{\"service\":\"switch-api\",\"address\":\"{}\",\"zone\":\"lj-a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":{}}}",
            site.at(103, 8080),
            unix_ms()
        );
        let path = "/v1/instances/w3/heartbeat";
        let reply = call(to, "POST", path, &[], body.as_bytes(), Duration::from_secs(1));
        let status = reply.map_or(0, |reply| reply.status);
        record(&format!("worker w3 checks in at {to}: {status}"));
        workers += u32::from(status == 200);
    }
    say(&format!("a new worker's check-in is acknowledged by {workers} of 3 control machines"));
    let broken = whole == 0;
    say(if broken { "BROKEN: the configuration read back doesn't come" } else { "held" });
    end(i32::from(broken));
}
