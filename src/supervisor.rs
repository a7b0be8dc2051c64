//! A tree of tasks: a child that panics is started again, and all end together when told to stop.

use std::future::Future;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use slog::Logger;
use slog::error;
use slog::warn;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

/// A child that failed starts again after this; it doubles with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The pause doubles up to this.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// What makes a child's future, each time it is started.
type Make = Box<dyn Fn() -> BoxFuture<'static, ()> + Send>;

/// A supervisor and its children.
pub struct Supervisor {
    log: Logger,
    stop: watch::Sender<bool>,
    children: JoinSet<()>,
}

impl Supervisor {
    /// A supervisor without children.
    pub fn new(log: Logger) -> Self {
        Self { log, stop: watch::Sender::new(false), children: JoinSet::new() }
    }

    /// Turns true when the children should end.
    pub fn stop(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }

    /// Starts a child that is started again when it panics. A child that returns has ended.
    pub fn child<F, A>(&mut self, name: &'static str, make: F)
    where
        F: Fn() -> A + Send + 'static,
        A: Future<Output = ()> + Send + 'static,
    {
        let make: Make = Box::new(move || make().boxed());
        let log = self.log.clone();
        let mut stop = self.stop.subscribe();
        self.children.spawn(async move {
            let mut pause = FIRST_PAUSE;
            loop {
                let ended = std::panic::AssertUnwindSafe(make()).catch_unwind().await;
                if ended.is_ok() || *stop.borrow() {
                    return;
                }
                error!(log, "a part of the process failed and starts again"; "part" => name);
                tokio::select! {
                    () = time::sleep(pause) => (),
                    _ = stop.wait_for(|stop| *stop) => return,
                }
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        });
    }

    /// Tells all children to end, and waits for them until the time limit; what is left then is aborted.
    pub async fn finish(mut self, limit: Duration) {
        self.stop.send_replace(true);
        let all = async { while self.children.join_next().await.is_some() {} };
        if time::timeout(limit, all).await.is_err() {
            warn!(self.log, "the time to shut down is over; what is left is cut off");
            self.children.abort_all();
        }
    }
}
