//! The daemon of an control VM: holds replicas.

use std::process::ExitCode;

use masticstream::cli;
use masticstream::control::Daemon;
use masticstream::log;
use masticstream::panics;
use masticstream::signal;

#[tokio::main]
async fn main() -> ExitCode {
    let (arguments, site) = match cli::Daemon::load() {
        Ok(loaded) => loaded,
        Err(error) => return cli::errors::report(&error),
    };
    let log = log::logger(&site.logs, &arguments.vm, "control");
    panics::report_to(log.clone());
    let daemon = match Daemon::start(arguments.vm, site, rand::random(), log).await {
        Ok(daemon) => daemon,
        Err(error) => return cli::errors::report(&cli::Error::Start(error.to_string())),
    };
    signal::wait().await;
    daemon.stop().await;
    ExitCode::SUCCESS
}
