use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Credit;
use super::FULL_TTL;
use super::PROBES;
use super::ROUND_TRIP;
use super::Room;

/// Lets each of the VMs send as much as it may, and returns the number of requests.
fn send_all(credits: &mut [Credit], has_outlook: bool, rng: &mut SmallRng, now: Instant) -> u32 {
    let vms = credits.len() as u32;
    let mut sent = 0;
    for credit in credits {
        while sent < 10_000 && credit.permits(vms, has_outlook, rng.random(), now) {
            credit.record_sent(now);
            sent += 1;
        }
    }
    sent
}

fn credits(vms: usize) -> Vec<Credit> {
    (0..vms).map(|_| Credit::default()).collect()
}

// Guards against the VMs of a region that fill another region together, at any number of VMs.
#[tokio::test(start_paused = true)]
async fn all_vms_together_use_about_the_reported_room() {
    let (mut rng, now) = (SmallRng::seed_from_u64(3), Instant::now());
    for vms in [1, 2, 6, 26, 80, 985] {
        let mut credits = credits(vms);
        credits.iter_mut().for_each(|credit| credit.record_room(Room { places: 60, at: now }));
        let sent = send_all(&mut credits, true, &mut rng, now);
        assert!((40..=80).contains(&sent), "{sent} by {vms} VMs");
    }
}

// Guards against all VMs that probe a region of which nothing is known at the same moment.
#[tokio::test(start_paused = true)]
async fn an_unknown_region_gets_a_few_requests() {
    let (mut rng, now) = (SmallRng::seed_from_u64(4), Instant::now());
    for vms in [1, 2, 6, 26, 80, 985] {
        let sent = send_all(&mut credits(vms), false, &mut rng, now);
        assert!((1..=3 * PROBES).contains(&sent), "{sent} by {vms} VMs");
    }
}

// Guards against a report that renews the credit for requests which it does not include, since they were on their way.
#[tokio::test(start_paused = true)]
async fn a_report_does_not_include_requests_on_their_way() {
    let now = Instant::now();
    let mut credit = Credit::default();
    credit.record_room(Room { places: 2, at: now });
    assert!(credit.permits(1, true, 0.0, now));
    credit.record_sent(now);
    credit.record_sent(now);
    assert!(!credit.permits(1, true, 0.0, now));
    let soon = now + ROUND_TRIP / 2;
    credit.record_room(Room { places: 2, at: soon });
    assert!(!credit.permits(1, true, 0.0, soon), "they have not arrived");
    let later = now + ROUND_TRIP;
    credit.record_room(Room { places: 1, at: later });
    assert!(credit.permits(1, true, 0.0, later), "the room is reported beside them");
    credit.record_sent(later);
    assert!(!credit.permits(1, true, 0.0, later));
    credit.record_end(later);
    assert!(credit.permits(1, true, 0.0, later), "it has ended");
}

// Guards against requests to a region that has just reported that it is full, and against a region that is avoided for
// longer, or that all VMs return to at once.
#[tokio::test(start_paused = true)]
async fn a_full_region_gets_nothing_and_then_a_few() {
    let (mut rng, now) = (SmallRng::seed_from_u64(5), Instant::now());
    let mut credits = credits(26);
    credits.iter_mut().for_each(|credit| credit.record_room(Room { places: 0, at: now }));
    assert_eq!(send_all(&mut credits, true, &mut rng, now), 0);
    let later = now + FULL_TTL;
    let sent = send_all(&mut credits, true, &mut rng, later);
    assert!((1..=3 * PROBES).contains(&sent), "{sent}");
    let old = Room { places: 60, at: now - Duration::from_millis(1) };
    credits[0].record_room(old);
    assert_eq!(credits[0].room(now).map(|room| room.places), Some(0), "it is older");
}
