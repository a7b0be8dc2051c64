use std::time::Duration;

use super::Document;
use crate::routing::Route;
use crate::routing::route::Kind;

fn route(homes: &[&str]) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        rank: 0,
        targets: Vec::new(),
        attempts: 1,
        homes: homes.iter().map(|home| home.parse().unwrap()).collect(),
        public: false,
    }
}

fn homes(routes: &[&[&str]]) -> Vec<String> {
    let routes = routes.iter().map(|homes| route(homes)).collect();
    let document = Document { routes, ..Document::default() };
    document.homes("A.example").iter().map(ToString::to_string).collect()
}

// Most routes of a host are bound to two regions and a new one to a third. If no region fits all, callers must not be led
// to any region there is: 6 in 100 bound requests then went where they may not be.
#[test]
fn the_homes_of_most_routes_count() {
    assert_eq!(homes(&[&["r", "s"], &["r", "s"], &["t"], &[]]), ["r", "s"]);
    assert_eq!(homes(&[&["r", "s"], &["s"]]), ["s"]);
    assert!(homes(&[&[], &[]]).is_empty());
}
