use std::time::Duration;

use tokio::time::Instant;

use super::Stage;
use super::Tally;
use crate::id;

// Guards against waking all that watch a replica with each piece of a snapshot.
#[test]
fn pieces_show_only_once_a_stage_is_reached() {
    let (mut tally, now) = (Tally::default(), Instant::now());
    tally.begin(id::Replica::new(7), now);
    let begun = tally.fetches();
    for _ in 0..3 {
        tally.record_requests(1);
        tally.record_piece(1000);
    }
    assert_eq!(tally.fetches(), begun);
    tally.reach(Stage::Received, now + Duration::from_secs(2));
    let last = tally.fetches().last.unwrap();
    assert_eq!((last.from, last.stage), (id::Replica::new(7), Stage::Received));
    assert_eq!((last.bytes, last.requests, last.took), (3000, 3, Duration::from_secs(2)));
}

// Guards against a fetch that inherits the pieces of the one before.
#[test]
fn each_fetch_is_counted_from_zero() {
    let (mut tally, now) = (Tally::default(), Instant::now());
    tally.begin(id::Replica::new(7), now);
    tally.record_requests(1);
    tally.reach(Stage::Failed, now);
    tally.begin(id::Replica::new(8), now);
    tally.reach(Stage::Failed, now);
    let fetches = tally.fetches();
    assert_eq!((fetches.count, fetches.last.unwrap().requests), (2, 0));
}
