use std::sync::Arc;

use tokio::sync::watch;

use super::Routes;
use super::SAVE_DELAY;
use crate::id;
use crate::log;

// Guards against an identity whose VM nobody can tell after a restart of all processes.
#[tokio::test]
async fn routes_are_known_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let vm: id::Vm = "vm1".parse().unwrap();
    let [lost, current] = [1, 2].map(id::Replica::new);
    let routes = Arc::new(Routes::new(folder.path(), &log::silent()));
    let (_running, stop) = watch::channel(false);
    let saving = tokio::spawn(routes.clone().keep_saved(log::silent(), stop));
    routes.learn(lost, &vm);
    tokio::time::sleep(SAVE_DELAY / 2).await;
    routes.learn(current, &vm);
    let mut restarted = Routes::new(folder.path(), &log::silent());
    while restarted.vm(current).is_none() {
        tokio::time::sleep(SAVE_DELAY).await;
        restarted = Routes::new(folder.path(), &log::silent());
    }
    saving.abort();
    assert_eq!(restarted.vm(lost), Some(vm));
    assert!(restarted.is_current(current) && !restarted.is_current(lost));
}

// Guards against the identity of a lost disk that counts as the one that its VM holds now.
#[test]
fn only_the_newest_identity_of_a_vm_is_current() {
    let folder = tempfile::tempdir().unwrap();
    let routes = Routes::new(folder.path(), &log::silent());
    let vm: id::Vm = "vm1".parse().unwrap();
    let ids: Vec<id::Replica> = (1..=9).map(id::Replica::new).collect();
    routes.learn(ids[0], &vm);
    for pair in ids.windows(2) {
        routes.learn(pair[1], &vm);
        // A message of the identity before comes late.
        routes.learn(pair[0], &vm);
        assert!(routes.is_current(pair[1]) && !routes.is_current(pair[0]), "{pair:?}");
    }
}

// Guards against a VM that holds replicas of many groups and becomes unreachable for some of them.
#[test]
fn replicas_of_many_groups_on_one_vm_have_a_route() {
    let folder = tempfile::tempdir().unwrap();
    let routes = Routes::new(folder.path(), &log::silent());
    let vm: id::Vm = "vm1".parse().unwrap();
    let ids: Vec<id::Replica> = (1..=6).map(id::Replica::new).collect();
    ids.iter().for_each(|&id| routes.learn(id, &vm));
    let lost: Vec<_> = ids.iter().filter(|&&id| routes.vm(id).is_none()).collect();
    assert!(lost.is_empty(), "no route to {lost:?}");
}

// Guards against a disk that comes back and counts as lost for ever.
#[test]
fn an_identity_that_comes_back_is_current_again() {
    let folder = tempfile::tempdir().unwrap();
    let routes = Routes::new(folder.path(), &log::silent());
    let vm: id::Vm = "vm1".parse().unwrap();
    let [first, second] = [1, 2].map(id::Replica::new);
    routes.confirm(first, &vm);
    assert!(routes.is_current(first));
    routes.confirm(second, &vm);
    assert!(routes.is_current(second) && !routes.is_current(first));
    routes.confirm(first, &vm);
    assert!(routes.is_current(first) && !routes.is_current(second));
}
