//! What a group tells of itself.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::SETTLED;
use super::claim;
use super::cluster::Cluster;
use crate::consensus::Change;
use crate::consensus::Mode;
use crate::consensus::Phase;
use crate::consensus::Refusal;
use crate::group::Config;
use crate::group::Driver;
use crate::group::Error;
use crate::group::Refusals;
use crate::group::Stage;
use crate::id;
use crate::ledger::Ledger;
use crate::store::Memory;
use crate::store::Storage;

// Guards against a refused change of members whose cause is lost with the answer.
#[tokio::test(start_paused = true)]
async fn a_refused_change_shows_with_its_cause() {
    let cluster = Cluster::<Ledger>::new(3, false, 1000);
    let leader = cluster.leader().await;
    let group = cluster.group(leader);
    sleep(SETTLED).await;
    let change = Change::Promote(id::Replica::new(7));
    let refused = group.change(change).await;
    assert_eq!(refused, Err(Error::Refused(Refusal::InvalidTarget)));
    sleep(SETTLED).await;
    let last = Some((change, Refusal::InvalidTarget));
    assert_eq!(group.status().refusals, Refusals { count: 1, last });
    let follower = cluster.group((leader + 1) % 3);
    follower.change(change).await.expect_err("it does not lead");
    sleep(SETTLED).await;
    assert_eq!(follower.status().refusals, Refusals::default());
}

// Guards against a fetch of a snapshot that shows neither its source nor its size, and against a leader that can't say
// how far a member is.
#[tokio::test(start_paused = true)]
async fn a_fetched_snapshot_and_its_member_show() {
    let mut cluster = Cluster::<Ledger>::new(3, false, 20);
    let leader = cluster.leader().await;
    let away = (leader + 1) % 3;
    cluster.kill(away, None).await;
    // Entries are kept for a member that has just responded.
    sleep(SETTLED).await;
    for key in 0..200 {
        cluster.propose(|| claim(key, 1)).await.expect("a majority");
    }
    cluster.start(away).expect("a good disk");
    sleep(SETTLED).await;
    let fetches = cluster.group(away).status().fetches;
    let last = fetches.last.expect("a fetch");
    assert_eq!((last.stage, last.from), (Stage::Installed, cluster.ids[leader]));
    assert!(fetches.count >= 1 && last.bytes > 1000 && last.requests >= 1, "{fetches:?}");
    let group = cluster.group(leader);
    let peers = group.peers().await.expect("runs");
    let peer = peers.iter().find(|peer| peer.id == cluster.ids[away]).expect("a member");
    assert_eq!((peer.mode, peer.matched), (Mode::Stream, group.status().commit));
    assert_eq!(cluster.group(away).peers().await, Ok(Vec::new()));
}

// Guards against counters that wake all watchers of a replica with each message.
#[tokio::test(start_paused = true)]
async fn messages_are_counted_and_wake_nobody() {
    let cluster = Cluster::<Ledger>::new(3, false, 1000);
    let leader = cluster.leader().await;
    sleep(SETTLED).await;
    for number in 0..3 {
        let group = cluster.group(number);
        let mut watch = group.watch();
        watch.mark_unchanged();
        let before = group.reading();
        // The machine is told the time every ten seconds, by an entry.
        sleep(Duration::from_secs(1)).await;
        let after = group.reading();
        assert!(!watch.has_changed().expect("runs"));
        assert!(after.received >= before.received + 5 && after.sent >= before.sent + 5);
        assert!(after.idle < Duration::from_secs(1) && after.write.is_none());
        assert_eq!((after.issued, after.synced), (after.persisted, after.last));
        assert_eq!(after.contact.is_some_and(|at| at < Duration::from_secs(1)), number != leader);
        let phase = if number == leader { Phase::Leader } else { Phase::Follower };
        assert_eq!(group.status().phase, phase);
    }
}

// Guards against a replica that stands still and can't be told from one that runs.
#[tokio::test(start_paused = true)]
async fn a_driver_that_stands_still_shows() {
    let mut rng = SmallRng::seed_from_u64(12);
    let opened = Storage::new(Memory::default(), &mut rng).expect("new");
    let (outbox, _sent) = mpsc::channel(1000);
    let (group, _driver) =
        Driver::<Ledger, Memory>::new(Config::new(opened.id), opened, outbox, rng).expect("starts");
    sleep(Duration::from_secs(7)).await;
    assert_eq!(group.reading().idle, Duration::from_secs(7));
}
