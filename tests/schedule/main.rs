//! Random schedules of failures over a running site, judged by an oracle that reads what callers got and what the
//! upstreams ran.
//!
//! `MASTIC_SEEDS=N` runs the first N seeds, `MASTIC_SEED=K` that one alone, whose
//! story is printed (with `--nocapture`, also if nothing was found).

#[path = "../support/mod.rs"]
mod support;

mod action;
mod driver;
mod found;
mod oracle;
mod story;
mod traffic;

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use tokio::runtime::Builder;

/// Seeds of each run of the suite.
const SEEDS: u64 = 200;

/// Sites side by side. A site mostly waits: 24 of them used less than one processor.
const SITES: usize = 48;

fn number(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().unwrap_or_else(|_| panic!("{variable}={text} is no number")))
}

/// Runs a seed in a runtime of its own; its findings, with the schedule and the story.
fn run(seed: u64) -> Vec<String> {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let ran = runtime.block_on(async { tokio::spawn(driver::run(seed)).await });
    runtime.shutdown_background();
    ran.unwrap_or_else(|panic| vec![format!("seed {seed}: {panic}")])
}

// Callers send numbered requests, and resend them as they are told, while VMs and upstreams crash, drain, go silent,
// cut off and mix up, and the catalogue changes. Whatever the order: nothing runs twice that may not, no answer
// is another's or a part passed off as whole, no last word says "not run" of what ran, bound data stays home, no
// VM's catalogue steps back, and no answer comes from nowhere.
#[test]
fn no_schedule_of_failures_breaks_a_promise() {
    let seeds: Vec<u64> = match (number("MASTIC_SEED"), number("MASTIC_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, count) => (0..count.unwrap_or(SEEDS)).collect(),
    };
    let next = AtomicU64::new(0);
    let found = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..SITES.min(seeds.len()) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed) as usize) {
                    let findings = run(*seed);
                    found.lock().expect("no panic").extend(findings);
                }
            });
        }
    });
    let found = found.into_inner().expect("no panic");
    assert!(found.is_empty(), "{} findings:\n{}", found.len(), found.join("\n\n"));
}
