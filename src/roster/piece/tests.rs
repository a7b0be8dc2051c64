use std::collections::BTreeMap;

use super::Error;
use super::Piece;
use crate::roster::Scope;
use crate::roster::slice::Level;

#[test]
fn damaged_pieces_are_rejected_and_never_panic() {
    let cut = Piece { changes: vec![0xa1, 0x61].into(), ..Piece::default() };
    assert!(matches!(cut.into_delta(), Err(Error::Change { nth: 0, .. })));
    let level: Level = ciborium::from_reader([0x18, 200].as_slice()).unwrap();
    let vms = BTreeMap::from([("r".parse().unwrap(), level)]);
    let scope = Some(Scope { vms, ..Scope::default() });
    let out_of_bounds = Piece { scope, ..Piece::default() };
    assert!(matches!(out_of_bounds.into_delta(), Err(Error::Scope(0))));
}
