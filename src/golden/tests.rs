//! What is pinned. A failure here means that VMs of two versions misread each other, a stored file or a setting is no
//! longer read, or an operator's dashboard loses a metric.

use std::path::Path;
use std::time::Duration;

use super::check_cbor;
use super::check_decoding;
use super::check_json;
use super::check_text;
use super::read;
use crate::catalogue;
use crate::catalogue::Class;
use crate::consensus;
use crate::control;
use crate::decide::quarantine;
use crate::decide::sharing;
use crate::decide::spill;
use crate::directory;
use crate::dump;
use crate::entry;
use crate::gateway;
use crate::group;
use crate::http;
use crate::id;
use crate::ledger;
use crate::load;
use crate::membership;
use crate::metrics;
use crate::roster;
use crate::routing;
use crate::settings;
use crate::settings::Findings;
use crate::store;
use crate::unit::Index;
use crate::unit::Slots;
use crate::unit::Term;
use crate::unit::Version;
use crate::upstream;
use crate::wire;

#[test]
fn messages_between_vms() {
    check_cbor::<wire::Peer>("wire-peer");
    check_cbor::<wire::Frame>("wire-frame");
    check_cbor::<wire::Request>("wire-request");
    check_cbor::<wire::Reply>("wire-reply");
    check_cbor::<wire::Cast>("wire-cast");
    check_cbor::<consensus::Message>("consensus-message");
    check_cbor::<group::Message>("group-message");
    check_cbor::<membership::Message>("membership-message");
    check_cbor::<sharing::Message>("sharing-message");
    check_cbor::<upstream::pool::Message>("slots-message");
    check_cbor::<roster::Delta>("roster-delta");
    check_cbor::<roster::Piece>("roster-piece");
    check_cbor::<roster::piece::Change>("roster-change");
    check_cbor::<control::Name>("group-name");
}

// Guards against a release that can't follow, or be followed by, one that sends whole deltas instead of pieces.
#[test]
fn messages_of_a_release_without_pieces_are_read() {
    check_decoding::<wire::Request>("wire-request-whole-deltas");
    check_decoding::<wire::Reply>("wire-reply-whole-deltas");
}

// Guards against a release that can't read the messages of one that issues no repeats.
#[test]
fn messages_of_a_release_that_issues_no_repeats_are_read() {
    check_decoding::<wire::Frame>("wire-frame-without-repeats");
    check_decoding::<wire::Request>("wire-request-without-repeats");
    check_decoding::<wire::Reply>("wire-reply-without-repeats");
}

// Guards against a release that can't read the messages of one that tells only the VMs of its region of crashes.
#[test]
fn messages_of_a_release_that_shares_crashes_in_a_region_are_read() {
    check_decoding::<wire::Frame>("wire-frame-without-shared-crashes");
    check_decoding::<wire::Request>("wire-request-without-shared-crashes");
    check_decoding::<wire::Reply>("wire-reply-without-shared-crashes");
    check_decoding::<wire::Cast>("wire-cast-without-shared-crashes");
}

// Guards against a release that can't read the records of one whose VMs don't tell whether they reach upstreams.
#[test]
fn records_of_a_release_without_reach_are_read() {
    check_decoding::<roster::Delta>("roster-delta-without-reach");
    check_decoding::<roster::piece::Change>("roster-change-without-reach");
}

// Guards against a release that can't read the datagrams of one that does not share rate limits.
#[test]
fn messages_of_a_release_without_shared_limits_are_read() {
    check_decoding::<sharing::Message>("sharing-message-without-limits");
}

// Guards against a release that can't read the datagrams of one that claims no room at upstreams.
#[test]
fn messages_of_a_release_without_claims_are_read() {
    check_decoding::<sharing::Message>("sharing-message-without-claims");
}

// Guards against a release that can't read the datagrams of one that shares neither the room of regions nor paces.
#[test]
fn messages_of_a_release_without_room_and_paces_are_read() {
    check_decoding::<sharing::Message>("sharing-message-without-room-and-paces");
}

