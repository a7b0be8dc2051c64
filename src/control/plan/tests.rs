use std::path::Path;

use super::members;
use crate::consensus::Role;
use crate::control::Name;
use crate::settings::Site;

/// A site of control VMs alone, each given as `name@region/data centre`.
fn site(vms: &[&str]) -> Site {
    let mut text = String::from("vms:\n");
    for (number, vm) in vms.iter().enumerate() {
        let (name, place) = vm.split_once('@').unwrap();
        let (region, centre) = place.split_once('/').unwrap();
        text += &format!(
            "  {name}: {{ region: {region}, data_centre: {centre}, control: {{ operators: '127.0.0.1:{}', links: '127.0.0.1:{}', folder: x }} }}\n",
            2 * number + 1,
            2 * number + 2,
        );
    }
    Site::parse("site.yaml", &text, Path::new(".")).unwrap()
}

fn voters(site: &Site, name: &Name) -> Vec<String> {
    let planned = members(site, name);
    let voters = planned.iter().filter(|planned| planned.role == Role::Voter);
    voters.map(|planned| planned.vm.to_string()).collect()
}

#[test]
fn no_region_holds_a_majority_of_the_catalogue() {
    let site = site(&["a1@a/x", "a2@a/y", "b1@b/x", "b2@b/y", "c1@c/x", "c2@c/y"]);
    assert_eq!(voters(&site, &Name::Catalogue), ["a1", "b1", "c1", "a2", "b2"]);
}

#[test]
fn the_voters_of_a_ledger_stand_in_different_data_centres() {
    let site = site(&["a1@a/x", "a2@a/x", "a3@a/x", "a4@a/y", "a5@a/z"]);
    let name = Name::Ledger("a".parse().unwrap());
    assert_eq!(voters(&site, &name)[..3], ["a1", "a4", "a5"]);
    assert_eq!(voters(&site, &name).len(), 5);
}

// A region has two VMs, and one of them is lost. With two voters alone the ledger would stop, and each request
// that may not repeat would be refused until the VM is back. A witness elsewhere keeps the majority without ever
// holding bound data.
#[test]
fn a_region_of_two_vms_has_a_witness_elsewhere() {
    let site = site(&["a1@a/x", "a2@a/y", "b1@b/x", "b2@b/y"]);
    let planned = members(&site, &Name::Ledger("a".parse().unwrap()));
    let witness: Vec<_> = planned.iter().filter(|p| p.role == Role::Witness).collect();
    assert_eq!(witness.len(), 1);
    assert!(witness[0].vm.as_str().starts_with('b'));
}
