//! Parts of the table, for rounds of changes.

use crate::policy::Kind;
use crate::scenario::Scenario;
use crate::table::markdown;
use crate::table::rows;

fn print(kinds: &[Kind]) {
    let scenarios = Scenario::all();
    let rows: Vec<_> = scenarios.iter().flat_map(|scenario| rows(scenario, kinds)).collect();
    println!("{}", markdown(&rows));
}

/// The library's decisions alone.
#[test]
fn ours() {
    print(&[Kind::Ours]);
}

/// The trial of what-if runs beside the library's order.
#[test]
fn what_if() {
    print(&[Kind::Ours, Kind::WhatIf]);
}
