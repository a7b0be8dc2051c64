//! Bodies of answers.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use serde::Serialize;

/// A whole body or a stream; an error breaks the connection off.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

pub(crate) fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(whole(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Refuses a request as not run.
pub(crate) fn not_run() -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("mastic-ran", HeaderValue::from_static("no"));
    response
}
