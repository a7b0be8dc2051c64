use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn digest(text: &str) -> Digest {
    Digest::of(&"entry".parse().expect("a name"), text.as_bytes())
}

fn upstream(number: usize) -> id::Upstream {
    format!("upstream-{number}").parse().expect("a name")
}

/// Runs these requests on an upstream until it crashes.
fn crash(
    quarantine: &mut Quarantine,
    number: usize,
    texts: &[&str],
    now: Instant,
    ran: Duration,
) -> Report {
    for text in texts {
        quarantine.started(digest(text), &upstream(number), now);
    }
    quarantine.crashed(&upstream(number), Incarnation::new(1), now + ran)
}

fn is_quarantined(quarantine: &mut Quarantine, text: &str, now: Instant) -> bool {
    matches!(quarantine.status(&digest(text), now), Status::Quarantined { .. })
}

#[test]
fn second_crash_quarantines_only_its_cause() {
    // Guards against quarantining requests that ran beside the one that crashes upstreams.
    let now = Instant::now();
    let mut quarantine = Quarantine::new(18);
    crash(&mut quarantine, 0, &["crasher", "a", "b", "c"], now, SECOND);
    assert_eq!(quarantine.status(&digest("a"), now), Status::Suspect { avoid: vec![upstream(0)] });
    let later = now + 5 * SECOND;
    crash(&mut quarantine, 1, &["crasher", "d", "e"], later, SECOND);
    assert!(matches!(
        quarantine.status(&digest("crasher"), later + SECOND),
        Status::Pending { .. }
    ));
    let later = later + 2 * SECOND;
    for text in ["a", "b", "c", "d", "e"] {
        assert!(!is_quarantined(&mut quarantine, text, later), "{text}");
    }
    assert!(is_quarantined(&mut quarantine, "crasher", later));
}

#[test]
fn suspects_run_on_separate_upstreams() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(18);
    crash(&mut quarantine, 0, &["a", "b"], now, SECOND);
    quarantine.started(digest("a"), &upstream(1), now);
    assert!(!quarantine.may_start(&digest("b"), &upstream(1)));
    assert!(quarantine.may_start(&digest("b"), &upstream(2)));
    assert!(quarantine.may_start(&digest("new"), &upstream(1)));
}

#[test]
fn unrelated_crashes_raise_the_number_required() {
    // Guards against quarantining an innocent request when many upstreams crash for other reasons.
    let now = Instant::now();
    let mut quarantine = Quarantine::new(18);
    for number in 0..7 {
        crash(&mut quarantine, number, &["other"], now + SECOND, SECOND);
    }
    crash(&mut quarantine, 7, &["briefing"], now, 30 * SECOND);
    crash(&mut quarantine, 8, &["briefing"], now + 31 * SECOND, 28 * SECOND);
    assert!(!is_quarantined(&mut quarantine, "briefing", now + 60 * SECOND));
}

#[test]
fn answer_clears_and_a_late_report_is_ignored() {
    let now = Instant::now();
    let (mut here, mut there) = (Quarantine::new(18), Quarantine::new(18));
    let crashes = crash(&mut here, 0, &["a"], now, SECOND);
    let later = now + 5 * SECOND;
    here.started(digest("a"), &upstream(1), later);
    let cleared = here.answered(&digest("a"), &upstream(1), later);
    there.merge(&crashes, now + SECOND);
    there.merge(&cleared, later);
    let mut old = crashes.clone();
    old.crashes[0].age = 4 * SECOND;
    there.merge(&old, later);
    for quarantine in [&mut here, &mut there] {
        assert_eq!(quarantine.status(&digest("a"), later), Status::Clear);
    }
}

#[test]
fn vms_of_a_region_combine_reports_and_quarantine_ends() {
    // Guards against missing the cause when each VM observes only one of its crashes.
    let now = Instant::now();
    let (mut here, mut there) = (Quarantine::new(18), Quarantine::new(18));
    let first = crash(&mut here, 0, &["crasher", "a"], now, SECOND);
    there.merge(&first, now + SECOND);
    let second = crash(&mut there, 1, &["crasher"], now + 2 * SECOND, SECOND / 2);
    here.merge(&second, now + 3 * SECOND);
    let mut fresh = Quarantine::new(18);
    fresh.merge(&here.report(now + 4 * SECOND), now + 4 * SECOND);
    for quarantine in [&mut here, &mut there, &mut fresh] {
        assert!(is_quarantined(quarantine, "crasher", now + 5 * SECOND));
        assert!(!is_quarantined(quarantine, "crasher", now + 2_000 * SECOND));
    }
}
