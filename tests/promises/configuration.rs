//! An accepted change is in force everywhere within seconds and never reverts.

use std::sync::Arc;
use std::time::Duration;

use masticstream::catalogue::Change;
use masticstream::catalogue::Edit;
use masticstream::catalogue::Reply;
use masticstream::id;
use masticstream::settings;
use masticstream::unit::Version;
use tokio::time;
use tokio::time::Instant;

use crate::LOOKUP;
use crate::support::Local;

fn edit(deadline: &str) -> Edit {
    let text = LOOKUP.replace("deadline: 20s", &format!("deadline: {deadline}"));
    Edit::Put(Arc::new(settings::entry::parse("entry.yaml", &text).unwrap()))
}

#[tokio::test]
async fn a_change_is_in_force_in_all_regions_within_three_seconds() {
    let mut site = Local::start(&["a@gulf", "b@gulf", "c@delta", "d@piedmont"]).await;
    site.put(LOOKUP).await;
    let begun = Instant::now();
    let Reply::Accepted { version } = site.change(edit("9s")).await else { panic!("refused") };
    site.in_force(version).await;
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}

// Two operators change the same entry at the same time, each on the version that both saw, through different VMs.
// One of them wins; the other is told so and sees the winner. Then the winner's answer was lost, and it sends its
// change again: it gets its first answer, and nothing changes.
#[tokio::test]
async fn operators_who_race_get_one_winner_and_resends_the_first_answer() {
    let mut site = Local::start(&["a@gulf", "b@gulf", "c@gulf"]).await;
    let seen = site.put(LOOKUP).await;
    let one = Change::new(id::Operation::new(1001), seen, edit("5s"));
    let two = Change::new(id::Operation::new(1002), seen, edit("6s"));
    let (a, b) = (site.hub("a").clone(), site.hub("b").clone());
    let (first, second) = tokio::join!(a.change(&one), b.change(&two));
    let (first, second) = (first.unwrap(), second.unwrap());
    let accepted = |reply: &Reply| matches!(reply, Reply::Accepted { .. });
    assert!(accepted(&first) != accepted(&second), "{first:?} {second:?}");
    let (winner, reply) = if accepted(&first) { (one, first) } else { (two, second) };
    assert_eq!(site.hub("c").change(&winner).await.unwrap(), reply);
}

// Hundreds of changes, then every control VM is killed and comes back. All that was accepted is there, and no
// entry VM has stepped back meanwhile.
#[tokio::test]
async fn accepted_changes_outlast_the_loss_of_all_control_vms() {
    let mut site = Local::start(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(LOOKUP).await;
    let mut last = Version::ZERO;
    for number in 0..200 {
        let reply = site.change(edit(&format!("{}s", number + 1))).await;
        let Reply::Accepted { version } = reply else { panic!("{reply:?}") };
        assert!(version > last);
        last = version;
        site.hub_has("a", version).await;
    }
    for vm in ["a", "b", "c"] {
        site.crash_control(vm);
    }
    for vm in ["a", "b", "c"] {
        site.start_control(vm).await;
    }
    let Reply::Accepted { version } = site.change(edit("777s")).await else { panic!("refused") };
    assert_eq!(version, last.next());
    site.in_force(version).await;
}

// A control VM loses its disk and comes back empty; as soon as it has caught up, another one loses its own. What
// was accepted before must still be there: the repaired one counts as a newcomer until it has everything.
#[tokio::test]
async fn a_second_vm_lost_right_after_a_repair_loses_nothing() {
    let mut site = Local::start(&["a@gulf", "b@gulf", "c@gulf"]).await;
    let first = site.put(LOOKUP).await;
    site.crash_control("a");
    site.lose_folder("a");
    site.start_control("a").await;
    site.caught_up("a").await;
    site.crash_control("b");
    let Reply::Accepted { version } = site.change(edit("11s")).await else { panic!("refused") };
    assert_eq!(version, first.next());
    site.in_force(version).await;
}

// An entry VM is down while the catalogue changes, and comes back when no control VM can be reached any more. It
// gets the newest catalogue from its neighbour.
#[tokio::test]
async fn a_returning_vm_is_brought_up_by_its_neighbour() {
    let mut site = Local::start(&["a@gulf", "b@gulf"]).await;
    site.put(LOOKUP).await;
    site.crash_entry("b");
    let Reply::Accepted { version } = site.change(edit("7s")).await else { panic!("refused") };
    site.hub_has("a", version).await;
    site.crash_control("a");
    site.crash_control("b");
    site.start_entry("b").await;
    let until = Instant::now() + crate::support::site::PATIENCE;
    while site.hub("b").version() < version {
        assert!(Instant::now() < until, "b has version {}", site.hub("b").version());
        time::sleep(Duration::from_millis(20)).await;
    }
}

// Nothing reaches one VM any more, though it can still send: a one-way cut, which it does not notice by itself. The
// others go on to accept changes. It neither leads nor stops them, whatever it asks for; and when the cut ends it
// catches up without ever having stepped back.
#[tokio::test]
async fn a_vm_that_is_cut_off_one_way_does_no_harm_and_catches_up() {
    let mut site = Local::start_behind_proxies(&["a@gulf", "b@gulf", "c@gulf"]).await;
    site.put(LOOKUP).await;
    for round in 0..2 {
        let before = site.hub("c").version();
        site.cut_off("c", true);
        let mut last = before;
        for number in 0..10 {
            let reply = site.change(edit(&format!("{}s", 10 * round + number + 2))).await;
            let Reply::Accepted { version } = reply else { panic!("{reply:?}") };
            last = version;
            site.hub_has("a", version).await;
            assert!(site.hub("c").version() >= before);
        }
        time::sleep(Duration::from_secs(3)).await;
        site.cut_off("c", false);
        site.in_force(last).await;
        site.caught_up("c").await;
    }
}
