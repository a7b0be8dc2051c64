use std::time::Duration;

use tokio::time::Instant;

use crate::decide::retry::repeats::RepeatLimit;
use crate::decide::retry::repeats::Repeats;

const LIMIT: RepeatLimit =
    RepeatLimit { ratio: 0.2, minimum: 50.0, window: Duration::from_secs(10) };

// Guards against exceeding the limit when several VMs repeat requests to a failing service without coordination.
#[tokio::test(start_paused = true)]
async fn all_vms_together_stay_within_the_bound() {
    let start = Instant::now();
    let mut vms: Vec<Repeats> = (0..6).map(|_| Repeats::new(LIMIT)).collect();
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    for millis in (0..20_000).step_by(20) {
        let at = Duration::from_millis(millis);
        for vm in &mut vms {
            vm.record_first(start + at);
            sent.push((at, false));
            if vm.try_acquire(6, start + at) {
                sent.push((at, true));
            }
        }
    }
    for from in (0..10_000).step_by(500).map(Duration::from_millis) {
        let window = sent.iter().filter(|(at, _)| (from..from + LIMIT.window).contains(at));
        let all = window.clone().count();
        let repeats = window.filter(|(_, is_repeat)| *is_repeat).count();
        let firsts = (all - repeats) as f64;
        let repeats = repeats as f64;
        assert!(repeats <= 0.2 * firsts + 50.0);
        assert!(repeats >= 0.1 * firsts, "most of the limit is used");
    }
}

#[tokio::test(start_paused = true)]
async fn a_rarely_used_service_has_its_share_of_the_fixed_number() {
    let now = Instant::now();
    let mut repeats = Repeats::new(LIMIT);
    repeats.record_first(now);
    assert_eq!((0..100).filter(|_| repeats.try_acquire(5, now)).count(), 8);
    assert!(repeats.try_acquire(5, now + Duration::from_secs(12)));
}
