use std::time::Duration;

use futures::future::join_all;
use tokio::time;

use super::take_in;
use crate::control::Routes;
use crate::group::tests::cluster::Cluster;
use crate::id;
use crate::ledger::Ledger;
use crate::log;

// Guards against newcomers that refuse each other's changes and wait until they ask again.
#[tokio::test(start_paused = true)]
async fn newcomers_that_ask_together_are_all_taken_in() {
    let cluster = Cluster::<Ledger>::new(5, false, 1000);
    let leader = cluster.leader().await;
    let group = cluster.group(leader);
    let folder = tempfile::tempdir().unwrap();
    let routes = Routes::new(folder.path(), &log::silent());
    let lost: Vec<usize> = (0..5).filter(|&number| number != leader).take(2).collect();
    let newcomers: Vec<(id::Vm, id::Replica)> = lost
        .iter()
        .map(|&number| {
            let vm: id::Vm = format!("vm{number}").parse().unwrap();
            routes.learn(cluster.ids[number], &vm);
            (vm, id::Replica::new(number as u128))
        })
        .collect();
    let asked = newcomers
        .iter()
        .map(|(vm, replica)| take_in(&routes, vm, Some(group.clone()), *replica, false));
    let taken = time::timeout(Duration::from_secs(1), join_all(asked)).await.expect("in time");
    assert_eq!(taken, [true, true]);
    let members = group.status().members;
    for (&number, (_, newcomer)) in lost.iter().zip(&newcomers) {
        assert!(members.contains(*newcomer) && !members.contains(cluster.ids[number]));
    }
}
