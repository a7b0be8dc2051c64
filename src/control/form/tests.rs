use super::Step;
use super::step;
use crate::consensus::Members;
use crate::consensus::Role;
use crate::control::plan::Planned;
use crate::id;
use crate::wire::message::Identity;

fn vm(name: &str) -> id::Vm {
    name.parse().unwrap()
}

fn planned() -> Vec<Planned> {
    ["a", "b", "c"].map(|name| Planned { vm: vm(name), role: Role::Voter }).to_vec()
}

fn told(name: &str, replica: u128, members: &[u128]) -> (id::Vm, Identity) {
    let members = Members::new(members.iter().copied().map(id::Replica::new));
    let pristine = members.is_empty();
    (vm(name), Identity { replica: id::Replica::new(replica), pristine, members, leads: false })
}

#[test]
fn the_first_vm_begins_when_all_have_no_past() {
    let (b, c) = (told("b", 2, &[]), told("c", 3, &[]));
    let all = Step::Begin(Members::new([1, 2, 3].map(id::Replica::new)));
    assert_eq!(step(&vm("a"), id::Replica::new(1), &planned(), &[b.clone(), c.clone()]), all);
    assert_eq!(step(&vm("a"), id::Replica::new(1), &planned(), &[b]), Step::Wait);
    assert_eq!(step(&vm("b"), id::Replica::new(2), &planned(), &[c]), Step::Wait);
    let founder = told("a", 1, &[1, 2, 3]);
    assert_eq!(step(&vm("b"), id::Replica::new(2), &planned(), &[founder]), all);
}

// The first VM loses its disk after the group was formed. Its empty folder has a new identity. If it began anew, it
// would vote as one of the first members although it has forgotten its votes, and a second history could be
// committed. It meets members with a past and asks them instead.
#[test]
fn a_lost_folder_joins_and_never_begins_anew() {
    let (b, c) = (told("b", 2, &[1, 2, 3]), told("c", 3, &[]));
    assert_eq!(step(&vm("a"), id::Replica::new(9), &planned(), &[b, c]), Step::Join);
}
