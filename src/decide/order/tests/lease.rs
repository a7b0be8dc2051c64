use std::time::Duration;

use tokio::time::Instant;
use yare::parameterized;

use crate::decide::order::Active;
use crate::decide::order::COMMAND_TIMEOUT;
use crate::decide::order::Idle;
use crate::decide::order::LEASE_DURATION;
use crate::decide::order::LeaseHolder;
use crate::decide::order::LeaseStatus;
use crate::decide::order::TAKEOVER_DELAY;
use crate::unit::Fence;

/// Acquires the lease and renews it until commands may be sent.
fn acquire(fence: u64, first: bool, now: Instant) -> (LeaseHolder<Active>, Instant) {
    let mut waiting = LeaseHolder::<Idle>::new().granted(Fence::new(fence), now, first, now);
    let mut time = now;
    loop {
        waiting.renewed(time);
        match waiting.status(time) {
            LeaseStatus::Active(mut holder) => {
                holder.renewed(time, time);
                return (holder, time);
            }
            LeaseStatus::Waiting(same) => waiting = same,
            LeaseStatus::Expired(_) => panic!("the lease expired although it was renewed"),
        }
        time += Duration::from_secs(1);
    }
}

/// An engine that ignores fencing numbers; each step runs for [`COMMAND_TIMEOUT`].
#[derive(Default)]
struct Engine {
    steps: Vec<(u64, Instant, Instant)>,
}

impl Engine {
    fn execute(&mut self, fence: Fence, now: Instant) {
        self.steps.push((fence.get(), now, now + COMMAND_TIMEOUT));
    }

    /// Whether steps of two holders overlapped, or an earlier holder's step followed a later one's.
    fn has_conflict(&self) -> bool {
        let mut sorted = self.steps.clone();
        sorted.sort_by_key(|&(_, start, _)| start);
        sorted
            .windows(2)
            .any(|pair| pair[0].0 != pair[1].0 && (pair[1].0 < pair[0].0 || pair[1].1 < pair[0].2))
    }
}

// Guards against a holder that is paused between two steps of a command and completes it after another VM has taken
// over the lease.
#[parameterized(
    before_the_second_step = { 1 },
    right_after_a_renewal = { 5 },
)]
fn a_paused_holder_sends_no_further_step(active_seconds: u64) {
    let start = Instant::now();
    let mut engine = Engine::default();
    let (mut old, mut now) = acquire(1, true, start);
    for _ in 0..active_seconds {
        now += Duration::from_secs(1);
        old.renewed(now, now);
    }
    engine.execute(old.permit(now).unwrap().fence, now);
    let paused = now;

    // The next holder is granted the lease at the earliest time the replicas allow.
    let (new, ready) = acquire(2, false, paused + LEASE_DURATION);
    assert!(ready >= paused + LEASE_DURATION + TAKEOVER_DELAY);
    engine.execute(new.permit(ready).unwrap().fence, ready);

    let woken = paused + Duration::from_secs(60);
    assert_eq!(old.permit(woken), None);
    old.renewed(woken, woken);
    assert_eq!(old.permit(woken), None, "an expired lease can't be renewed");
    assert!(matches!(old.status(woken), LeaseStatus::Expired(_)));
    assert!(!engine.has_conflict());
}

// Guards against overlapping commands when the next holder is granted the lease while the previous one still runs.
#[test]
fn the_takeover_delay_covers_a_running_lease() {
    let start = Instant::now();
    let mut engine = Engine::default();
    let (old, now) = acquire(1, true, start);
    let (new, ready) = acquire(2, false, now);
    let mut time = now;
    while let Some(permit) = old.permit(time) {
        engine.execute(permit.fence, time);
        time += Duration::from_millis(100);
    }
    engine.execute(new.permit(ready).unwrap().fence, ready);
    assert!(!engine.has_conflict());

    // Without the delay the commands overlap.
    let mut undelayed = Engine::default();
    undelayed.execute(Fence::new(2), now);
    undelayed.execute(
        old.permit(now + Duration::from_secs(1)).unwrap().fence,
        now + Duration::from_secs(1),
    );
    assert!(undelayed.has_conflict());
}

#[test]
fn no_command_ends_after_the_lease() {
    let now = Instant::now();
    let (holder, now) = acquire(1, true, now);
    let last = now + LEASE_DURATION - COMMAND_TIMEOUT;
    assert_eq!(holder.permit(last).unwrap().deadline, now + LEASE_DURATION);
    assert_eq!(holder.permit(last + Duration::from_millis(1)), None);
}
