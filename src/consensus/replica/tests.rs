//! Scenarios with a small group.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use yare::parameterized;

use super::*;
use crate::consensus::Change;
use crate::consensus::Entry;
use crate::consensus::Payload;
use crate::consensus::Phase;
use crate::consensus::Position;
use crate::consensus::Reason;
use crate::consensus::Role;
use crate::consensus::Snapshot;
use crate::unit::Round;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

fn id(number: u128) -> id::Replica {
    id::Replica::new(number)
}

/// A group whose messages and writes complete immediately.
struct Group {
    replicas: Vec<Replica>,
    /// Replicas isolated from all others.
    partitioned: BTreeSet<id::Replica>,
    now: Instant,
    outputs: Vec<(id::Replica, Output)>,
}

impl Group {
    fn new(members: &Members, configure: impl Fn(Config) -> Config) -> Self {
        let now = Instant::now();
        let replica = |(id, role)| {
            let config = configure(Config::new(id));
            let config = if role == Role::Witness { config.with_witness() } else { config };
            Replica::new(config, Restored::new(members.clone()), SmallRng::seed_from_u64(1), now)
        };
        let replicas = members.iter().map(replica).collect();
        Self { replicas, partitioned: BTreeSet::new(), now, outputs: Vec::new() }
    }

    /// A group led by the first replica.
    fn with_leader(members: &Members, configure: impl Fn(Config) -> Config) -> Self {
        let mut group = Self::new(members, configure);
        let term = group.replicas[0].term();
        group.input(
            1,
            Input::Receive { from: id(1), message: Message::new(term, Body::TimeoutNow) },
        );
        group.advance(HEARTBEAT_INTERVAL * 2);
        assert!(group.replica(1).is_leader());
        group
    }

    fn replica(&self, number: u128) -> &Replica {
        self.replicas.iter().find(|replica| replica.id() == id(number)).expect("a known number")
    }

    fn input(&mut self, number: u128, input: Input) {
        let mut inputs = vec![(id(number), input)];
        while !inputs.is_empty() {
            let (to, input) = inputs.remove(0);
            let Some(replica) = self.replicas.iter_mut().find(|replica| replica.id() == to) else {
                continue;
            };
            for output in replica.step(input, self.now) {
                match &output {
                    Output::Persist(write) => {
                        inputs.push((to, Input::Persisted { sequence: write.sequence }));
                    }
                    Output::Send { to: other, message }
                        if !self.partitioned.contains(&to) && !self.partitioned.contains(other) =>
                    {
                        inputs
                            .push((*other, Input::Receive { from: to, message: message.clone() }));
                    }
                    _ => {}
                }
                self.outputs.push((to, output));
            }
        }
    }

    fn propose(&mut self, number: u128, token: u64) {
        self.input(
            number,
            Input::Propose { data: Bytes::from_static(b"value"), token: Token::new(token) },
        );
    }

    /// Advances time in steps of a tenth of a heartbeat.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += HEARTBEAT_INTERVAL / 10;
            let due: Vec<u128> = self
                .replicas
                .iter()
                .filter(|r| r.deadline() <= self.now)
                .map(|r| r.id().get())
                .collect();
            due.into_iter().for_each(|number| self.input(number, Input::Tick));
        }
    }

    fn emitted(&self, number: u128, what: impl Fn(&Output) -> bool) -> bool {
        self.outputs.iter().any(|(at, output)| *at == id(number) && what(output))
    }

    fn leader(&self) -> u128 {
        let leads =
            |replica: &&Replica| replica.is_leader() && !self.partitioned.contains(&replica.id());
        self.replicas.iter().find(leads).expect("a leader").id().get()
    }
}

fn three_voters() -> Members {
    Members::new([id(1), id(2), id(3)])
}

/// Guards against callers waiting on an isolated leader: it must not commit or answer reads, and
/// must step down and reject them.
#[test]
fn a_leader_that_is_cut_off_answers_nothing_and_steps_down() {
    let mut group = Group::with_leader(&three_voters(), |config| config);
    group.partitioned.insert(id(1));
    let commit = group.replica(1).commit();
    group.propose(1, 1);
    group.input(1, Input::Read { token: Token::new(2) });
    group.advance(Duration::from_secs(4));
    assert!(!group.replica(1).is_leader() && group.replica(1).commit() == commit);
    assert!(!group.emitted(1, |output| matches!(output, Output::ReadReady { .. })));
    let refusal = Refusal::NotLeader { leader: None };
    assert!(
        group.emitted(1, |output| *output == Output::Rejected { token: Token::new(2), refusal })
    );
    assert_ne!(group.leader(), 1);
}

