use std::collections::BTreeSet;
use std::time::Duration;

use super::check;
use crate::routing::Credential;
use crate::routing::Document;
use crate::routing::Limits;
use crate::routing::Organisation;
use crate::routing::Route;
use crate::routing::Service;
use crate::routing::organisation::Allowance;
use crate::routing::organisation::Unit;
use crate::routing::route::Kind;
use crate::routing::route::Target;
use crate::unit::Rate;
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
        public: false,
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
        organisations: None,
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

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.parse().unwrap(),
        credentials: keys.iter().map(|key| Credential::new(key.as_bytes())).collect(),
        rank: None,
        homes: BTreeSet::new(),
        allowance: None,
    }
}

fn places(organisations: Vec<Organisation>) -> Vec<String> {
    let document = Document { organisations: Some(organisations), ..document(Vec::new()) };
    let found = check(&document).err().map(|invalid| invalid.0).unwrap_or_default();
    found.into_iter().map(|finding| finding.place).collect()
}

#[test]
fn organisations_without_keys_are_sound() {
    assert!(places(Vec::new()).is_empty());
    assert!(places(vec![organisation("a", &[]), organisation("b", &["k", "l"])]).is_empty());
}

// Guards against serving one organisation's requests as another's.
#[test]
fn a_name_or_key_that_stands_twice_is_found_by_its_place() {
    let found = places(vec![
        organisation("a", &["k", "l"]),
        organisation("b", &["m", "k"]),
        organisation("b", &["n", "n"]),
    ]);
    assert_eq!(found, ["organisations[1].keys[1]", "organisations[2]", "organisations[2].keys[1]"]);
}

#[test]
fn an_allowance_without_bound_is_found() {
    let mut endless = organisation("a", &[]);
    let unit = Unit::Requests;
    endless.allowance = Some(Allowance { rate: Rate::per_second(f64::INFINITY), burst: 1.0, unit });
    let mut negative = organisation("b", &[]);
    negative.allowance = Some(Allowance { rate: Rate::per_second(1.0), burst: -1.0, unit });
    let found = places(vec![endless, negative]);
    assert_eq!(found, ["organisations[0].allowance", "organisations[1].allowance"]);
}
