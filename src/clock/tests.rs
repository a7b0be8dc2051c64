use std::time::Duration;

use tokio::time;
use tokio::time::Instant;

use super::now;

// Guards against taking the time between the reads of two clocks for a suspension.
#[tokio::test(start_paused = true)]
async fn it_follows_the_runtimes_clock_while_nothing_is_suspended() {
    let (mine, runtime) = (now(), Instant::now());
    time::advance(Duration::from_secs(5)).await;
    for _ in 0..1000 {
        assert_eq!(now() - mine, Instant::now() - runtime);
    }
}
