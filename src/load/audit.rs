//! Asking the fakes what ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde::Deserialize;
use tokio::time;

use crate::http::client::Client;
use crate::load::tally::Runs;

/// A log of what ran comes within this.
const LIMIT: Duration = Duration::from_secs(30);

#[derive(Debug, Deserialize)]
struct Run {
    key: Option<String>,
}

/// What ran, by key, and the upstreams that gave no answer.
#[derive(Debug, Default)]
pub struct Audit {
    /// Runs by key.
    pub runs: BTreeMap<String, Runs>,
    /// Upstreams that gave no answer: what they ran isn't known.
    pub silent: Vec<SocketAddr>,
}

/// Asks all upstreams what ran.
pub async fn audit(client: &Client, upstreams: &[SocketAddr]) -> Audit {
    let mut audit = Audit::default();
    for upstream in upstreams {
        let Some(runs) = time::timeout(LIMIT, ask(client, *upstream)).await.ok().flatten() else {
            audit.silent.push(*upstream);
            continue;
        };
        for key in runs.into_iter().filter_map(|run| run.key) {
            audit.runs.entry(key).or_default().started += 1;
        }
    }
    audit
}

async fn ask(client: &Client, upstream: SocketAddr) -> Option<Vec<Run>> {
    let request = Request::get("/ran").header(header::HOST, upstream.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let (response, lease) = client.send(upstream, request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    client.keep(lease);
    serde_json::from_slice(&body).ok()
}
