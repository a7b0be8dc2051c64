//! Operators of a control daemon: health, metrics and the state of its replicas.

use std::fmt::Write;
use std::sync::Arc;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use crate::control::service::Service;
use crate::dump;
use crate::http::Body;
use crate::http::body;
use crate::http::operator;
use crate::settings::Site;

/// Answers an operator of a control daemon.
pub async fn answer(
    service: Arc<Service>,
    site: Arc<Site>,
    request: Request<Incoming>,
) -> Response<Body> {
    let replicas = dump::replicas(&service);
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => body::text(StatusCode::OK, "text/plain", "ok\n"),
        (&Method::GET, "/metrics") => metrics(&replicas),
        (&Method::GET, "/status" | "/dump") if operator::is_allowed(&site, &request) => {
            body::json(StatusCode::OK, &replicas)
        }
        (&Method::GET, "/status" | "/dump") => {
            body::text(StatusCode::UNAUTHORIZED, "text/plain", "show the operators' token\n")
        }
        _ => body::text(
            StatusCode::NOT_FOUND,
            "text/plain",
            "there are /healthz, /metrics, /status and /dump\n",
        ),
    }
}

/// One line for each group and figure, in the text format of OpenMetrics.
fn metrics(replicas: &[dump::Replica]) -> Response<Body> {
    let mut text = String::new();
    for (name, help, value) in FIGURES {
        writeln!(text, "# HELP mastic_{name} {help}\n# TYPE mastic_{name} gauge").ok();
        for replica in replicas {
            writeln!(text, "mastic_{name}{{group=\"{}\"}} {}", replica.group, value(replica)).ok();
        }
    }
    text += "# EOF\n";
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    body::text(StatusCode::OK, kind, text)
}

type Figure = (&'static str, &'static str, fn(&dump::Replica) -> u64);

const FIGURES: [Figure; 4] = [
    ("replica_running", "Whether the replica runs", |replica| u64::from(replica.status.is_some())),
    ("replica_leads", "Whether the replica leads", |replica| {
        replica.status.as_ref().map_or(0, |status| u64::from(status.leads))
    }),
    ("replica_commit_index", "The last committed index", |replica| {
        replica.status.as_ref().map_or(0, |status| status.commit.get())
    }),
    ("replica_dropped_messages", "Messages that found no room", |replica| {
        replica.status.as_ref().map_or(0, |status| status.dropped)
    }),
];
