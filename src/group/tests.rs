pub(crate) mod cluster;
mod observed;
mod storm;

use std::collections::BTreeSet;
use std::time::Duration;

use futures::future::join_all;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use self::cluster::Cluster;
use super::Config;
use super::Driver;
use super::Error;
use super::Group;
use super::Message;
use super::Stopped;
use crate::consensus;
use crate::consensus::Body;
use crate::consensus::Entry;
use crate::consensus::Members;
use crate::consensus::Payload;
use crate::consensus::Position;
use crate::consensus::Refusal;
use crate::consensus::Snapshot;
use crate::id;
use crate::ledger::Command;
use crate::ledger::Digest;
use crate::ledger::Ledger;
use crate::ledger::Limits;
use crate::ledger::Reply;
use crate::ledger::Start;
use crate::store::Disk;
use crate::store::Memory;
use crate::store::Storage;
use crate::store::tests::faulty::Fault;
use crate::store::tests::faulty::Loss;
use crate::unit::Incarnation;
use crate::unit::Index;
use crate::unit::Round;
use crate::unit::Term;
use crate::unit::Version;

/// What is enough for a few heartbeats and syncs.
const SETTLED: Duration = Duration::from_secs(5);

pub(super) fn start(key: u64, attempt: u128) -> Start {
    Start {
        owner: "prehod".parse().expect("an owner"),
        entry: "drafts".parse().expect("an entry"),
        key: format!("key-{key}").parse().expect("a key"),
        body: Digest::new([1; 16]),
        attempt: id::Attempt::new(attempt),
        vm: "vm0".parse().expect("a VM"),
        incarnation: Incarnation::new(1),
        home_since: Version::new(1),
    }
}

fn claim(key: u64, attempt: u128) -> Command {
    Command::Start(start(key, attempt))
}

async fn len(cluster: &Cluster<Ledger>, number: usize) -> usize {
    cluster.group(number).peek(Ledger::len).await.expect("runs")
}

#[tokio::test(start_paused = true)]
async fn commands_are_carried_out_on_all_replicas() {
    let cluster = Cluster::<Ledger>::new(3, false, 1000);
    assert_eq!(cluster.propose(|| claim(1, 1)).await, Ok(Reply::Granted));
    sleep(SETTLED).await;
    for number in 0..3 {
        assert_eq!(len(&cluster, number).await, 1);
    }
    let leader = cluster.leader().await;
    let follower = (0..3).find(|number| *number != leader).expect("a follower");
    let refused = cluster.group(follower).propose(claim(2, 2)).await;
    let leader = Some(cluster.ids[leader]);
    assert_eq!(refused, Err(Error::Refused(Refusal::NotLeader { leader })));
}

#[tokio::test(start_paused = true)]
async fn commands_that_come_together_share_entries() {
    let cluster = Cluster::<Ledger>::new(3, false, 10_000);
    let leader = cluster.group(cluster.leader().await);
    let before = leader.status().commit;
    let claims = (0..200).map(|key| leader.propose(claim(key, u128::from(key))));
    let replies = join_all(claims).await;
    assert!(replies.iter().all(|reply| *reply == Ok(Reply::Granted)));
    let entries = leader.status().commit.saturating_sub(before);
    assert!(entries < Index::new(50), "{entries} entries for 200 commands");
}

#[tokio::test(start_paused = true)]
async fn leader_that_is_cut_off_neither_accepts_nor_answers() {
    // The leader is cut off silently. A claim that it took has an unknown outcome for its caller, and is told so
    // within seconds; a read isn't answered from its old state. The others elect another leader and grant the key
    // once. Back in touch, the old leader takes over what they decided.
    let cluster = Cluster::<Ledger>::new(3, false, 1000);
    let old = cluster.leader().await;
    let group = cluster.group(old);
    cluster.cut(old, true);
    let outcome = timeout(SETTLED, group.propose(claim(1, 1))).await.expect("answered in time");
    assert_eq!(outcome, Err(Error::Unknown));
    let read = timeout(SETTLED, group.read(Ledger::len)).await.expect("answered in time");
    assert!(matches!(read, Err(Error::Refused(Refusal::NotLeader { .. }))), "{read:?}");
    assert_eq!(cluster.propose(|| claim(1, 2)).await, Ok(Reply::Granted));
    cluster.cut(old, false);
    sleep(SETTLED).await;
    let outcome = cluster.propose(|| claim(1, 3)).await.expect("decided");
    assert!(matches!(outcome, Reply::Running { attempt, .. } if attempt == start(1, 2).attempt));
    assert_eq!(len(&cluster, old).await, 1);
}

