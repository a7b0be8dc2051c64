use super::Seats;
use crate::consensus::Members;
use crate::consensus::Role;
use crate::control::Routes;
use crate::id;
use crate::log;

// Guards against a member that keeps the seat of a lost disk and looks like the one that runs on its VM.
#[test]
fn members_tell_their_vm_and_whether_it_holds_another_replica_by_now() {
    let id = id::Replica::new;
    let folder = tempfile::tempdir().unwrap();
    let routes = Routes::new(folder.path(), &log::silent());
    for (replica, vm) in [(1, "s"), (2, "p"), (3, "p"), (4, "q")] {
        routes.learn(id(replica), &vm.parse().unwrap());
    }
    let members = Members::new([1, 2, 4, 5].map(id)).with_member(id(3), Role::Learner);
    let is_heard = |replica| replica != id(4);
    let seats = Seats { members: &members, routes: &routes, is_heard: &is_heard }.to_string();
    let [one, two, three, four, five] = [1, 2, 3, 4, 5].map(id);
    let expected = format!(
        "{one} voter on s heard, {two} voter on p before another, {three} learner on p heard, \
        {four} voter on q silent, {five} voter on an unknown VM"
    );
    assert_eq!(seats, expected);
}
