//! Hedging: lookups of which some stall.

use std::time::Duration;

use masticstream::catalogue::Class;
use masticstream::catalogue::Repeat;
use masticstream::decide::retry::Hedge;
use masticstream::id;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

fn model() -> id::Model {
    "storm".parse().expect("a name")
}

/// Lookups of 50 to 150 ms, of which a share stalls for 3 s; the 99.5th percentile, and second attempts per request.
fn lookups(mut hedge: Option<Hedge>, stalls: f64) -> (f64, f64) {
    let (mut rng, start) = (SmallRng::seed_from_u64(3), Instant::now());
    let (mut latencies, mut seconds) = (Vec::new(), 0);
    let take = |rng: &mut SmallRng| -> f64 {
        if rng.random_bool(stalls) { 3.0 } else { rng.random_range(0.05..0.15) }
    };
    for number in 0..20_000 {
        let now = start + Duration::from_millis(number * 20);
        let mut latency = take(&mut rng);
        if let Some(hedge) = &mut hedge {
            let late = hedge.after(&model(), Class::Short, Repeat::Allowed, now);
            let late = late.map(|late| late.as_secs_f64()).filter(|&late| latency > late);
            if let Some(late) = late.filter(|_| hedge.try_start(&model(), now)) {
                seconds += 1;
                latency = latency.min(late + take(&mut rng));
            }
            hedge.answered(&model(), Duration::from_secs_f64(latency));
        }
        latencies.push(latency);
    }
    latencies.sort_by(f64::total_cmp);
    (latencies[latencies.len() * 995 / 1000], f64::from(seconds) / latencies.len() as f64)
}

// One lookup in a hundred stalls for 3 s on its upstream, while the others are idle. The caller would wait; the
// second attempt answers it. In trouble that makes a third of all requests late, hedging stays within its budget.
#[test]
fn stalls_are_hedged_within_the_budget() {
    let (naive, _) = lookups(None, 0.01);
    let (ours, extra) = lookups(Some(Hedge::new(Instant::now())), 0.01);
    println!(
        "| hedging | 99.5th percentile {ours:.2} s against {naive:.2} s | extra work {:.1}% |",
        extra * 100.0
    );
    assert!(naive > 2.9 && ours < 0.5);
    assert!(extra < 0.06);
    let (_, in_trouble) = lookups(Some(Hedge::new(Instant::now())), 0.33);
    assert!(in_trouble < 0.06);
}