/// Guards against a partitioned follower that raises its term and deposes a working leader when it
/// returns.
#[test]
fn a_follower_that_was_cut_off_unseats_nobody() {
    let mut group = Group::with_leader(&three_voters(), |config| config);
    let term = group.replica(1).term();
    group.partitioned.insert(id(3));
    group.advance(Duration::from_secs(60));
    group.partitioned.clear();
    group.advance(Duration::from_secs(5));
    assert_eq!((group.leader(), group.replica(3).term()), (1, term));
}

#[test]
fn nothing_is_acknowledged_before_its_write_is_synced() {
    let now = Instant::now();
    let mut follower = Replica::new(
        Config::new(id(2)),
        Restored::new(three_voters()),
        SmallRng::seed_from_u64(1),
        now,
    );
    let entry = Entry::new(Position::new(Index::new(1), Term::new(1)), Payload::Empty);
    let body = Body::Append {
        previous: Position::default(),
        entries: vec![entry],
        commit: Index::new(1),
        round: Round::ZERO,
    };
    let outputs = follower
        .step(Input::Receive { from: id(1), message: Message::new(Term::new(1), body) }, now);
    let early = |output: &Output| matches!(output, Output::Send { .. } | Output::Apply(_));
    assert!(!outputs.iter().any(early));
    let outputs = follower.step(Input::Persisted { sequence: Sequence::new(1) }, now);
    assert_eq!(outputs.iter().filter(|output| early(output)).count(), 2);
}

/// Guards against sending a returning replica its whole backlog at once, which would delay
/// heartbeats.
#[test]
fn entries_in_flight_are_bounded() {
    let configure = |mut config: Config| {
        (config.in_flight_appends, config.append_bytes) = (4, 200);
        config
    };
    let mut group = Group::with_leader(&three_voters(), configure);
    group.partitioned.insert(id(3));
    (0..100).for_each(|token| group.propose(1, token));
    let sent = |group: &Group| {
        let entries = group.outputs.iter().filter_map(|(_, output)| match output {
            Output::Send { to, message: Message { body: Body::Append { entries, .. }, .. } }
                if *to == id(3) =>
            {
                Some(entries.len())
            }
            _ => None,
        });
        entries.sum::<usize>()
    };
    assert!(sent(&group) <= 8, "{} entries sent to a replica that answers nothing", sent(&group));
    group.partitioned.clear();
    group.advance(HEARTBEAT_INTERVAL * 5);
    assert_eq!(group.replica(3).log().last(), group.replica(1).log().last());
}

#[test]
fn a_full_log_refuses_at_once() {
    let mut group = Group::with_leader(&three_voters(), |mut config| {
        config.log_bytes = 500;
        config
    });
    group.partitioned.extend([id(2), id(3)]);
    (0..20).for_each(|token| group.propose(1, token));
    assert!(
        group.emitted(1, |output| matches!(
            output,
            Output::Rejected { refusal: Refusal::LogFull, .. }
        ))
    );
    assert!(group.replica(1).log().bytes() < 600);
}

/// Guards against waiting for an election timeout when the leader stops gracefully.
#[test]
fn a_leader_hands_over_without_an_election_timeout() {
    let mut group = Group::with_leader(&three_voters(), |config| config);
    group.propose(1, 1);
    group.input(1, Input::Transfer { to: None });
    assert_ne!(group.leader(), 1);
    assert_eq!(group.replicas.iter().filter(|replica| replica.is_leader()).count(), 1);
}

/// Guards against a group that stays degraded after losing a voter and stops with the next loss.
#[test]
fn a_dead_voter_is_replaced_by_a_learner() {
    let members = three_voters().with_member(id(4), Role::Learner);
    let mut group =
        Group::with_leader(&members, |config| config.with_replacement(Duration::from_secs(10), 3));
    group.partitioned.insert(id(2));
    group.advance(Duration::from_secs(9));
    assert!(group.replica(1).log().members().contains(id(2)));
    group.advance(Duration::from_secs(3));
    assert_eq!(*group.replica(1).log().members(), Members::new([id(1), id(3), id(4)]));
    group.partitioned.insert(id(3));
    group.propose(1, 1);
    assert_eq!(group.replica(1).commit(), group.replica(1).log().last().index);
}

/// Guards against a group bootstrapped with one voter that never becomes redundant without an
/// operator.
#[test]
fn one_voter_grows_to_three() {
    let members =
        Members::new([id(1)]).with_member(id(2), Role::Learner).with_member(id(3), Role::Learner);
    let mut group =
        Group::with_leader(&members, |config| config.with_replacement(Duration::from_secs(10), 3));
    group.advance(HEARTBEAT_INTERVAL * 5);
    assert_eq!(*group.replica(1).log().members(), three_voters());
}

