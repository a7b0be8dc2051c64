//! Model checking of `masticstream::consensus`: each test explores all orders of events within its bounds, by
//! the real `Replica`. `cargo test --test model -- --nocapture` prints states and seconds.

mod models;

use masticstream::consensus::Change;
use masticstream::consensus::fault::Fault;
use masticstream::id;
use models::Bounds;
use models::Explorer;
use models::Group;
use models::Report;
use models::world::replica;

/// All states within the bounds keep the invariants.
fn holds(name: &str, report: &Report) {
    println!("{name}: {report}");
    assert!(report.violation.is_none(), "{name}: {report}");
}

/// All that can follow once the first replica leads keeps the invariants.
fn holds_once_led(name: &str, group: Group, bounds: Bounds) {
    holds(name, &Explorer::new(group).explore_led(bounds));
}

/// The check finds the planted fault, and for this reason.
fn finds(fault: Fault, reason: &str, group: Group, bounds: Bounds) {
    let explorer = Explorer::new(Group { fault: Some(fault), ..group });
    // A witness counted too early shows with the first entry.
    let report = match fault {
        Fault::EarlyWitness => explorer.explore(bounds),
        _ => explorer.explore_led(bounds),
    };
    println!("{fault:?}: {report}");
    let found = report.violation.is_some_and(|violation| violation.contains(reason));
    assert!(found, "{fault:?} was not found to cause: {reason}");
}

fn standing(numbers: &[u128]) -> Vec<id::Replica> {
    numbers.iter().copied().map(replica).collect()
}

fn with_witness() -> Group {
    Group { witness: true, ..Group::new(2) }
}

/// What a leader does to put the newcomer of a lost folder in the place of a voter.
fn replacement(voter: u128) -> Vec<Change> {
    let newcomer = replica(101);
    vec![Change::Remove(replica(voter)), Change::AddLearner(newcomer), Change::Promote(newcomer)]
}

/// Within these bounds the planted fault `CommitEarlierTerm` loses an entry.
fn earlier_terms() -> (Group, Bounds) {
    let group = Group { split: true, ..Group::new(3) };
    let once = Bounds { proposals: 1, heartbeats: 1, crashes: 1, duplicates: 1, ..Bounds::NONE };
    (group, Bounds { elections: 3, standing: standing(&[3, 1, 3]), cut: vec![(1, 3)], ..once })
}

/// Within these bounds the planted fault `EarlyChange` loses an entry.
fn changes_by_two_leaders() -> (Group, Bounds) {
    let group = Group { learners: 1, ..Group::new(4) };
    let changes = vec![Change::Promote(replica(5)), Change::Remove(replica(1))];
    let cut = vec![(1, 2), (1, 3)];
    (group, Bounds { elections: 2, standing: standing(&[2, 1]), cut, changes, ..Bounds::NONE })
}

#[test]
fn elections() {
    let bounds =
        Bounds { elections: 3, standing: standing(&[1, 2, 3]), crashes: 1, ..Bounds::NONE };
    holds("elections", &Explorer::new(Group::new(3)).explore(bounds));
}

#[test]
fn pre_votes() {
    let group = Group { pre_votes: true, ..Group::new(3) };
    let bounds = Bounds { elections: 2, heartbeats: 1, duplicates: 1, ..Bounds::NONE };
    holds_once_led("pre-votes", group, bounds);
}

#[test]
fn entries() {
    let bounds = Bounds { elections: 2, proposals: 1, ..Bounds::NONE };
    holds_once_led("entries", Group::new(3), bounds);
}

#[test]
fn duplicates() {
    let bounds = Bounds { elections: 1, proposals: 1, duplicates: 1, crashes: 1, ..Bounds::NONE };
    holds_once_led("duplicates", Group::new(3), bounds);
}

#[test]
fn entries_of_earlier_terms() {
    let (group, bounds) = earlier_terms();
    holds_once_led("earlier terms", group, bounds);
}

#[test]
fn unsynced_entries() {
    let group = Group { synced: false, ..Group::new(3) };
    let bounds = Bounds { elections: 1, proposals: 1, crashes: 2, ..Bounds::NONE };
    holds_once_led("unsynced", group, bounds);
}

#[test]
fn unsynced_votes() {
    let group = Group { synced: false, ..Group::new(3) };
    let bounds = Bounds { elections: 2, standing: standing(&[2, 3]), crashes: 1, ..Bounds::NONE };
    holds_once_led("unsynced votes", group, bounds);
}

#[test]
fn members() {
    let group = Group { learners: 1, ..Group::new(3) };
    let changes = vec![Change::Promote(replica(4)), Change::Remove(replica(1))];
    let bounds = Bounds { elections: 1, changes, ..Bounds::NONE };
    holds_once_led("members", group, bounds);
}

#[test]
fn members_under_two_leaders() {
    let (group, bounds) = changes_by_two_leaders();
    holds_once_led("members under two leaders", group, bounds);
}

