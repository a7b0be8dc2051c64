//! The signals that daemons take.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Told each time that the settings may have changed.
#[derive(Debug)]
pub struct Reload {
    hangups: Option<Signal>,
}

impl Reload {
    /// Takes SIGHUP from now on; without this the signal ends the process.
    pub fn new() -> Self {
        Self { hangups: signal(SignalKind::hangup()).ok() }
    }

    /// Waits for the next SIGHUP.
    pub async fn next(&mut self) {
        match &mut self.hangups {
            Some(hangups) => {
                hangups.recv().await;
            }
            None => std::future::pending().await,
        }
    }
}

impl Default for Reload {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for SIGTERM or SIGINT. Where they can't be waited for, it waits for ever: the process then ends as the
/// system ends it.
pub async fn wait() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
}