fn seats(config: Config) -> Config {
    config.with_replacement(Duration::from_secs(3), 5)
}

fn five_voters() -> Members {
    Members::new((1..=5).map(id))
}

/// Guards against a planned stop that costs the group a loss which it could bear otherwise.
#[test]
fn a_voter_that_stops_is_replaced_without_a_missing_voter() {
    let mut group = Group::with_leader(&five_voters().with_member(id(6), Role::Learner), seats);
    group.input(1, Input::Release { id: id(2) });
    for _ in 0..5 {
        group.advance(HEARTBEAT_INTERVAL);
        assert!(group.replica(1).log().members().voters().count() >= 5);
    }
    assert_eq!(*group.replica(1).log().members(), Members::new([1, 3, 4, 5, 6].map(id)));
    assert_eq!(group.replica(1).repairs().last, Some((Change::Remove(id(2)), Reason::Stopping)));
}

/// Guards against removing a voter that stops where no learner can take its place, and against replacing it once it has
/// been restarted instead.
#[test]
fn a_voter_that_stops_without_a_successor_keeps_its_seat() {
    let mut group = Group::with_leader(&five_voters().with_member(id(6), Role::Learner), seats);
    group.partitioned.insert(id(6));
    group.advance(Duration::from_secs(2));
    group.input(1, Input::Release { id: id(2) });
    group.advance(HEARTBEAT_INTERVAL * 2);
    assert_eq!(group.replica(1).repairs().kept, Some(id(2)));
    group.advance(Duration::from_secs(6));
    group.partitioned.clear();
    group.input(1, Input::Change { change: Change::AddLearner(id(6)), token: Token::new(1) });
    group.advance(Duration::from_secs(2));
    let members = five_voters().with_member(id(6), Role::Learner);
    assert_eq!(*group.replica(1).log().members(), members);
}

/// Guards against a group that keeps a sixth voter, whose majority is larger, after a leader was lost between two changes.
#[test]
fn a_surplus_voter_is_removed() {
    let mut group = Group::with_leader(&five_voters().with_member(id(6), Role::Voter), seats);
    group.advance(HEARTBEAT_INTERVAL * 3);
    let members = group.replica(1).log().members();
    assert!(members.votes(id(1)) && members.voters().count() == 5, "{members:?}");
}

/// Guards against a group that stops with the loss of one region after its voters were replaced.
#[test]
fn voters_are_spread_over_regions_where_that_is_possible() {
    let mut group = Group::with_leader(&five_voters().with_member(id(6), Role::Learner), seats);
    let regions = [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b"), (6, "c")];
    let regions = regions.map(|(number, region)| (id(number), region.parse().expect("a name")));
    group.input(1, Input::Regions(regions.clone().into()));
    group.advance(Duration::from_secs(1));
    let members = group.replica(1).log().members().clone();
    assert!(members.votes(id(6)) && members.voters().count() == 5, "{members:?}");
    let in_a = regions[..3].iter().filter(|(id, _)| members.votes(*id)).count();
    assert_eq!(in_a, 2);
    group.advance(Duration::from_secs(10));
    assert_eq!(*group.replica(1).log().members(), members);
}

/// Guards against voters that are replaced again and again while a member comes and goes.
#[parameterized(
    five_seconds = { 5 },
    fifteen_seconds = { 15 },
    sixty_seconds = { 60 },
)]
fn a_region_that_comes_and_goes_costs_few_changes(cut_s: u64) {
    let members = five_voters().with_member(id(6), Role::Learner).with_member(id(7), Role::Learner);
    let mut group = Group::with_leader(&members, seats);
    let regions = [(1, "a"), (2, "a"), (3, "b"), (4, "b"), (5, "c"), (6, "a"), (7, "c")];
    let regions = regions.map(|(number, region)| (id(number), region.parse().expect("a name")));
    group.input(1, Input::Regions(regions.into()));
    for cut in 1..=3 {
        group.partitioned.extend([id(5), id(7)]);
        group.advance(Duration::from_secs(cut_s));
        group.partitioned.clear();
        for _ in 0..20 {
            group.advance(Duration::from_millis(500));
            let members = group.replica(1).log().members().clone();
            for back in [5, 7].map(id).into_iter().filter(|&id| !members.contains(id)) {
                let change = Change::AddLearner(back);
                group.input(1, Input::Change { change, token: Token::new(1) });
            }
        }
        let replica = group.replica(1);
        // For each cut: its voter goes, another comes, its learner goes; both come back, and one of them votes again.
        assert!(replica.repairs().count <= cut * 5, "{:?}", replica.repairs());
        let voters: Vec<_> = replica.log().members().voters().collect();
        assert!(voters.contains(&id(5)) || voters.contains(&id(7)), "{voters:?}");
        assert_eq!(voters.len(), 5);
    }
}

