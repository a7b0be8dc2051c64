use std::collections::BTreeSet;
use std::time::Duration;

use super::Table;
use crate::routing::Document;
use crate::routing::Organisation;
use crate::routing::Route;
use crate::routing::route::Kind;
use crate::routing::route::Target;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "A.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Unsafe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        rank: 0,
        targets: vec![Target { service: "s".to_owned(), weight: 1 }],
        attempts: 1,
        homes: BTreeSet::new(),
        public: false,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![route("short", "/a/"), route("long", "/a/b/")];
    let table = Table::new(&Document { routes, ..Document::default() });
    let name = |host, path| table.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("a.example:8080", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/ab"), None);
    assert_eq!(name("b.example", "/a/b/c"), None);
}

#[test]
fn shares_follow_the_weights() {
    let mut split = route("split", "/");
    split.targets = vec![
        Target { service: "x".to_owned(), weight: 9 },
        Target { service: "y".to_owned(), weight: 1 },
    ];
    let to_y = (0..1000).filter(|&draw| split.target(draw) == Some("y")).count();
    assert_eq!(to_y, 100);
}

#[test]
fn the_first_rank_of_each_service_goes_first() {
    let mut later = route("later", "/later/");
    later.rank = 1;
    let mut alone = route("alone", "/alone/");
    alone.rank = 2;
    alone.targets = vec![Target { service: "x".to_owned(), weight: 1 }];
    let routes = vec![route("first", "/first/"), later.clone(), alone.clone()];
    let table = Table::new(&Document { routes, ..Document::default() });
    assert!(table.goes_first(route("first", "/first/").rank, "s"));
    assert!(!table.goes_first(later.rank, "s"));
    assert!(table.goes_first(alone.rank, "x"));
}

// Guards against taking every request for a late one where organisations have ranks of their own.
#[test]
fn the_first_rank_counts_those_of_organisations() {
    let organisation = |name: &str, rank| Organisation {
        name: name.parse().unwrap(),
        credentials: Vec::new(),
        rank,
        homes: BTreeSet::new(),
        allowance: None,
    };
    let goes_first = |rank, organisations| {
        let routes = vec![route("only", "/")];
        let document =
            Document { routes, organisations: Some(organisations), ..Document::default() };
        Table::new(&document).goes_first(rank, "s")
    };
    assert!(goes_first(2, vec![organisation("a", Some(2)), organisation("b", Some(4))]));
    assert!(!goes_first(2, vec![organisation("a", Some(2)), organisation("b", None)]));
}