#[test]
fn records_of_the_membership() {
    check_cbor::<membership::Key>("membership-key");
    check_cbor::<membership::Fact>("membership-fact");
    check_cbor::<entry::fleet::Place>("vm-record");
    check_cbor::<upstream::Announcement>("upstream-record");
    check_cbor::<spill::Digest>("region-record");
}

#[test]
fn commands_and_answers_of_replicated_state() {
    check_cbor::<consensus::Payload>("consensus-payload");
    check_cbor::<consensus::Snapshot>("consensus-snapshot");
    check_cbor::<catalogue::Command>("catalogue-command");
    check_cbor::<catalogue::Reply>("catalogue-reply");
    check_cbor::<ledger::Command>("ledger-command");
    check_cbor::<ledger::Reply>("ledger-reply");
    check_cbor::<routing::Command>("routing-command");
}

#[test]
fn snapshots_of_replicated_state() {
    check_cbor::<catalogue::Catalogue>("catalogue-snapshot");
    check_cbor::<ledger::Ledger>("ledger-snapshot");
    check_cbor::<routing::State>("routing-snapshot");
}

#[test]
fn files_of_control_vms() {
    check_cbor::<routing::state::Replicated>("routing-copy");
    check_cbor::<Vec<roster::Observed<roster::Announcement>>>("roster-copy");
    check_cbor::<quarantine::Report>("crashes-copy");
    check_cbor::<control::routes::Known>("routes-copy");
    let names = [
        store::cache::ROUTING_FILE,
        store::cache::ROSTER_FILE,
        store::cache::CRASHES_FILE,
        store::cache::ROUTES_FILE,
    ];
    check_text("files.txt", &names.join("\n"));
}

#[test]
fn digest_of_a_key() {
    let digest = routing::Credential::new(b"a caller's key");
    let mut bytes = Vec::new();
    ciborium::into_writer(&digest, &mut bytes).expect("writing to memory does not fail");
    check_text("credential.txt", &hex::encode(bytes));
}

#[test]
fn bodies_over_http() {
    check_json::<http::refusal::Problem>("problem");
    check_json::<http::operator::Wanted>("operator-change");
    check_json::<http::operator::Result>("operator-result");
    check_json::<http::operator::InForce>("operator-in-force");
    check_json::<http::upstream::Welcome>("upstream-welcome");
    check_json::<http::caller::Directory>("directory");
    check_json::<upstream::Announcement>("upstream-announcement");
    check_json::<catalogue::Record>("catalogue-record");
    check_json::<Vec<http::Reason>>("reasons");
}

#[test]
fn dump_of_an_entry_daemon() {
    let name = |text: &str| text.to_owned();
    let status = dump::Status {
        vm: "gulf-1".parse().unwrap(),
        region: "gulf".parse().unwrap(),
        version: Version::new(3),
        draining: true,
        streams: 4,
        waiting: 5,
        upstreams: 6,
        slots: Slots::new(7),
        live: vec!["gulf-2".parse().unwrap()],
    };
    let named = dump::Named { name: "lookup".parse().unwrap(), version: Version::new(2) };
    let entry = dump::Entry {
        status,
        entries: vec![named],
        upstreams: Vec::new(),
        keys: 8,
        links: vec![name("gulf-2/entry")],
    };
    check_text("json/dump-entry.txt", &serde_json::to_string_pretty(&entry).unwrap());
}

