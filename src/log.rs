//! The log of a process: lines for a terminal or JSON. No prompt, answer or token is ever logged.

use std::io;

use slog::Drain;
use slog::Logger;
use slog::o;

use crate::id;
use crate::settings::site::Logs;

/// Lines that wait to be written; beyond, lines are dropped and the number of dropped ones is logged.
const BACKLOG: usize = 4096;

/// A logger for the process of that role on that VM.
pub fn logger(logs: &Logs, vm: &id::Vm, role: &'static str) -> Logger {
    let drain = if logs.json {
        let json = slog_json::Json::default(io::stdout());
        slog_async::Async::new(json.fuse()).chan_size(BACKLOG).build()
    } else {
        let plain = slog_term::PlainDecorator::new(io::stdout());
        let lines = slog_term::FullFormat::new(plain).build();
        slog_async::Async::new(lines.fuse()).chan_size(BACKLOG).build()
    };
    let drain = slog::LevelFilter::new(drain, logs.level).fuse();
    Logger::root(drain, o!("vm" => vm.to_string(), "role" => role))
}

/// A logger that writes all lines as JSON to that place, for tests.
pub fn to(place: impl io::Write + Send + 'static) -> Logger {
    let json = slog_json::Json::default(place);
    Logger::root(std::sync::Mutex::new(json).fuse(), o!())
}

/// A logger that writes nothing, for tests.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
