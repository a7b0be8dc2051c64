use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn digest(text: &str) -> Digest {
    Digest::of(&"entry".parse().expect("a name"), text.as_bytes())
}

fn upstream(number: usize) -> id::Upstream {
    format!("upstream-{number}").parse().expect("a name")
}

/// Runs these requests on an upstream for a while; then it dies.
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
    quarantine.died(&upstream(number), Incarnation::new(1), now + ran)
}

fn is_convicted(quarantine: &mut Quarantine, text: &str, now: Instant) -> bool {
    matches!(quarantine.standing(&digest(text), now), Standing::Convicted { .. })
}

#[test]
fn second_death_convicts_the_request_and_not_those_beside_it() {
    // A request kills an upstream with seven innocent ones on it; all eight are sent again, each apart from the others.
    // It kills the second upstream too, beside requests that are there for the first time.
    // It alone is refused from now on; the others are answered and cleared.
    let now = Instant::now();
    let mut quarantine = Quarantine::new(18);
    crash(&mut quarantine, 0, &["killer", "a", "b", "c"], now, SECOND);
    assert_eq!(
        quarantine.standing(&digest("a"), now),
        Standing::Suspect { avoid: vec![upstream(0)] }
    );
    let later = now + 5 * SECOND;
    crash(&mut quarantine, 1, &["killer", "d", "e"], later, SECOND);
    assert!(matches!(
        quarantine.standing(&digest("killer"), later + SECOND),
        Standing::Held { .. }
    ));
    let later = later + 2 * SECOND;
    for text in ["a", "b", "c", "d", "e"] {
        assert!(!is_convicted(&mut quarantine, text, later), "{text}");
    }
    assert!(is_convicted(&mut quarantine, "killer", later));
}

#[test]
fn suspects_run_apart() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(18);
    crash(&mut quarantine, 0, &["a", "b"], now, SECOND);
    quarantine.started(digest("a"), &upstream(1), now);
    assert!(!quarantine.may_start(&digest("b"), &upstream(1)));
    assert!(quarantine.may_start(&digest("b"), &upstream(2)));
    assert!(quarantine.may_start(&digest("new"), &upstream(1)));
}

#[test]
fn many_crashes_around_call_for_more_deaths() {
    // Nine of eighteen upstreams crash within a minute, for reasons of their own.
    // A briefing that ran for half a minute on two of them has just been unlucky.
    let now = Instant::now();
    let mut quarantine = Quarantine::new(18);
    for number in 0..7 {
        crash(&mut quarantine, number, &["other"], now + SECOND, SECOND);
    }
    crash(&mut quarantine, 7, &["briefing"], now, 30 * SECOND);
    crash(&mut quarantine, 8, &["briefing"], now + 31 * SECOND, 28 * SECOND);
    assert!(!is_convicted(&mut quarantine, "briefing", now + 60 * SECOND));
}

#[test]
fn answer_clears_and_a_late_report_charges_nothing_again() {
    let now = Instant::now();
    let (mut here, mut there) = (Quarantine::new(18), Quarantine::new(18));
    let charges = crash(&mut here, 0, &["a"], now, SECOND);
    let later = now + 5 * SECOND;
    here.started(digest("a"), &upstream(1), later);
    let cleared = here.answered(&digest("a"), &upstream(1), later);
    there.merge(&charges, now + SECOND);
    there.merge(&cleared, later);
    let mut old = charges.clone();
    old.charges[0].age = 4 * SECOND;
    there.merge(&old, later);
    for quarantine in [&mut here, &mut there] {
        assert_eq!(quarantine.standing(&digest("a"), later), Standing::Clear);
    }
}

#[test]
fn vms_of_a_region_convict_together_and_the_sentence_ends() {
    // The caller sends the request to another VM after its first death; each VM sees one death only.
    let now = Instant::now();
    let (mut here, mut there) = (Quarantine::new(18), Quarantine::new(18));
    let first = crash(&mut here, 0, &["killer", "a"], now, SECOND);
    there.merge(&first, now + SECOND);
    let second = crash(&mut there, 1, &["killer"], now + 2 * SECOND, SECOND / 2);
    here.merge(&second, now + 3 * SECOND);
    let mut fresh = Quarantine::new(18);
    fresh.merge(&here.report(now + 4 * SECOND), now + 4 * SECOND);
    for quarantine in [&mut here, &mut there, &mut fresh] {
        assert!(is_convicted(quarantine, "killer", now + 5 * SECOND));
        assert!(!is_convicted(quarantine, "killer", now + 2_000 * SECOND));
    }
}
