//! The daemon of an entry VM: carries requests.

use std::process::ExitCode;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use masticstream::cli;
use masticstream::entry::Daemon;
use masticstream::log;
use masticstream::panics;
use masticstream::signal;
use masticstream::unit::Incarnation;

/// Microseconds since the epoch. It is compared with the same VM's earlier starts alone, never with another VM's; a
/// clock that was set back is found out by the ledger, and the daemon then takes a higher number.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::new(since.map_or(1, |since| since.as_micros() as u64))
}

#[tokio::main]
async fn main() -> ExitCode {
    let (arguments, site) = match cli::Daemon::load() {
        Ok(loaded) => loaded,
        Err(error) => return cli::errors::report(&error),
    };
    let log = log::logger(&site.logs, &arguments.vm, "entry");
    panics::report_to(log.clone());
    let daemon = match Daemon::start(arguments.vm, site, incarnation(), rand::random(), log).await {
        Ok(daemon) => daemon,
        Err(error) => return cli::errors::report(&cli::Error::Start(error.to_string())),
    };
    signal::wait().await;
    daemon.drain(signal::wait()).await;
    ExitCode::SUCCESS
}
