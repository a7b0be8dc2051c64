use rand::SeedableRng;

use super::*;
use crate::load::Scenario;

#[test]
fn arrivals_hold_rate_and_bursts() {
    let text = "\
time: 100s
vms: [127.0.0.1:1]
callers:
  a:
    entry: a
    region: gulf
    rate: 20/s
    deadline: 1s
    engine: {model: m}
    burst: {every: 40s, count: 7}
";
    let caller = &Scenario::parse("a", text).unwrap().callers[0];
    let mut rng = SmallRng::seed_from_u64(3);
    let moments = arrivals(caller, Duration::from_secs(100), &mut rng);
    // 2000 by rate, give or take four standard deviations, and two bursts.
    assert!(moments.len().abs_diff(2014) < 180, "{}", moments.len());
    assert!(moments.is_sorted());
    let bursting = moments.iter().filter(|at| **at == Duration::from_secs(40)).count();
    assert_eq!(bursting, 7);
}
