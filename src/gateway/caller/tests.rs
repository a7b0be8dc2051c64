use std::collections::BTreeSet;
use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::uri::PathAndQuery;
use yare::parameterized;

use super::Caller;
use crate::gateway::Call;
use crate::gateway::call::Authorization;
use crate::gateway::relay::Hop;
use crate::http::Reason;
use crate::id;
use crate::routing::Credential;
use crate::routing::Document;
use crate::routing::Organisation;
use crate::routing::Route;
use crate::routing::Table;
use crate::routing::route::Kind;

fn regions(names: &[&str]) -> BTreeSet<id::Region> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn route(homes: &[&str], public: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        rank: 3,
        targets: Vec::new(),
        attempts: 1,
        homes: regions(homes),
        public,
    }
}

fn organisation(homes: &[&str], rank: Option<u8>) -> Organisation {
    Organisation {
        name: "bank".parse().unwrap(),
        credentials: vec![Credential::new(b"old"), Credential::new(b"new")],
        rank,
        homes: regions(homes),
        allowance: None,
    }
}

fn table(organisations: Option<Vec<Organisation>>) -> Table {
    Table::new(&Document { organisations, ..Document::default() })
}

fn call(authorization: Authorization) -> Call {
    Call {
        id: "id".to_owned(),
        method: Method::GET,
        host: "a.example".to_owned(),
        target: PathAndQuery::from_static("/"),
        timeout: None,
        prompt: None,
        authorization,
        headers: HeaderMap::new(),
    }
}

fn key(key: &str) -> Authorization {
    Authorization::Key(Credential::new(key.as_bytes()))
}

fn identify(table: &Table, route: &Route, authorization: Authorization) -> Result<Caller, Reason> {
    let caller = Caller::identify(table, route, &call(authorization), (Hop::Ingress, None));
    caller.map_err(|refusal| refusal.reason)
}

#[test]
fn each_key_of_an_organisation_names_it() {
    let table = table(Some(vec![organisation(&[], None)]));
    for authorization in [key("old"), key("new")] {
        let caller = identify(&table, &route(&[], false), authorization).unwrap();
        assert_eq!(caller.name().unwrap().as_str(), "bank");
    }
}

#[parameterized(
    missing = { Authorization::Missing },
    ambiguous = { Authorization::Ambiguous },
    unknown = { key("stolen") },
)]
fn exactly_one_known_key_is_required(authorization: Authorization) {
    let table = table(Some(vec![organisation(&[], None)]));
    assert_eq!(
        identify(&table, &route(&[], false), authorization).unwrap_err(),
        Reason::Unauthorized
    );
}

#[test]
fn public_routes_and_documents_without_organisations_need_no_key() {
    let with = table(Some(vec![organisation(&[], None)]));
    for authorization in [Authorization::Missing, key("stolen"), key("old")] {
        assert!(identify(&with, &route(&[], true), authorization).unwrap().name().is_none());
        assert!(
            identify(&table(None), &route(&[], false), authorization).unwrap().name().is_none()
        );
    }
    assert!(identify(&table(Some(Vec::new())), &route(&[], false), key("old")).is_err());
}

// Guards against a caller that spoofs its organisation with the header used between VMs.
#[test]
fn the_organisation_header_is_trusted_only_from_vms() {
    let table = table(Some(vec![organisation(&[], None)]));
    let (bank, other): (id::Owner, id::Owner) = ("bank".parse().unwrap(), "x".parse().unwrap());
    let route = route(&[], false);
    let identify_at = |hop, name| {
        Caller::identify(&table, &route, &call(Authorization::Missing), (hop, name))
            .map_err(|refusal| refusal.reason)
    };
    assert_eq!(identify_at(Hop::Ingress, Some(&bank)).unwrap_err(), Reason::Unauthorized);
    assert!(identify_at(Hop::Forwarded, Some(&bank)).is_ok());
    assert_eq!(identify_at(Hop::Forwarded, Some(&other)).unwrap_err(), Reason::Outdated);
    assert_eq!(identify_at(Hop::Forwarded, None).unwrap_err(), Reason::Outdated);
}

#[parameterized(
    none = { &[], &[], true, true },
    routes = { &[], &["r"], true, true },
    own = { &["q"], &[], false, true },
    both = { &["r", "q"], &["r"], true, true },
    disjoint = { &["q"], &["r"], false, false },
)]
fn homes_of_organisation_and_route_are_intersected(
    own: &[&str],
    routes: &[&str],
    is_allowed: bool,
    has_home: bool,
) {
    let table = table(Some(vec![organisation(own, None)]));
    let route = route(routes, false);
    let caller = identify(&table, &route, key("old")).unwrap();
    assert_eq!(caller.allows(&route, &"r".parse().unwrap()), is_allowed);
    assert_eq!(caller.has_home(&route), has_home);
}

// Guards against retrying a request whose key has been revoked.
#[test]
fn a_revoked_key_is_no_longer_known() {
    let before = table(Some(vec![organisation(&[], None)]));
    let caller = identify(&before, &route(&[], false), key("old")).unwrap();
    assert!(caller.is_known(&before));
    let mut rotated = organisation(&[], None);
    rotated.credentials.remove(0);
    assert!(!caller.is_known(&table(Some(vec![rotated]))));
    assert!(!caller.is_known(&table(None)));
}
