//! What a quarantine costs the innocent, and what a killer costs the upstreams.

use std::fmt::Write;

use crate::crashes::Case;
use crate::crashes::Damage;
use crate::crashes::Rule;
use crate::crashes::run;

const CASES: [Case; 5] = [
    Case { name: "one killer", crashes: 0, killers: 1, briefings: 0.3 },
    Case { name: "three killers", crashes: 0, killers: 3, briefings: 0.3 },
    Case { name: "burst of 12 crashes", crashes: 12, killers: 0, briefings: 0.3 },
    Case { name: "burst of 24 crashes, a killer", crashes: 24, killers: 1, briefings: 0.3 },
    Case {
        name: "burst of 24 crashes, a killer, mostly briefings",
        crashes: 24,
        killers: 1,
        briefings: 0.9,
    },
];

/// Runs of each case, with a seed each.
const RUNS: u64 = 10;

/// The same case over many seeds, summed up.
fn sum(case: Case, rule: Rule) -> Damage {
    let mut sum = Damage::default();
    for seed in 0..RUNS {
        let damage = run(case, rule, seed);
        sum.charged += damage.charged;
        sum.convicted += damage.convicted;
        sum.killed += damage.killed;
        sum.at_large += damage.at_large;
        sum.unanswered += damage.unanswered;
        sum.longest = sum.longest.max(damage.longest);
    }
    sum
}

/// The cases as Markdown.
pub fn markdown() -> String {
    let mut text = String::from(
        "| 10 runs each | rule | innocent, ran where an upstream died | of them refused | innocent without answer \
         | killed by killers | killers at large | longest innocent, s |\n|---|---|---:|---:|---:|---:|---:|---:|\n",
    );
    let rules = [
        (Rule::None, "none"),
        (Rule::TwoDeaths, "two deaths"),
        (Rule::Weighed, "two deaths, weighed by those beside it"),
        (Rule::Ours, "ours"),
    ];
    for case in CASES {
        for (rule, name) in rules {
            let Damage { charged, convicted, killed, at_large, unanswered, longest } =
                sum(case, rule);
            let _ = writeln!(
                text,
                "| {} | {name} | {charged} | {convicted} | {unanswered} | {killed} | {at_large} | {:.0} |",
                case.name,
                longest.as_secs_f64(),
            );
        }
    }
    text
}

#[test]
fn table() {
    println!("{}", markdown());
}

#[test]
fn killer_costs_two_upstreams() {
    // A request kills each upstream that runs it; its caller sends it again at once, to any VM.
    // Unless it is refused it takes upstreams down as fast as they come back.
    let case = CASES[0];
    let ours = sum(case, Rule::Ours);
    assert!(ours.killed <= 25, "{ours:?} in {RUNS} runs");
    assert_eq!((ours.at_large, ours.convicted), (0, 0), "{ours:?}");
}

#[test]
fn burst_of_crashes_convicts_hardly_any_innocent_request() {
    // Twelve of eighteen upstreams crash within a minute for reasons of their own.
    // Requests that were on two of them did nothing wrong; refused, they would be lost.
    let case = CASES[2];
    let (ours, naive) = (sum(case, Rule::Ours), sum(case, Rule::TwoDeaths));
    assert!(ours.convicted * 200 <= ours.charged, "{ours:?}");
    assert!(ours.convicted * 10 < naive.convicted, "{ours:?} {naive:?}");
}

#[test]
fn killer_is_found_among_ordinary_crashes() {
    // A burst of crashes and a killer at the same time: more deaths are needed to tell it from the innocent.
    let case = CASES[3];
    let ours = sum(case, Rule::Ours);
    assert_eq!(ours.at_large, 0, "{ours:?}");
    assert!(ours.killed <= 6 * RUNS as usize, "{ours:?}");
    assert!(ours.convicted * 100 <= ours.charged, "{ours:?}");
}