#[test]
fn a_lost_folder() {
    let changes = replacement(3);
    let bounds = Bounds {
        elections: 2,
        standing: standing(&[2, 1]),
        lost_folders: 1,
        changes,
        ..Bounds::NONE
    };
    holds_once_led("lost folder", Group::new(3), bounds);
}

#[test]
fn a_lost_folder_beside_a_witness() {
    let bounds = Bounds {
        elections: 1,
        lost_folders: 1,
        silences: 1,
        changes: replacement(2),
        ..Bounds::NONE
    };
    holds_once_led("lost folder beside a witness", with_witness(), bounds);
}

#[test]
fn a_witness() {
    let once = Bounds { proposals: 1, silences: 1, ..Bounds::NONE };
    let bounds = Bounds { elections: 2, standing: standing(&[2, 1]), ..once };
    holds_once_led("witness", with_witness(), bounds);
}

#[test]
fn a_witness_and_a_crash() {
    let bounds = Bounds { elections: 1, proposals: 1, silences: 1, crashes: 1, ..Bounds::NONE };
    holds_once_led("witness and a crash", with_witness(), bounds);
}

#[test]
fn reads() {
    let bounds = Bounds { elections: 1, proposals: 1, reads: 1, ..Bounds::NONE };
    holds_once_led("reads", Group::new(3), bounds);
}

#[test]
fn snapshots() {
    let bounds = Bounds { elections: 1, proposals: 1, snapshots: 1, heartbeats: 1, ..Bounds::NONE };
    holds_once_led("snapshots", Group::new(3), bounds);
}

#[test]
fn finds_a_skipped_own_term_rule() {
    let (group, bounds) = earlier_terms();
    finds(Fault::CommitEarlierTerm, "lacks", group, bounds);
}

#[test]
fn finds_a_change_before_the_own_term() {
    let (group, bounds) = changes_by_two_leaders();
    finds(Fault::EarlyChange, "lacks", group, bounds);
}

#[test]
fn finds_an_amnesiac_vote() {
    let bounds = Bounds { elections: 1, lost_folders: 1, ..Bounds::NONE };
    finds(Fault::VoteWithoutMembers, "old identity", Group::new(3), bounds);
}

#[test]
fn finds_a_counted_learner() {
    let group = Group { learners: 1, ..Group::new(3) };
    finds(
        Fault::CountLearner,
        "lacks",
        group,
        Bounds { elections: 1, proposals: 1, ..Bounds::NONE },
    );
}

#[test]
fn finds_a_counted_unsynced_entry() {
    let group = Group { synced: false, ..Group::new(3) };
    finds(
        Fault::CountUnsynced,
        "lacks",
        group,
        Bounds { elections: 1, proposals: 1, crashes: 1, ..Bounds::NONE },
    );
}

#[test]
fn finds_a_witness_counted_too_early() {
    finds(
        Fault::EarlyWitness,
        "by the witness",
        with_witness(),
        Bounds { elections: 1, ..Bounds::NONE },
    );
}

#[test]
fn finds_data_on_the_witness() {
    finds(
        Fault::DataToWitness,
        "data sent to the witness",
        with_witness(),
        Bounds { proposals: 1, ..Bounds::NONE },
    );
}

#[test]
fn finds_a_second_vote() {
    finds(Fault::VoteTwice, "two leaders", Group::new(3), Bounds { elections: 2, ..Bounds::NONE });
}

#[test]
fn finds_a_vote_for_a_stale_log() {
    finds(
        Fault::VoteForStale,
        "lacks",
        Group::new(3),
        Bounds { elections: 1, proposals: 1, ..Bounds::NONE },
    );
}

#[test]
fn finds_an_unconfirmed_read() {
    finds(
        Fault::UnconfirmedRead,
        "read at",
        Group::new(3),
        Bounds { elections: 1, reads: 1, ..Bounds::NONE },
    );
}

/// A caller reads an old value after a change was accepted. A leader crashes and is elected again; a follower answers
/// an append of its former term, and by then is in the new one. The answer's round, counted in the former term, was
/// taken for one of the new term, and confirmed reads that no majority had confirmed.
#[test]
fn reads_across_terms() {
    let once =
        Bounds { proposals: 1, reads: 1, crashes: 1, crashing: standing(&[1]), ..Bounds::NONE };
    let bounds = Bounds { elections: 2, standing: standing(&[1, 2]), cut: vec![(1, 3)], ..once };
    holds_once_led("reads across terms", Group::new(3), bounds);
}

/// Data leaves its region. A witness elsewhere lost its folder, and was taken in again as a learner by mistake: the
/// leader sent it entries with their data. A learner gets none before it said that it is no witness.
#[test]
fn a_witness_taken_for_a_learner() {
    let bounds = Bounds { proposals: 1, lost_folders: 1, changes: replacement(3), ..Bounds::NONE };
    holds_once_led("witness taken for a learner", with_witness(), bounds);
}
