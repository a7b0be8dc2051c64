//! Who waits for whom: hot owners, long work among short, drafts with slack.

use std::time::Duration;

use crate::policy::Kind;
use crate::scenario::Scenario;
use crate::tally::Tally;
use crate::world;

fn tally(scenario: &Scenario, kind: Kind, group: &str) -> Tally {
    world::run(&scenario.setting, kind, scenario.seed).tally(group)
}

#[test]
fn hot_owner_makes_no_other_late() {
    // One owner asks for five times the capacity for a minute; twenty others ask for half of it together.
    // In arrival order all of them wait behind the hot owner.
    let scenario = Scenario::hot_owner();
    let others = tally(&scenario, Kind::Ours, "others");
    assert!(others.share_in_time() > 0.98, "{others:?}");
    assert!(tally(&scenario, Kind::Fifo, "others").share_in_time() < 0.5);
}

#[test]
fn briefings_hold_up_no_lookup() {
    // Briefings of half a minute take 70% of the slots, lookups of a second 20%.
    // In arrival order a few briefings that come together take every slot, and lookups time out meanwhile.
    let scenario = Scenario::long_among_short();
    let lookups = tally(&scenario, Kind::Ours, "lookups");
    assert!(lookups.share_in_time() > 0.98, "{lookups:?}");
    let briefings = tally(&scenario, Kind::Ours, "briefings");
    assert!(briefings.share_in_time() > 0.98, "{briefings:?}");
    assert!(tally(&scenario, Kind::Fifo, "lookups").share_in_time() < 0.7);
}

#[test]
fn drafts_yield_and_still_meet_their_deadline() {
    // A flood of drafts that are due in an hour arrives beside lookups and briefings.
    // In arrival order everything else waits for them; with strict priorities they might never run.
    let scenario = Scenario::drafts();
    let drafts = tally(&scenario, Kind::Ours, "drafts");
    assert!(drafts.share_in_time() > 0.99, "{drafts:?}");
    for group in ["lookups", "briefings"] {
        let others = tally(&scenario, Kind::Ours, group);
        assert!(others.share_in_time() > 0.98, "{group}: {others:?}");
    }
}

#[test]
fn steady_load_is_not_worse_off() {
    // Where nothing is short, the decisions must cost callers nothing.
    let scenario = Scenario::steady();
    let ours = tally(&scenario, Kind::Ours, "lookups");
    let naive = tally(&scenario, Kind::Fifo, "lookups");
    assert!(ours.in_time + 2 >= naive.in_time, "{ours:?} {naive:?}");
    let slower =
        |part| ours.quantile(part).zip(naive.quantile(part)).map(|(a, b)| a.saturating_sub(b));
    assert!(slower(0.99).is_some_and(|by| by < Duration::from_millis(200)));
}
