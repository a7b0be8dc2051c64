//! Serves HTTP on a listener until told to stop, and then lets every request in progress end.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time;

use crate::http::Body;
use crate::http::Reason;
use crate::http::Refusal;
use crate::http::intake::Intake;

/// The headers of a request must arrive within this; a sender that trickles them holds a connection no longer. The time
/// that a kept connection is idle counts too, and callers use theirs again after up to 12 s.
const HEADERS: Duration = Duration::from_secs(16);
/// The largest head of a request, in bytes.
const HEAD_BYTES: usize = 64 << 10;
/// After a failed accept (no file descriptors, most likely) the next one waits so long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections at once on one listener: at 64 KiB of buffers each they stay under 256 MiB.
const CONNECTIONS: usize = 4096;

/// Serves until `stop` turns true; then no connection is accepted, and requests in progress end as they would.
pub async fn serve<F, A>(listener: Arc<TcpListener>, mut stop: watch::Receiver<bool>, answer: F)
where
    F: Fn(Request<Incoming>, SocketAddr) -> A + Clone + Send + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let open = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Some((stream, from, permit)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        stream.set_nodelay(true).ok();
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let answered = std::panic::AssertUnwindSafe(answer(request, from)).catch_unwind();
            async move { Ok::<_, Infallible>(answered.await.unwrap_or_else(|_| broken())) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADERS)
            .max_buf_size(HEAD_BYTES)
            .serve_connection(TokioIo::new(Intake::new(stream)), service);
        let watched = open.watch(connection);
        tokio::spawn(async move {
            watched.await.ok();
            drop(permit);
        });
    }
    open.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(tokio::net::TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    let (stream, from) = listener.accept().await.ok()?;
    Some((stream, from, permit))
}

/// A request whose handling panicked: what it had done by then is not known.
fn broken() -> Response<Body> {
    let refusal =
        Refusal::new(Reason::UpstreamFailed, "this VM failed while it served the request");
    refusal.with_ran(crate::http::Ran::Unknown).response()
}
