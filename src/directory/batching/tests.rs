use std::time::Duration;

use tokio::time::Instant;

use super::Batching;
use super::MAX_DELAY;

// Guards against control VMs that are busy with one reply to each follower for each upstream that checks in.
#[tokio::test(start_paused = true)]
async fn addition_waits_longer_the_more_followers_there_are() {
    let batching = Batching::default();
    let now = Instant::now();
    batching.record(5, now);
    assert_eq!(batching.due(5), now);
    let few: Vec<_> = (0..10).map(|_| batching.track_follower()).collect();
    let wait_of_few = batching.due(5) - now;
    let many: Vec<_> = (0..100).map(|_| batching.track_follower()).collect();
    assert_eq!(batching.due(5) - now, wait_of_few * 11);
    let very_many: Vec<_> = (0..10_000).map(|_| batching.track_follower()).collect();
    assert_eq!(batching.due(5) - now, MAX_DELAY);
    drop((few, many, very_many));
    assert_eq!(batching.due(5), now);
}

// Guards against a follower that resumes far behind and waits for each piece.
#[tokio::test(start_paused = true)]
async fn old_changes_are_due_at_once() {
    let batching = Batching::default();
    let _followers: Vec<_> = (0..10_000).map(|_| batching.track_follower()).collect();
    batching.record(5, Instant::now());
    tokio::time::advance(MAX_DELAY + Duration::from_millis(1)).await;
    batching.record(9, Instant::now());
    assert_eq!(batching.due(3), Instant::now());
    assert_eq!(batching.due(9), Instant::now() + MAX_DELAY);
}
