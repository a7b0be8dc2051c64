use std::collections::BTreeSet;
use std::time::Duration;

use super::check;
use crate::routing::Document;
use crate::routing::Limits;
use crate::routing::Route;
use crate::routing::Service;
use crate::routing::route::Kind;
use crate::routing::route::Target;
use crate::unit::Version;

fn route(prefix: &str, service: &str, weight: u32) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        rank: 0,
        targets: vec![Target { service: service.to_owned(), weight }],
        attempts: 1,
        homes: BTreeSet::new(),
    }
}

fn document(routes: Vec<Route>) -> Document {
    let service = Service {
        name: "known".to_owned(),
        connections: 10,
        cold_time: Duration::ZERO,
        cold_rate: None,
        engine: None,
    };
    Document {
        version: Version::new(1),
        routes,
        services: vec![service],
        limits: Limits::default(),
    }
}

#[test]
fn a_sound_document_has_no_findings() {
    assert!(check(&document(vec![route("/a/", "known", 1), route("/b/", "known", 1)])).is_ok());
}

#[test]
fn all_findings_are_reported_together() {
    let mut untimed = route("/c/", "known", 1);
    untimed.timeout = Duration::ZERO;
    let routes = vec![
        route("/a/", "unknown", 1),
        route("/a/", "known", 1),
        route("/b/", "known", 0),
        untimed,
        route("d", "known", 1),
    ];
    let found = check(&document(routes)).unwrap_err().0;
    let places: Vec<&str> = found.iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(places, ["routes[0]", "routes[1]", "routes[2]", "routes[3]", "routes[4]"]);
}
