//! The time at which a process that is stopping ends the requests that are left.

use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

/// That time, once the process is stopping.
#[derive(Debug)]
pub struct Cutoff(watch::Sender<Option<Instant>>);

impl Default for Cutoff {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl Cutoff {
    /// Sets the time; it is only ever brought forward.
    pub fn set(&self, at: Instant) {
        let earliest = |before: Option<Instant>| before.map_or(at, |before| before.min(at));
        self.0.send_modify(|cutoff| *cutoff = Some(earliest(*cutoff)));
    }

    /// The time, if the process is stopping.
    pub fn at(&self) -> Option<Instant> {
        *self.0.borrow()
    }

    /// Waits until the time has passed.
    pub async fn passed(&self) {
        let mut changes = self.0.subscribe();
        loop {
            let at = *changes.borrow_and_update();
            tokio::select! {
                () = time::sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => return,
                changed = changes.changed() => if changed.is_err() {
                    std::future::pending::<()>().await;
                },
            }
        }
    }
}

#[cfg(test)]
mod tests;
