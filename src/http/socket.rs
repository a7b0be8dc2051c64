//! Options of TCP sockets.

use std::time::Duration;

use slog::Logger;
use slog::warn;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Bytes that the far end does not acknowledge for so long end the connection. Within the system and to upstreams a
/// trip takes up to 110 ms there and back, so that several retransmissions fit.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
/// A silent connection is probed after this, and each second after. The kernel counts whole seconds.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection.
const PROBES: u32 = 2;

/// Sends small writes at once, and finds out within seconds that nobody is at the far end any more.
///
/// Failure: a VM loses power, or something between the two ends has lost track of the connection. Nothing is reset, and
/// whoever waits on the connection waits for ever.
pub fn prepare(stream: &TcpStream, log: Option<&Logger>) {
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER).with_retries(PROBES);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let (Err(error), Some(log)) = (set, log) {
        // The connection works without; a dead far end is found out by timeouts of requests then.
        warn!(log, "socket.options"; "why" => %error);
    }
}
