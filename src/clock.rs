//! A clock that goes on while a VM is suspended.
//!
//! The runtime's clock stands still meanwhile, so what must not outlive a promise to others would look as fresh after a
//! suspension as before it.

pub mod pause;

use std::sync::OnceLock;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;
use tokio::time::Instant;

/// A shorter suspension is not told apart from the time that passes between the reads of two clocks.
const RESOLUTION: Duration = Duration::from_millis(1);

/// Number of times that the clocks are read. The thread may be preempted between them once, which looks like a suspension.
const READS: usize = 2;

/// The runtime's time, moved on by all that this process was suspended for.
pub fn now() -> Instant {
    static AT_START: OnceLock<Duration> = OnceLock::new();
    // A suspension between the two reads makes the result later, so what is measured by it is never too young.
    let running = Instant::now();
    let suspended = suspended();
    let since_start = suspended.saturating_sub(*AT_START.get_or_init(|| suspended));
    if since_start < RESOLUTION { running } else { running + since_start }
}

/// How long the VM was suspended since it was started.
fn suspended() -> Duration {
    let reads = (0..READS).map(|_| {
        let running = clock_gettime(ClockId::Monotonic);
        let all = clock_gettime(ClockId::Boottime);
        since_boot(all).saturating_sub(since_boot(running))
    });
    reads.min().unwrap_or_default()
}

fn since_boot(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

#[cfg(test)]
mod tests;
