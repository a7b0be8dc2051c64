//! What becomes of a process in which something panicked.
//!
//! A panic is logged and counted. Work that failed alone is answered or started again by its server or supervisor. Where
//! shared state may be inconsistent the process ends, and whatever started it starts it again.

use std::any::Any;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::process;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use futures::FutureExt;
use slog::Logger;
use slog::error;

/// The exit status after a panic that the process can't go on from (`EX_SOFTWARE`).
pub const EXIT_STATUS: i32 = 70;
/// Time for the lines of the log to be written before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(50);

static COUNT: AtomicU64 = AtomicU64::new(0);

/// Logs and counts panics from now on.
pub fn report_to(log: Logger) {
    let default = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        COUNT.fetch_add(1, Ordering::Relaxed);
        error!(log, "process.panicked"; "place" => panic.location().map(ToString::to_string),
            "why" => message(panic.payload()));
        default(panic);
    }));
}

/// The text of a panic, if it has one.
fn message(payload: &dyn Any) -> Option<&str> {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied())
}

/// The number of panics since [`report_to`] was called.
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

/// Runs a task without which the process is of no use: if it panics, the process ends.
pub async fn end_process_on_panic(name: &str, task: impl Future<Output = ()>) {
    if AssertUnwindSafe(task).catch_unwind().await.is_err() {
        end_process(&format!("its task {name:?} panicked"));
    }
}

/// Ends the process with [`EXIT_STATUS`].
pub fn end_process(why: &str) -> ! {
    eprintln!("the process ends: {why}");
    thread::sleep(FLUSH_TIME);
    process::exit(EXIT_STATUS)
}
