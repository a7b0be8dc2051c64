//! Tests of the cutoff.

use std::time::Duration;

use tokio::time;
use tokio::time::Instant;

use super::Cutoff;

#[tokio::test(start_paused = true)]
async fn it_passes_at_its_time() {
    let (cutoff, began) = (Cutoff::default(), Instant::now());
    assert!(time::timeout(Duration::from_secs(60), cutoff.passed()).await.is_err());
    assert_eq!(cutoff.at(), None);
    let set = async {
        time::sleep(Duration::from_secs(1)).await;
        cutoff.set(began + Duration::from_secs(90));
        time::sleep(Duration::from_secs(1)).await;
        cutoff.set(began + Duration::from_secs(70));
        cutoff.set(began + Duration::from_secs(80));
    };
    tokio::join!(cutoff.passed(), set);
    assert_eq!(began.elapsed(), Duration::from_secs(70));
    cutoff.passed().await;
    assert_eq!(began.elapsed(), Duration::from_secs(70));
}
