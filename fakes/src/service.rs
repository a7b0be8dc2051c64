//! A plain service: any method and path; each execution counts.

use std::io;
use std::sync::Arc;

use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time;

use crate::answer;
use crate::body;
use crate::body::Body;
use crate::fault::Fault;
use crate::run::Outcome;
use crate::run::Run;
use crate::state::State;

/// Pieces of a service's answer.
const PIECES: usize = 8;

/// Executes a request; the answer is a function of method, path and body, whichever service gives it.
pub(crate) async fn handle(
    state: Arc<State>,
    request: Request<Incoming>,
    connection: u64,
) -> io::Result<Response<Body>> {
    let (parts, incoming) = request.into_parts();
    let bytes = incoming.collect().await.map_err(io::Error::other)?.to_bytes();
    let content = String::from_utf8_lossy(&bytes);
    let prompt = format!("{} {}\n{content}", parts.method, parts.uri.path());
    let fault = state.fault(&prompt);
    if fault == Some(Fault::Refuse) {
        return Ok(body::not_run());
    }
    let text = |name: &str| Some(parts.headers.get(name)?.to_str().ok()?.to_owned());
    let priority = text("mastic-priority").and_then(|text| text.parse().ok()).unwrap_or(0);
    let _permit = state.slots().take(priority).await;
    let guard = state.log.begin(Run {
        attempt: text("mastic-attempt"),
        key: text("idempotency-key"),
        prompt: answer::digest(&prompt),
        priority,
        outcome: Outcome::Running,
    });
    let slowdown = state.with(|inner| inner.slowdown);
    time::sleep(state.settings.token_time.mul_f64(slowdown)).await;
    match fault {
        Some(Fault::Crash) => {
            state.crash.notify_one();
            return std::future::pending().await;
        }
        Some(Fault::SilentAfter(_)) => return std::future::pending().await,
        Some(Fault::CutAfter(_)) => return Err(io::Error::other("cut")),
        Some(Fault::Late(late) | Fault::Slow(late)) => time::sleep(late).await,
        Some(Fault::Crossed | Fault::Refuse) | None => {}
    }
    if state.is_silent(connection) {
        return std::future::pending().await;
    }
    guard.complete();
    let mut response = body::json(
        StatusCode::OK,
        &json!({
            "method": parts.method.as_str(),
            "path": parts.uri.path(),
            "answer": answer::answer(&prompt, PIECES),
        }),
    );
    if let Some(attempt) = parts.headers.get("mastic-attempt") {
        let crossed = http::HeaderValue::from_static("ffffffffffffffffffffffffffffffff");
        let echoed = if fault == Some(Fault::Crossed) { crossed } else { attempt.clone() };
        response.headers_mut().insert("mastic-attempt", echoed);
    }
    Ok(response)
}
