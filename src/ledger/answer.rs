//! What a request came to.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::serde_as;

/// How a request ended that did run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer was had from the upstream.
    Whole,
    /// The upstream began, and the answer broke off; what it did can't be told.
    Broken,
}

/// A whole answer, kept for resends.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub media: Arc<str>,
    /// The body.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

impl Answer {
    /// An answer of that status, media type and body.
    pub fn new(status: u16, media: &str, body: Vec<u8>) -> Self {
        Self { status, media: Arc::from(media), body }
    }

    /// The bytes that it takes to keep it.
    pub(super) fn size(&self) -> u64 {
        (self.body.len() + self.media.len()) as u64
    }
}
