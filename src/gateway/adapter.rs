//! How requests and answers look on the wire, and what those who watch over the daemon ask.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use hyper::body::Incoming;

use super::Call;
use super::Hub;
use crate::decide::place::Report;
use crate::http::Body;
use crate::http::Refusal;
use crate::id;

/// Decodes and encodes what goes through an entry VM. It decides nothing and keeps nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Decodes the head of a request; the refusal says what is wrong with it.
    fn call(&self, head: request::Parts) -> Result<Call, Refusal>;
    /// Adds what an upstream or another VM is told of this attempt.
    fn instruct(&self, instructions: &Instructions<'_>, headers: &mut HeaderMap);
    /// Decodes the head of an answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;
    /// Encodes a refusal.
    fn refuse(&self, refusal: &Refusal) -> Response<Body>;
}

/// Answers those who watch over the daemon: readiness, metrics, state.
pub trait Adapter: Dialect {
    /// Answers one of them.
    fn operate(
        &self,
        hub: Arc<Hub>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>>;

    /// Answers a caller that asks where to connect.
    fn look_up(&self, hub: &Hub, request: &Request<Incoming>) -> Response<Body>;
}

/// What goes with an attempt besides the request.
#[derive(Debug, Clone)]
pub struct Instructions<'a> {
    /// The time that is left for it.
    pub left: Duration,
    /// The upstream that is meant, by name: whoever has its address by now must not run it.
    pub upstream: Option<&'a id::Upstream>,
    /// Its rank among requests that compete; 0 goes first.
    pub rank: u8,
    /// The organisation whose caller sent it, for an upstream; none where nobody asks.
    pub organisation: Option<&'a id::Owner>,
    /// The last event that the caller has, where the answer is to go on after it.
    pub resume_after: Option<&'a str>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// The id of the request that it belongs to, where it says so.
    pub request: Option<String>,
    /// The upstream's receipt is there: it is an upstream's answer, and not one of a process of the system.
    pub is_receipted: bool,
    /// The upstream, or the VM, says that it did not run the request.
    pub is_not_run: bool,
    /// Another upstream than the one that was meant has the address.
    pub is_misdirected: bool,
    /// The load that the upstream tells.
    pub load: Option<Report>,
    /// How long the connection may be kept unused; none where it says nothing.
    pub idle: Option<Duration>,
    /// The connection ends with this answer.
    pub closes: bool,
    /// When the request may come back.
    pub retry_after: Option<Duration>,
}
