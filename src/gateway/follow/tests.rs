use super::FALLBACK;
use super::Sources;

// Guards against serving an outdated document when both followed control VMs are on the minority
// side of a network partition.
#[test]
fn a_third_control_vm_is_followed_while_two_are_out_of_touch() {
    let mut sources = Sources::default();
    assert!(sources.record_freshness(0, true));
    assert!(!sources.needs(FALLBACK));
    assert!(sources.record_freshness(0, false));
    assert!(sources.record_freshness(1, false));
    assert!(sources.needs(FALLBACK) && sources.needs(0));
    assert!(
        !sources.record_freshness(FALLBACK, false),
        "one that is out of touch itself is left at once"
    );
    assert!(sources.record_freshness(FALLBACK, true));
    assert!(sources.record_freshness(1, true));
    assert!(!sources.record_freshness(FALLBACK, true));
    assert!(!sources.needs(FALLBACK));
}

// Guards against each routing state reaching each VM twice, and against waiting for a first source that lags.
#[test]
fn routing_states_come_from_the_first_source_while_it_is_up_to_date() {
    let mut sources = Sources::default();
    assert!(!sources.defers_routing(1));
    sources.record_freshness(0, true);
    assert!(sources.defers_routing(1) && sources.defers_routing(FALLBACK));
    assert!(!sources.defers_routing(0));
    sources.record_freshness(0, false);
    assert!(!sources.defers_routing(1));
}