/// Guards against a member list that grows with each restart of a VM without a disk, which gets a
/// new identity each time.
#[test]
fn silent_learners_are_removed() {
    let members =
        three_voters().with_member(id(4), Role::Learner).with_member(id(5), Role::Learner);
    let mut group =
        Group::with_leader(&members, |config| config.with_replacement(Duration::from_secs(10), 3));
    group.partitioned.insert(id(4));
    group.advance(Duration::from_secs(12));
    assert_eq!(*group.replica(1).log().members(), three_voters().with_member(id(5), Role::Learner));
    let peers = group.replica(1).peers(group.now);
    assert!(peers.iter().all(|peer| peer.responsive && peer.silence <= HEARTBEAT_INTERVAL));
}

/// Guards against replacing a healthy voter after the leader itself was suspended.
#[test]
fn a_leader_that_stood_still_replaces_nobody() {
    let members = three_voters().with_member(id(4), Role::Learner);
    let mut group =
        Group::with_leader(&members, |config| config.with_replacement(Duration::from_secs(10), 3));
    group.now += Duration::from_secs(60);
    group.partitioned.insert(id(2));
    group.input(1, Input::Tick);
    group.advance(HEARTBEAT_INTERVAL * 3);
    group.partitioned.clear();
    group.advance(Duration::from_secs(5));
    assert!(group.replicas.iter().all(|replica| *replica.log().members() == members));
}

/// Guards against a witness that knows of an entry the remaining data voter lacks, and so refuses
/// to elect it. The witness gets an entry once the other data voter has it or has missed its
/// heartbeats.
#[test]
fn the_witness_gets_entries_once_the_other_data_voter_missed_its_heartbeats() {
    let members = Members::new([id(1), id(2)]).with_member(id(3), Role::Witness);
    let mut group = Group::with_leader(&members, |config| config);
    let commit = group.replica(1).commit();
    group.partitioned.insert(id(2));
    group.propose(1, 1);
    assert_eq!((group.replica(1).commit(), group.replica(3).log().last().index), (commit, commit));
    group.advance(HEARTBEAT_INTERVAL * 7);
    assert_eq!(
        (group.replica(1).commit(), group.replica(3).log().last().index),
        (commit.next(), commit.next())
    );
    let log = group.replica(3).log();
    assert_eq!(log.get(commit.next()).map(|entry| &entry.payload), Some(&Payload::Withheld));
}

#[test]
fn the_other_data_voter_and_the_witness_replace_a_lost_leader() {
    let members = Members::new([id(1), id(2)]).with_member(id(3), Role::Witness);
    let mut group = Group::with_leader(&members, |config| config);
    (0..10).for_each(|token| group.propose(1, token));
    let commit = group.replica(1).commit();
    group.partitioned.insert(id(1));
    group.advance(Duration::from_secs(5));
    assert_eq!(group.leader(), 2);
    group.propose(2, 11);
    assert!(group.replica(2).commit() > commit);
}

#[test]
fn a_change_waits_for_the_last_one() {
    let mut group = Group::with_leader(&three_voters(), |config| config);
    group.partitioned.extend([id(2), id(3)]);
    for learner in [4, 5] {
        group.input(
            1,
            Input::Change { change: Change::AddLearner(id(learner)), token: Token::new(1) },
        );
    }
    assert!(group.emitted(1, |output| matches!(
        output,
        Output::Rejected { refusal: Refusal::ChangePending, .. }
    )));
}

/// A snapshot that covers entries up to an index.
fn snapshot(index: u64) -> Snapshot {
    let position = Position::new(Index::new(index), Term::new(1));
    Snapshot { position, members: three_voters() }
}

// Guards against a copy that is begun anew only some time after its source was lost.
#[test]
fn the_next_offer_is_taken_once_a_copy_has_failed() {
    let now = Instant::now();
    let rng = SmallRng::seed_from_u64(1);
    let mut learner = Replica::new(Config::new(id(4)), Restored::default(), rng, now);
    let offer = |learner: &mut Replica, from, term| {
        let body = Body::Snapshot { snapshot: snapshot(10), round: Round::new(1) };
        let message = Message::new(Term::new(term), body);
        let outputs = learner.step(Input::Receive { from: id(from), message }, now);
        outputs.iter().find_map(|output| match output {
            Output::InstallSnapshot { from, .. } => Some(from.get()),
            _ => None,
        })
    };
    assert_eq!(offer(&mut learner, 1, 1), Some(1));
    assert_eq!(offer(&mut learner, 2, 2), None);
    learner.step(Input::SnapshotFailed, now);
    assert_eq!(offer(&mut learner, 2, 2), Some(2));
}

