use std::time::Duration;

use tokio::time::Instant;
use yare::parameterized;

use super::Latest;
use super::Notice;
use super::Pace;
use crate::decide::sharing::Key;

fn percent(percent: f64) -> Pace {
    Pace::from_percent(percent).unwrap()
}

fn key() -> Key {
    Key::new(&"u".parse().unwrap(), 1)
}

/// The duration of work that usually takes `seconds`, in small steps.
fn stepped(pace: Pace, seconds: f64) -> f64 {
    const STEP: f64 = 1e-5;
    let (mut done, mut elapsed) = (0.0, 0.0);
    while done < seconds {
        done += STEP / pace.after(Duration::from_secs_f64(elapsed)).factor();
        elapsed += STEP;
    }
    elapsed
}

// Guards against a closed form that differs from the sum over a pace which decays.
#[parameterized(
    short = { 250.0, 0.02 },
    request = { 250.0, 0.06 },
    queue = { 250.0, 0.7 },
    stream = { 250.0, 4.0 },
    very_slow = { 2000.0, 0.3 },
    faster = { 40.0, 0.3 },
    fastest = { 10.0, 2.0 },
)]
fn work_takes_as_long_as_at_a_pace_that_decays(stated: f64, seconds: f64) {
    let pace = percent(stated);
    let (expected, found) = (stepped(pace, seconds), pace.duration(seconds));
    assert!((found - expected).abs() < 0.01 * expected + 1e-4, "{found} for {expected}");
    assert!((pace.mean_factor(seconds) * seconds - found).abs() < 1e-9);
    // A measured duration yields the usual one at which it was expected, where the pace has hardly changed.
    if seconds < 0.05 {
        let usual = pace.usual_duration(Duration::from_secs_f64(found)).as_secs_f64();
        assert!((usual - seconds).abs() < 0.1 * seconds, "{usual} for {seconds}");
    }
}

// Guards against decisions that change although no upstream states a pace.
#[test]
fn the_usual_pace_changes_nothing() {
    let stated = percent(100.0).after(Duration::from_millis(123));
    for pace in [Pace::USUAL, stated, Latest::default().pace(Instant::now())] {
        for seconds in [0.0, 1e-9, 0.06, 1.0 / 3.0, 1e6] {
            assert_eq!(pace.duration(seconds).to_bits(), seconds.to_bits());
            assert_eq!(pace.mean_factor(seconds).to_bits(), 1.0_f64.to_bits());
        }
        for nanos in [0, 1, 333_333_333, u64::MAX] {
            let elapsed = Duration::from_nanos(nanos);
            assert_eq!(pace.usual_duration(elapsed), elapsed);
        }
    }
}

// Guards against estimates that are not finite, or negative, which would make an upstream the cheapest.
#[test]
fn extreme_work_has_a_duration() {
    for stated in [10.0, 99.9, 250.0, 2000.0] {
        for seconds in [0.0, 1e-12, 1e3, 1e12] {
            let found = percent(stated).duration(seconds);
            assert!(found.is_finite() && found >= 0.0, "{stated} {seconds}: {found}");
        }
        for elapsed in [Duration::ZERO, Duration::from_nanos(1), Duration::from_secs(100_000)] {
            let usual = percent(stated).usual_duration(elapsed);
            assert!(usual <= elapsed * 10 + Duration::from_secs(1), "{stated}: {usual:?}");
        }
    }
}

// Guards against a figure that is no pace and makes an upstream look free, or lost.
#[parameterized(
    zero = { "0" },
    negative = { "-100" },
    too_low = { "9.9" },
    too_high = { "2001" },
    not_a_number = { "NaN" },
    infinite = { "inf" },
    text = { "fast" },
    empty = { "" },
)]
fn what_is_no_pace_is_not_read(text: &str) {
    assert!(text.parse::<Pace>().is_err());
}

#[test]
fn a_pace_is_read_and_shown_in_percent() {
    for text in ["10", "100", "250", "2000"] {
        assert_eq!(text.parse::<Pace>().unwrap().to_string(), text);
    }
}

// Guards against a slow phase that counts for seconds after it has ended because no later response arrives.
#[tokio::test(start_paused = true)]
async fn an_observation_decays() {
    let start = Instant::now();
    let mut latest = Latest::default();
    latest.record(percent(250.0), start);
    let factor = |millis| latest.pace(start + Duration::from_millis(millis)).factor();
    assert!((factor(0) - 2.5).abs() < 1e-9);
    assert!((factor(400) - (1.0 + 1.5 / std::f64::consts::E)).abs() < 1e-9);
    assert!(factor(3000) < 1.001);
}

// Guards against an older report that replaces a later one, since messages are delayed and reordered.
#[tokio::test(start_paused = true)]
async fn the_latest_observation_counts() {
    let now = Instant::now() + Duration::from_secs(10);
    let notice = |percent, millis| {
        let age = Duration::from_millis(millis);
        Notice { upstream: key(), percent, age }
    };
    let mut latest = Latest::default();
    latest.record(percent(100.0), now - Duration::from_millis(100));
    latest.apply_notice(&notice(250, 200), now);
    assert_eq!(latest.pace(now), Pace::USUAL);
    latest.apply_notice(&notice(250, 50), now);
    assert!(latest.pace(now).factor() > 2.0);
    latest.apply_notice(&notice(0, 10), now);
    latest.apply_notice(&notice(300_000, 10), now);
    assert!(latest.pace(now).factor() > 2.0, "implausible ones are ignored");
    latest.record(percent(100.0), now);
    assert_eq!(latest.pace(now), Pace::USUAL);
    let mut latest = Latest::default();
    latest.apply_notice(&notice(250, 1000), now);
    assert_eq!(latest.pace(now), Pace::USUAL, "too old");
}

// Guards against messages that grow without need: other VMs' observations are not repeated, nor the usual pace.
#[tokio::test(start_paused = true)]
async fn other_vms_are_told_of_own_unusual_paces() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut latest = Latest::default();
    assert_eq!(latest.notice(key(), now), None);
    latest.record(percent(109.0), now);
    assert_eq!(latest.notice(key(), now), None);
    latest.record(percent(250.0), now);
    let later = now + Duration::from_millis(300);
    let notice = latest.notice(key(), later).unwrap();
    assert_eq!((notice.percent, notice.age), (250, Duration::from_millis(300)));
    assert_eq!(latest.notice(key(), now + Duration::from_secs(1)), None);
    let other = Notice { age: Duration::from_millis(100), ..notice };
    latest.apply_notice(&other, later);
    assert_eq!(latest.notice(key(), later), None);
}

// Guards against sums that depend on the order in which updates arrive.
#[test]
fn the_later_of_two_notices_is_kept_in_any_order() {
    let notice = |percent, millis| {
        let age = Duration::from_millis(millis);
        Notice { upstream: key(), percent, age }
    };
    let notices = [notice(250, 10), notice(100, 10), notice(250, 20), notice(40, 5)];
    for one in notices {
        for two in notices {
            assert_eq!(one.merge(two), two.merge(one));
            for three in notices {
                assert_eq!(one.merge(two).merge(three), one.merge(two.merge(three)));
            }
        }
    }
}
