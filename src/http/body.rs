//! Bodies of requests and answers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use serde::Serialize;
use thiserror::Error;
use tokio::time;

use crate::http::memory::Budget;
use crate::http::memory::FREE_BYTES;

/// The body of every answer that this system gives. An error aborts the connection, so that a broken answer never
/// looks whole.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// A body that is too large is read and thrown away for so long.
const DISCARD: Duration = Duration::from_secs(2);

/// The answer can't be completed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the answer broke off: {0}")]
pub struct Broken(pub String);

/// Why a request's body was not read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// It is larger than the settings allow.
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    /// The bodies that the process holds leave no memory for it.
    #[error("there is no memory for the body at present")]
    NoMemory,
    /// The sender broke off.
    #[error("the body broke off")]
    BrokeOff,
}

/// A body of these bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|error: Infallible| match error {}).boxed_unsync()
}

/// An answer of that JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_else(|_| b"null".to_vec());
    text(status, "application/json", bytes)
}

/// An answer of that text.
pub fn text(
    status: StatusCode,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    response
}

/// Reads on for a moment and keeps nothing. A sender that is cut off while it still writes never reads the refusal:
/// its system throws it away with the connection.
async fn discard(mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    time::timeout(DISCARD, rest).await.ok();
}

/// Reads a body whole, up to a size in bytes, and as far as the budget has memory for it.
pub async fn read(mut body: Incoming, limit: u64, memory: &Budget) -> Result<Bytes, Error> {
    use hyper::body::Body as _;
    let announced = body.size_hint().lower();
    if announced > limit {
        discard(body).await;
        return Err(Error::TooLarge(limit));
    }
    let mut reservation = memory.reservation();
    let mut bytes = BytesMut::with_capacity(FREE_BYTES.min(announced as usize));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::BrokeOff)?;
        let Ok(data) = frame.into_data() else { continue };
        if (bytes.len() + data.len()) as u64 > limit {
            discard(body).await;
            return Err(Error::TooLarge(limit));
        }
        bytes.reserve(data.len());
        if !reservation.grow_to(bytes.capacity()) {
            drop((bytes, reservation));
            discard(body).await;
            return Err(Error::NoMemory);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(reservation.attach(bytes.freeze()))
}