// Guards against copies without end: entries after a snapshot are dropped before it has been copied.
#[test]
fn entries_are_kept_for_a_member_that_copies_a_snapshot() {
    let configure = |config: Config| config.with_snapshot_entries(10);
    let mut group = Group::with_leader(&three_voters(), configure);
    let propose = |group: &mut Group, count: u64| {
        (0..count).for_each(|token| group.propose(1, token));
        let index = group.replica(1).applied();
        group.input(1, Input::SnapshotTaken { index });
        index
    };
    let offered = propose(&mut group, 30);
    let empty = Replica::new(
        configure(Config::new(id(4))),
        Restored::default(),
        SmallRng::seed_from_u64(1),
        group.now,
    );
    group.replicas.push(empty);
    let change = Change::AddLearner(id(4));
    group.input(1, Input::Change { change, token: Token::new(0) });
    let is_begun = |output: &Output| matches!(output, Output::InstallSnapshot { .. });
    assert!(group.emitted(4, is_begun), "the offer waits");
    for _ in 0..5 {
        propose(&mut group, 30);
        group.advance(HEARTBEAT_INTERVAL);
    }
    let members = three_voters();
    let position = Position::new(offered, group.replica(1).term());
    let snapshot = Snapshot { position, members };
    group.input(4, Input::SnapshotInstalled { snapshot });
    group.advance(HEARTBEAT_INTERVAL);
    assert_eq!(group.replica(4).commit(), group.replica(1).commit());
    // Once it holds them, they are dropped.
    let covered = propose(&mut group, 30);
    assert!(group.replica(1).log().first() > covered.saturating_sub(Index::new(10)));
}

#[test]
fn messages_round_trip_with_compact_data() {
    let data = Bytes::from(vec![255; 1000]);
    let entry = Entry::new(Position::new(Index::new(7), Term::new(3)), Payload::Data(data));
    let snapshot = Snapshot { position: entry.position, members: three_voters() };
    let append = Body::Append {
        previous: Position::default(),
        entries: vec![entry],
        commit: Index::new(7),
        round: Round::new(2),
    };
    for body in [append, Body::Snapshot { snapshot, round: Round::new(2) }] {
        let message = Message::new(Term::new(3), body);
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).expect("a message can be encoded");
        assert!(bytes.len() < 1200);
        let decoded: Message = ciborium::from_reader(&bytes[..]).expect("it can be decoded");
        assert_eq!(decoded, message);
    }
}

/// Guards against a due change that is refused at each heartbeat and shows nowhere.
#[test]
fn a_refused_repair_shows_until_it_is_made() {
    let mut group = Group::with_leader(&five_voters().with_member(id(6), Role::Learner), seats);
    group.partitioned.extend([3, 4, 5].map(id));
    group.advance(HEARTBEAT_INTERVAL * 7);
    assert_eq!(group.replica(1).repairs().refused, None);
    group.input(1, Input::Release { id: id(2) });
    group.advance(HEARTBEAT_INTERVAL);
    let refused = (Change::Promote(id(6)), Refusal::NoMajority);
    assert_eq!(group.replica(1).repairs().refused, Some(refused));
    group.partitioned.clear();
    group.advance(HEARTBEAT_INTERVAL * 5);
    assert_eq!(group.replica(1).repairs().refused, None);
    assert_eq!(group.replica(1).repairs().last, Some((Change::Remove(id(2)), Reason::Stopping)));
}

/// Guards against a replica that can't tell a leader that it lost from one that it never had.
#[test]
fn a_replica_tells_its_phase_and_its_last_contact() {
    let mut group = Group::with_leader(&three_voters(), |config| config);
    assert_eq!(group.replica(1).phase(), Phase::Leader);
    assert_eq!(group.replica(1).leader_contact(), None);
    let contact = group.replica(2).leader_contact().expect("a leader");
    assert!(group.now - contact <= HEARTBEAT_INTERVAL);
    group.partitioned.insert(id(2));
    group.advance(Duration::from_secs(4));
    let contact = group.replica(2).leader_contact().expect("it had a leader");
    assert!(group.now - contact >= Duration::from_secs(4));
    assert_eq!(group.replica(2).phase(), Phase::PreCandidate);
}