#[test]
fn dump_of_a_replica() {
    let status = group::Status {
        id: id::Replica::new(1),
        term: Term::new(2),
        leader: Some(id::Replica::new(3)),
        leads: true,
        commit: Index::new(4),
        applied: Index::new(5),
        snapshot: consensus::Position::default(),
        log_bytes: 6,
        members: consensus::Members::default(),
        settled: true,
        repairs: consensus::Repairs {
            count: 12,
            last: Some((
                consensus::Change::Promote(id::Replica::new(13)),
                consensus::Reason::Stopping,
            )),
            kept: Some(id::Replica::new(14)),
            refused: Some((
                consensus::Change::Remove(id::Replica::new(15)),
                consensus::Refusal::NotReady,
            )),
        },
        waiting: 7,
        pending: 8,
        dropped: 9,
        slow_writes: group::SlowWrites { count: 10, last: Duration::from_millis(11) },
        phase: consensus::Phase::PreCandidate,
        fetches: group::Fetches {
            count: 16,
            last: Some(group::Fetched {
                from: id::Replica::new(17),
                stage: group::Stage::Received,
                bytes: 18,
                requests: 19,
                took: Duration::from_millis(20),
            }),
        },
        refusals: group::Refusals {
            count: 21,
            last: Some((
                consensus::Change::AddLearner(id::Replica::new(22)),
                consensus::Refusal::ChangePending,
            )),
        },
    };
    let replica = dump::Replica { group: "catalogue".to_owned(), status: Some(status) };
    check_text("json/dump-replica.txt", &serde_json::to_string_pretty(&replica).unwrap());
}

#[test]
fn report_of_the_load_tool() {
    let latency = load::report::Latency { p50: 1.0, p95: 2.0, p99: 3.0 };
    let row =
        load::Row { first: Some(latency), first_curve: vec![(50.0, 1.0)], ..Default::default() };
    let report = load::Report { seconds: 1.0, rows: vec![row], silent_upstreams: Vec::new() };
    check_text("json/load-report.txt", &serde_json::to_string_pretty(&report).unwrap());
}

#[test]
fn names_of_metrics() {
    let entry = metrics::Metrics::new();
    for class in [Class::Alert, Class::Short, Class::Long, Class::Batch] {
        entry.ended(class, "whole");
        entry.latency(class, Duration::from_millis(20));
        entry.handed_over(class, true);
        entry.handed_over(class, false);
    }
    entry.joined();
    check_text("metrics/entry.txt", &in_order(&entry.encode(1, 2, 3)));
    let gateway = gateway::metrics::Metrics::default();
    gateway.record_request("whole");
    gateway.record_attempt("whole");
    gateway.record_forward("sent");
    gateway.observe_first_event(Duration::from_millis(20));
    gateway.record_sharing_drop();
    gateway.set_limited(2);
    gateway.set_draining(3);
    gateway.set_unusual_paces(6, 7);
    gateway.set_backing_off(4);
    gateway.set_unanswered(5);
    check_text("metrics/gateway.txt", &in_order(&gateway.encode(1, 2, 3, 4)));
    let control = directory::metrics::Metrics::default();
    control.record_check_in();
    check_text("metrics/control.txt", &in_order(&control.encode((1, 2), 4, 3, None)));
}

/// Label sets come in the order of a hash table.
fn in_order(metrics: &str) -> String {
    let mut lines: Vec<&str> = metrics.lines().collect();
    lines.sort_unstable();
    lines.join("\n") + "\n"
}

/// A file with every key has no finding, and one with none has a finding for each key that is required.
fn check_keys<T>(name: &str, parse: impl Fn(&str) -> Result<T, Findings>) {
    let whole = parse(&read(&format!("settings/{name}.yaml")));
    if let Err(findings) = whole {
        panic!("{name}: {findings}");
    }
    let Err(findings) = parse("{}") else { panic!("{name}: keys are required") };
    let key = |text: &str| text.split(':').next().unwrap_or_default().to_owned();
    let required: Vec<String> = findings.0.iter().map(|finding| key(&finding.text)).collect();
    check_text(&format!("settings/{name}-required.txt"), &(required.join("\n") + "\n"));
}

#[test]
fn keys_of_settings() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/settings");
    let node = |text: &str| settings::Node::parse("node.yaml", text, &folder);
    check_keys("entry-vm", node);
    check_keys("control-vm", node);
    check_keys("site", |text| settings::Site::parse("site.yaml", text, &folder));
    check_keys("catalogue-entry", |text| settings::entry::parse("entry.yaml", text));
    check_keys("scenario", |text| load::scenario::Scenario::parse("scenario.yaml", text));
}
