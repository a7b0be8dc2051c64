//! An honest refusal: what went wrong, whether the request ran, and when to come back.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde::Serialize;

use crate::decide::retry::Ran;
use crate::http::body;
use crate::http::body::Body;
use crate::http::engine;

/// Why a request is refused. The names are stable; programs may rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request can't be read.
    BadRequest,
    /// The headers or the path name no catalogue entry.
    UnknownEntry,
    /// The entry asks for a bearer token that the request doesn't show.
    Unauthorized,
    /// The body is larger than the settings allow.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The entry's requests run at most once, and this one has no idempotency key.
    KeyMissing,
    /// The key was used for another body before.
    KeyReused,
    /// The entry does not offer the model.
    UnknownModel,
    /// The request has been here before.
    Loop,
    /// The entry is bound to a region that can't be reached from here.
    HomeUnreachable,
    /// The owner has used up its limits.
    Limit,
    /// There is no room: the deadline could not be met.
    Overload,
    /// The deadline passed before the request could run.
    TooLate,
    /// No upstream is there that could run the request.
    NoUpstream,
    /// The process has just started and has no catalogue yet; another VM takes the request.
    Starting,
    /// The process can't show that its configuration is current; another VM takes the request.
    Outdated,
    /// The process is shutting down; another VM takes the request.
    Draining,
    /// The request ended each upstream that ran it.
    Quarantined,
    /// The record of what ran can't be reached, and without it the request might run twice.
    LedgerUnreachable,
    /// The request was started before, and what came of it is not known.
    OutcomeUnknown,
    /// The upstream broke off or gave a wrong answer.
    UpstreamFailed,
    /// No such path.
    NotFound,
}

impl Reason {
    /// The HTTP status that tells the reason best.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::KeyMissing => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::UnknownEntry | Self::UnknownModel | Self::NotFound => StatusCode::NOT_FOUND,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::OutcomeUnknown => StatusCode::CONFLICT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused | Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Limit => StatusCode::TOO_MANY_REQUESTS,
            Self::Loop => StatusCode::LOOP_DETECTED,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::TooLate => StatusCode::GATEWAY_TIMEOUT,
            Self::HomeUnreachable
            | Self::Overload
            | Self::NoUpstream
            | Self::Starting
            | Self::Outdated
            | Self::Draining
            | Self::LedgerUnreachable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The reason's stable name.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownEntry => "unknown-entry",
            Self::Unauthorized => "unauthorized",
            Self::TooLarge => "too-large",
            Self::SlowBody => "slow-body",
            Self::KeyMissing => "key-missing",
            Self::KeyReused => "key-reused",
            Self::UnknownModel => "unknown-model",
            Self::Loop => "loop",
            Self::HomeUnreachable => "home-unreachable",
            Self::Limit => "limit",
            Self::Overload => "overload",
            Self::TooLate => "too-late",
            Self::NoUpstream => "no-upstream",
            Self::Starting => "starting",
            Self::Outdated => "outdated",
            Self::Draining => "draining",
            Self::Quarantined => "quarantined",
            Self::LedgerUnreachable => "ledger-unreachable",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::UpstreamFailed => "upstream-failed",
            Self::NotFound => "not-found",
        }
    }
}

/// A refusal, on its way to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back; none where coming back won't help.
    pub retry_after: Option<Duration>,
    /// What a person should know besides.
    pub detail: String,
}

/// RFC 9457, with members of our own for `ran` and the time to come back.
#[derive(Debug, Serialize, Deserialize)]
pub struct Problem {
    /// A stable name of the reason, as a URN.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason for a person.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What a person should know besides.
    pub detail: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// What comes before a reason's name in a problem's type.
pub const TYPE_PREFIX: &str = "urn:masticstream:refusal:";

impl Refusal {
    /// A refusal of a request that surely ran nowhere.
    pub fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, ran: Ran::No, retry_after: None, detail: detail.into() }
    }

    /// The same, of a request that may have run.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// The same, with the time to come back.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The problem document.
    pub fn problem(&self) -> Problem {
        Problem {
            kind: format!("{TYPE_PREFIX}{}", self.reason.name()),
            title: self.reason.name().replace('-', " "),
            status: self.reason.status().as_u16(),
            detail: self.detail.clone(),
            ran: self.ran,
            retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
        }
    }

    /// The refusal as an answer.
    pub fn response(&self) -> Response<Body> {
        let mut response = body::json(self.reason.status(), &self.problem());
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        let ran = match self.ran {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        headers.insert(engine::RAN, HeaderValue::from_static(ran));
        if let Some(after) = self.retry_after {
            // The header counts whole seconds; rounding up never calls a caller back too early.
            let seconds = after.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.reason == Reason::Unauthorized {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}