#[tokio::test(start_paused = true)]
async fn state_survives_a_power_loss_of_all() {
    // All VMs of the region lose power at once, and with it all that wasn't synced. What was granted stays.
    let mut cluster = Cluster::<Ledger>::new(3, false, 20);
    for key in 0..50 {
        assert_eq!(cluster.propose(|| claim(key, 1)).await, Ok(Reply::Granted));
    }
    for number in 0..3 {
        cluster.kill(number, Some(Loss::All)).await;
    }
    for number in 0..3 {
        cluster.start(number).expect("a good disk");
    }
    for key in 0..50 {
        let outcome = cluster.propose(|| claim(key, 2)).await;
        assert!(matches!(outcome, Ok(Reply::Running { .. })), "key {key}: {outcome:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn replica_that_missed_too_much_gets_a_snapshot() {
    // A replica is away while the others compact their logs. It gets the snapshot in pieces, of which some are
    // lost, and its own disk then holds it over a power loss.
    let mut cluster = Cluster::<Ledger>::new(3, false, 20);
    let leader = cluster.leader().await;
    let away = (leader + 1) % 3;
    cluster.kill(away, None).await;
    // Entries are kept for a member that has just responded.
    sleep(SETTLED).await;
    for key in 0..200 {
        assert_eq!(cluster.propose(|| claim(key, 1)).await, Ok(Reply::Granted));
    }
    cluster.lose(20);
    cluster.start(away).expect("a good disk");
    sleep(4 * SETTLED).await;
    assert_eq!(len(&cluster, away).await, 200);
    cluster.kill(away, Some(Loss::All)).await;
    cluster.start(away).expect("a good disk");
    assert!(cluster.group(away).status().snapshot.index > Index::new(100));
}

#[tokio::test(start_paused = true)]
async fn failed_sync_ends_the_replica_and_loses_nothing() {
    // The leader's disk fails one sync. It must not acknowledge what that sync was for, nor try again: its driver
    // ends with the error, its callers hear that the outcome is unknown, and the others go on.
    let mut cluster = Cluster::<Ledger>::new(3, false, 1000);
    assert_eq!(cluster.propose(|| claim(1, 1)).await, Ok(Reply::Granted));
    let leader = cluster.leader().await;
    let group = cluster.group(leader);
    cluster.disks[leader].arm(1, Fault::Sync);
    let outcome = group.propose(claim(2, 1)).await;
    assert!(outcome == Ok(Reply::Granted) || outcome == Err(Error::Unknown), "{outcome:?}");
    assert!(matches!(cluster.ended(leader).await, Err(Stopped::Store(_))));
    assert_eq!(group.propose(claim(3, 1)).await, Err(Error::Stopped));
    let again = cluster.propose(|| claim(1, 2)).await;
    assert!(matches!(again, Ok(Reply::Running { .. })), "{again:?}");
    cluster.disks[leader].lose_power(Loss::All, &mut SmallRng::seed_from_u64(1));
    cluster.start(leader).expect("a good disk");
    sleep(SETTLED).await;
    assert_eq!(len(&cluster, leader).await, len(&cluster, cluster.leader().await).await);
}

#[tokio::test(start_paused = true)]
async fn witness_lets_one_of_two_go_on_and_holds_no_data() {
    // A region has two VMs, and a witness in another region. One of the two is lost; the other goes on with the
    // witness's vote. Nothing of any key may ever be on the witness, since bound data never leaves the region.
    let mut cluster = Cluster::<Ledger>::new(3, true, 20);
    for key in 0..60 {
        assert_eq!(cluster.propose(|| claim(key, 1)).await, Ok(Reply::Granted));
    }
    let leader = cluster.leader().await;
    cluster.kill(leader, Some(Loss::All)).await;
    for key in 0..120 {
        let outcome = cluster.propose(|| claim(key, 2)).await;
        let expected = key >= 60;
        assert_eq!(outcome == Ok(Reply::Granted), expected, "key {key}: {outcome:?}");
    }
    let other = 1 - leader;
    let fetch = Message::Fetch { index: Index::new(1), offset: 0 };
    cluster.group(other).receive(cluster.ids[2], fetch).await.expect("runs");
    sleep(SETTLED).await;
    let names = cluster.disks[2].names().expect("a good disk");
    for name in names {
        let bytes = cluster.disks[2].read(&name).expect("a file");
        assert!(!bytes.windows(4).any(|part| part == b"key-"), "{name} has a key in it");
    }
    cluster.kill(2, Some(Loss::All)).await;
    cluster.start(2).expect("a witness needs no snapshot");
}

#[tokio::test(start_paused = true)]
async fn leader_tells_the_machine_the_time() {
    let cluster = Cluster::<Ledger>::new(1, false, 1000);
    let hour = Duration::from_secs(60 * 60);
    let limits = Limits { keep_keys: hour, ..Limits::default() };
    assert_eq!(cluster.propose(|| Command::Limit(limits)).await, Ok(Reply::Done));
    assert_eq!(cluster.propose(|| claim(1, 1)).await, Ok(Reply::Granted));
    let abandon = || Command::Abandon { vm: start(1, 1).vm, incarnation: Incarnation::new(1) };
    assert_eq!(cluster.propose(abandon).await, Ok(Reply::Done));
    assert_eq!(cluster.propose(|| claim(1, 2)).await, Ok(Reply::Unknown));
    let group = cluster.group(0);
    let forgotten = async {
        while group.peek(Ledger::len).await != Ok(0) {
            sleep(Duration::from_secs(600)).await;
        }
    };
    timeout(3 * hour, forgotten).await.expect("forgotten after its hour and its group's");
}

#[tokio::test(start_paused = true)]
async fn witness_drops_data_that_it_is_sent() {
    // A faulty leader sends data to the witness. None of it reaches the witness's disk.
    let mut cluster = Cluster::<Ledger>::new(3, true, 20);
    cluster.kill(0, None).await;
    cluster.kill(1, None).await;
    let position = Position::new(Index::new(1), Term::new(50));
    let entry = Entry::new(position, Payload::Data(b"key-1".as_slice().into()));
    let previous = Position::default();
    let (commit, round) = (Index::ZERO, Round::ZERO);
    let body = Body::Append { previous, entries: vec![entry], commit, round };
    let message = Message::Consensus(consensus::Message::new(Term::new(50), body));
    cluster.group(2).receive(cluster.ids[0], message).await.expect("runs");
    sleep(SETTLED).await;
    let names = cluster.disks[2].names().expect("a good disk");
    let bytes: Vec<u8> =
        names.iter().flat_map(|name| cluster.disks[2].read(name).expect("a file")).collect();
    let holds = |text: &[u8]| bytes.windows(text.len()).any(|part| part == text);
    assert!(holds(b"Withheld") && !holds(b"key-1"));
}

const MEMBER: id::Replica = id::Replica::new(1);
const WITNESS: id::Replica = id::Replica::new(2);

/// A replica that has a snapshot up to entry 9, and what it sends. The other members are `MEMBER` and `WITNESS`.
fn with_snapshot() -> (Group<Ledger>, mpsc::Receiver<(id::Replica, Message)>) {
    let mut rng = SmallRng::seed_from_u64(12);
    let mut opened = Storage::new(Memory::default(), &mut rng).expect("new");
    let members = Members::new([opened.id, MEMBER]).with_member(WITNESS, consensus::Role::Witness);
    let position = Position::new(Index::new(9), Term::new(1));
    let mut data = Vec::new();
    ciborium::into_writer(&Ledger::default(), &mut data).expect("encodes");
    let snapshot = Snapshot { position, members };
    opened.snapshots.save(&snapshot, &data).expect("writes");
    opened.restored.snapshot = snapshot;
    let (outbox, sent) = mpsc::channel(1000);
    let (group, driver) =
        Driver::<Ledger, Memory>::new(Config::new(opened.id), opened, outbox, rng).expect("starts");
    tokio::spawn(driver.run());
    (group, sent)
}

#[tokio::test(start_paused = true)]
async fn snapshot_is_served_to_members_that_hold_data_alone() {
    // A witness or a stranger asks for the snapshot. Served, bound data would leave the region.
    let (group, mut sent) = with_snapshot();
    for from in [id::Replica::new(3), WITNESS, MEMBER].into_iter().cycle().take(9) {
        let fetch = Message::Fetch { index: Index::new(9), offset: 0 };
        group.receive(from, fetch).await.expect("runs");
        sleep(Duration::from_millis(10)).await;
    }
    let mut served = BTreeSet::new();
    while let Ok((to, message)) = sent.try_recv() {
        if matches!(message, Message::Chunk(_)) {
            served.insert(to);
        }
    }
    assert_eq!(served, BTreeSet::from([MEMBER]));
}

/// Far less than a missing piece of a snapshot is waited for.
const COPIED: Duration = Duration::from_millis(500);

// Guards against a newcomer whose first request for a snapshot is not answered until it asks again.
#[tokio::test(start_paused = true)]
async fn snapshot_is_served_as_soon_as_it_has_been_read() {
    let (group, mut sent) = with_snapshot();
    let fetch = Message::Fetch { index: Index::new(9), offset: 0 };
    group.receive(MEMBER, fetch).await.expect("runs");
    let served =
        async { while !matches!(sent.recv().await.expect("runs"), (_, Message::Chunk(_))) {} };
    timeout(COPIED, served).await.expect("served without being asked again");
}

// Guards against a replica that goes on asking a leader that is gone, and ignores the snapshot of the next one.
#[tokio::test(start_paused = true)]
async fn snapshot_of_the_next_leader_is_fetched_at_once() {
    let mut rng = SmallRng::seed_from_u64(13);
    let opened = Storage::new(Memory::default(), &mut rng).expect("new");
    let [gone, next] = [1, 2].map(id::Replica::new);
    let members = Members::new([opened.id, gone, next]);
    let (outbox, mut sent) = mpsc::channel(1000);
    let (group, driver) =
        Driver::<Ledger, Memory>::new(Config::new(opened.id), opened, outbox, rng).expect("starts");
    tokio::spawn(driver.run());
    let offer = |index: u64, term: u64| {
        let position = Position::new(Index::new(index), Term::new(term));
        let snapshot = Snapshot { position, members: members.clone() };
        let body = Body::Snapshot { snapshot, round: Round::ZERO };
        Message::Consensus(consensus::Message::new(Term::new(term), body))
    };
    group.receive(gone, offer(9, 1)).await.expect("runs");
    sleep(Duration::from_millis(100)).await;
    let asked = async {
        loop {
            group.receive(next, offer(8, 2)).await.expect("runs");
            sleep(Duration::from_millis(100)).await;
            while let Ok((to, message)) = sent.try_recv() {
                if to == next && matches!(message, Message::Fetch { .. }) {
                    return;
                }
            }
        }
    };
    timeout(COPIED, asked).await.expect("the next leader is asked");
}

// Guards against a newcomer that copies an old snapshot and then all entries since.
#[tokio::test(start_paused = true)]
async fn a_replica_that_lacks_entries_copies_the_state_as_it_is() {
    let mut cluster = Cluster::<Ledger>::new(3, false, 100);
    let leader = cluster.leader().await;
    let away = (leader + 1) % 3;
    cluster.kill(away, None).await;
    sleep(SETTLED).await;
    for key in 0..170 {
        assert_eq!(cluster.propose(|| claim(key, 1)).await, Ok(Reply::Granted));
    }
    let commit = cluster.group(leader).status().commit;
    cluster.start(away).expect("a good disk");
    sleep(SETTLED).await;
    assert!(cluster.group(away).status().snapshot.index >= commit);
}
