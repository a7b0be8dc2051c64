//! Load reports of the upstreams whose leases this VM holds. They come late, and the choice of upstreams adds what
//! this VM has sent since.

use std::sync::Arc;
use std::time::Duration;

use futures::future;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::entry::Hub;
use crate::http::engine;

/// Reports are asked for this often. Upstreams make them with a lag of about as much.
const PERIOD: Duration = Duration::from_secs(1);

/// Asks for load reports again and again.
pub async fn ask(hub: Arc<Hub>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = time::sleep(PERIOD) => (),
            _ = stop.wait_for(|stop| *stop) => return,
        }
        let hosted = hub.dispatch().hosted();
        let asked = hosted.iter().map(|upstream| engine::load(&hub.client, upstream));
        let loads = future::join_all(asked).await;
        let now = Instant::now();
        for load in loads.into_iter().flatten() {
            hub.dispatch().load(&load, now);
        }
    }
}
