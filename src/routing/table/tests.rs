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
    assert!(table.goes_first(&route("first", "/first/"), "s"));
    assert!(!table.goes_first(&later, "s"));
    assert!(table.goes_first(&alone, "x"));
}

// Guards against urgent requests that queue behind long ones because their organisation has a rank.
#[test]
fn an_organisations_rank_comes_before_its_routes_which_still_orders_its_own() {
    let organisation = |name: &str, rank| Organisation {
        name: name.parse().unwrap(),
        credentials: Vec::new(),
        rank,
        homes: BTreeSet::new(),
        allowance: None,
    };
    let ranked = |rank| Route { rank, ..route("r", "/") };
    let all = vec![organisation("a", Some(0)), organisation("b", Some(1)), organisation("c", None)];
    let routes = vec![ranked(0), Route { prefix: "/long/".to_owned(), ..ranked(2) }];
    let document = Document { routes, organisations: Some(all.clone()), ..Document::default() };
    let table = Table::new(&document);
    let rank = |nth: usize, of| table.rank(&ranked(of), Some(&all[nth]));
    assert!(rank(0, 0) < rank(0, 2) && rank(0, 2) < rank(1, 0) && rank(1, 0) < rank(1, 2));
    assert!(rank(2, 0) == rank(0, 0) && rank(2, 2) > rank(1, 2));
    assert_eq!(table.rank(&ranked(2), None), 2);
}
