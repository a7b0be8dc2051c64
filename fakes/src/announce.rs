//! Announcing: to one entry VM at a time, the next one when it is lost.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time;

use crate::settings::Kind;
use crate::state::State;

/// Time between two announcements.
const PERIOD: Duration = Duration::from_secs(1);

/// Time for one announcement, after which the next VM is tried.
const LIMIT: Duration = Duration::from_millis(500);

/// Most VMs that are remembered.
const MOST: usize = 16;

/// What an entry VM answers.
#[derive(Debug, Default, Deserialize)]
struct Welcome {
    #[serde(default)]
    others: Vec<SocketAddr>,
}

/// Announces once a second, for as long as the process lives.
pub(crate) async fn run(state: Arc<State>, address: SocketAddr) {
    let mut entries = state.settings.entries.clone();
    let mut ticks = time::interval(PERIOD);
    while !entries.is_empty() {
        ticks.tick().await;
        for _ in 0..entries.len() {
            if announce(&state, address, &mut entries).await {
                break;
            }
            entries.rotate_left(1);
        }
    }
    std::future::pending::<()>().await;
}

/// One announcement to the first VM; whether it was taken.
async fn announce(state: &State, address: SocketAddr, entries: &mut Vec<SocketAddr>) -> bool {
    let to = entries[0];
    let content = content(state, address);
    let path = format!("/upstreams/{}", state.settings.id);
    match send(to, Method::PUT, &path, content.to_string()).await {
        Ok((StatusCode::OK, answer)) => {
            let welcome: Welcome = serde_json::from_slice(&answer).unwrap_or_default();
            for other in welcome.others {
                if !entries.contains(&other) && entries.len() < MOST {
                    entries.push(other);
                }
            }
            true
        }
        // The region remembers an earlier start with as high a number.
        Ok((StatusCode::CONFLICT, _)) => {
            state.with(|inner| inner.incarnation += 1);
            false
        }
        _ => false,
    }
}

fn content(state: &State, address: SocketAddr) -> Value {
    let settings = &state.settings;
    state.with(|inner| {
        inner.sequence += 1;
        json!({
            "address": address,
            "region": settings.region,
            "data_centre": settings.data_centre,
            "kind": settings.kind,
            "slots": settings.slots,
            "models": inner.models,
            "adapters": [],
            "versions": [],
            "role": if settings.kind == Kind::Engine { inner.role.as_str() } else { "mixed" },
            "incarnation": inner.incarnation,
            "sequence": inner.sequence,
            "checks_fencing": settings.checks_fencing,
        })
    })
}

/// Tells the VMs that it leaves; the first that answers spreads it.
pub(crate) async fn leave(state: &State) {
    let incarnation = state.with(|inner| inner.incarnation);
    let path = format!("/upstreams/{}?incarnation={incarnation}", state.settings.id);
    for entry in &state.settings.entries {
        if send(*entry, Method::DELETE, &path, String::new()).await.is_ok() {
            return;
        }
    }
}

async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    content: String,
) -> io::Result<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, to.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(content)))
        .map_err(io::Error::other)?;
    time::timeout(LIMIT, exchange(to, request)).await?
}

async fn exchange(
    to: SocketAddr,
    request: Request<Full<Bytes>>,
) -> io::Result<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(to).await?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    let answer = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        Ok::<_, hyper::Error>((status, response.into_body().collect().await?.to_bytes()))
    };
    tokio::pin!(connection);
    tokio::pin!(answer);
    tokio::select! {
        answered = &mut answer => answered.map_err(io::Error::other),
        _ = &mut connection => answer.await.map_err(io::Error::other),
    }
}
