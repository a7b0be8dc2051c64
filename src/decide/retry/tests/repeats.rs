use std::time::Duration;

use tokio::time::Instant;

use crate::decide::retry::repeats::Bound;
use crate::decide::retry::repeats::Repeats;

const BOUND: Bound = Bound { ratio: 0.2, least: 50.0, window: Duration::from_secs(10) };

// Six VMs send to a service that fails every request for twenty seconds. In each ten seconds, all six together must stay
// within a fifth of the requests and fifty more, although none of them knows of the others' repeats.
#[tokio::test(start_paused = true)]
async fn all_vms_together_stay_within_the_bound() {
    let start = Instant::now();
    let mut vms: Vec<Repeats> = (0..6).map(|_| Repeats::new(BOUND)).collect();
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    for millis in (0..20_000).step_by(20) {
        let at = Duration::from_millis(millis);
        for vm in &mut vms {
            vm.first(start + at);
            sent.push((at, false));
            if vm.take(6, start + at) {
                sent.push((at, true));
            }
        }
    }
    for from in (0..10_000).step_by(500).map(Duration::from_millis) {
        let window = sent.iter().filter(|(at, _)| (from..from + BOUND.window).contains(at));
        let all = window.clone().count();
        let repeats = window.filter(|(_, is_repeat)| *is_repeat).count();
        let firsts = (all - repeats) as f64;
        let repeats = repeats as f64;
        assert!(repeats <= 0.2 * firsts + 50.0);
        assert!(repeats >= 0.1 * firsts, "most of it is used");
    }
}

#[tokio::test(start_paused = true)]
async fn a_rarely_used_service_has_its_share_of_the_fixed_number() {
    let now = Instant::now();
    let mut repeats = Repeats::new(BOUND);
    repeats.first(now);
    assert_eq!((0..100).filter(|_| repeats.take(5, now)).count(), 8);
    assert!(repeats.take(5, now + Duration::from_secs(12)));
}
