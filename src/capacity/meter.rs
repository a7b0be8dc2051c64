//! Time and memory, as this process sees them.

use std::fs;
use std::hint::black_box;
use std::time::Duration;

use tokio::time::Instant;

/// A size of memory pages in bytes; that of all machines the project runs on.
const PAGE: u64 = 4096;

/// Each timed loop runs at least so long: a thousand times the clock's resolution and more.
const LEAST: Duration = Duration::from_millis(40);

/// Nanoseconds that one call takes, as the mean over a loop.
pub fn nanos<T>(mut call: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    let mut calls = 0_u64;
    while started.elapsed() < LEAST {
        for _ in 0..16 {
            black_box(call());
        }
        calls += 16;
    }
    started.elapsed().as_nanos() as f64 / calls as f64
}

/// Nanoseconds that one call takes, by the quickest of so many: for calls of a millisecond and more.
pub fn quickest<T>(times: usize, mut call: impl FnMut() -> T) -> f64 {
    let time = |_| {
        let started = Instant::now();
        black_box(call());
        started.elapsed().as_nanos() as f64
    };
    (0..times).map(time).fold(f64::INFINITY, f64::min)
}

/// Bytes of this process that are resident; zero where the system doesn't tell.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}

/// What is built, and by how many bytes the process has grown for it.
pub fn grown<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = resident();
    let built = build();
    (built, resident().saturating_sub(before) as f64)
}

/// Copies are built until the process has grown by so many bytes.
const GROWTH: u64 = 64_000_000;
/// The most copies: 64 MB of the smallest that is measured here, several times.
const COPIES: usize = 4_000;

/// Bytes of memory that one of these takes, as the mean over enough copies.
///
/// The growth is counted from the first growth on: copies before it fill memory that was free, and tell nothing. Not a number where that many copies don't suffice.
pub fn memory<T>(build: impl Fn() -> T) -> f64 {
    let mut kept = Vec::with_capacity(COPIES);
    let mut least = resident();
    let mut first = None;
    while kept.len() < COPIES {
        kept.push(build());
        let now = resident();
        match first {
            // Growth of a megabyte: a buffer that grows, or a page here and there, isn't the end of what was free.
            None if now > least + (1 << 20) => first = Some((kept.len(), now)),
            None => least = least.min(now),
            // Free memory went back to the system: growth counts from here.
            Some((_, bytes)) if now < bytes => (first, least) = (None, now),
            Some((count, bytes)) if now > bytes + GROWTH => {
                return (now - bytes) as f64 / (kept.len() - count) as f64;
            }
            Some(_) => {}
        }
    }
    f64::NAN
}

/// Bytes of a value in CBOR, as it goes over a link.
pub fn size(value: &impl serde::Serialize) -> usize {
    let mut bytes = Vec::new();
    // Writing plain structures to memory can't fail.
    ciborium::into_writer(value, &mut bytes).ok();
    bytes.len()
}
