//! What the entry daemon knows of one request.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalogue;
use crate::catalogue::Kind;
use crate::decide::quarantine;
use crate::decide::route::Criteria;
use crate::http::Reason;
use crate::http::Refusal;
use crate::id;
use crate::ledger::Digest;
use crate::unit::Bytes as Size;
use crate::unit::Tokens;
use crate::unit::Version;
use crate::upstream;

/// Tokens of an answer where the request names no bound.
const USUAL_ANSWER: u64 = 256;
/// Bytes of English text for one token, as tokenizers of the usual models have it.
const BYTES_PER_TOKEN: u64 = 4;
/// A prompt's prefixes are told apart at these lengths in bytes: a system prompt, a short and a long history.
const PREFIX_BYTES: [usize; 4] = [256, 1024, 4096, 16384];

/// The homes of an entry, as of the moment at which the request's entry was looked up.
///
/// Home, version and past homes must be of one moment. Failure: the home moves while the request waits, the old home
/// is sent a start that names the new home's version, and its check against late starts lets it through: the key
/// runs in both.
#[derive(Debug, Clone, Default)]
pub struct Origin {
    /// The version of the catalogue since which the home is the home.
    pub since: Version,
    /// Regions that were the home before, and still answer for their keys.
    pub past: Vec<id::Region>,
}

impl Origin {
    /// The homes of an entry's record.
    pub fn new(record: &catalogue::Record) -> Self {
        let past = record.past_homes.iter().map(|past| past.region.clone()).collect();
        Self { since: record.home_since, past }
    }
}

/// A request whose head and body are read and checked.
#[derive(Debug)]
pub struct Job {
    /// Its number here.
    pub request: id::Request,
    /// The catalogue entry.
    pub entry: Arc<catalogue::Entry>,
    /// The entry's homes, as of the same moment.
    pub origin: Origin,
    /// The caller's key, where there is one.
    pub key: Option<id::Key>,
    /// What the upstream is asked.
    pub method: Method,
    /// Path and query at the upstream.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
    /// Tells the request from others that upstreams may have died of, whatever their keys.
    pub suspicion: quarantine::Digest,
    /// The same for the parts of its prompt that other requests may share.
    pub parts: Vec<quarantine::Digest>,
    /// Tells the request from others under the same key.
    pub digest: Digest,
    /// The model, or the service's name.
    pub model: id::Model,
    /// Whether the answer is a stream of events.
    pub events: bool,
    /// The tokens that it will use, prompt and answer together, as far as can be told before.
    pub tokens: Tokens,
    /// The tokens of the prompt, estimated.
    pub prompt: Tokens,
    /// Digests of the prompt's prefixes, the shortest first.
    pub prefix: Vec<u64>,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// When it came.
    pub arrived: Instant,
    /// The VMs that it went through before this one.
    pub hops: Vec<id::Vm>,
}

/// The members of a model request that matter here; all others pass untouched.
#[derive(Deserialize)]
struct Asked<'a> {
    model: Option<String>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// What a request's body tells.
#[derive(Debug)]
pub struct Content {
    /// The model, or the service's name.
    pub model: id::Model,
    /// Whether the answer is a stream of events.
    pub events: bool,
    /// The tokens that it will use, prompt and answer together.
    pub tokens: Tokens,
    /// The tokens of the prompt, estimated.
    pub prompt: Tokens,
    /// Digests of the prompt's prefixes.
    pub prefix: Vec<u64>,
}

impl Content {
    /// Reads the body of a request for that entry.
    pub fn read(entry: &catalogue::Entry, body: &[u8]) -> Result<Self, Refusal> {
        match &entry.kind {
            Kind::Service { name } => Ok(Self {
                model: name.clone(),
                events: false,
                tokens: Tokens::ZERO,
                prompt: Tokens::ZERO,
                prefix: Vec::new(),
            }),
            Kind::Engine { models } => Self::of_engine(models, body),
        }
    }

    fn of_engine(models: &[id::Model], body: &[u8]) -> Result<Self, Refusal> {
        let asked: Asked<'_> = serde_json::from_slice(body)
            .map_err(|error| Refusal::new(Reason::BadRequest, format!("the body: {error}")))?;
        let text = asked.messages.or(asked.prompt).map(RawValue::get);
        let text = text.ok_or_else(|| {
            Refusal::new(Reason::BadRequest, "the body has neither messages nor a prompt")
        })?;
        let model = match &asked.model {
            Some(name) => models.iter().find(|model| model.as_str() == name.as_str()),
            None => models.first(),
        };
        let model = model.ok_or_else(|| {
            let offered: Vec<&str> = models.iter().map(id::Model::as_str).collect();
            Refusal::new(Reason::UnknownModel, format!("the entry offers {}", offered.join(", ")))
        })?;
        let answer = asked.max_completion_tokens.or(asked.max_tokens).unwrap_or(USUAL_ANSWER);
        let prompt = text.len() as u64 / BYTES_PER_TOKEN;
        let cut = |length: &usize| xxh3_64(&text.as_bytes()[..(*length).min(text.len())]);
        let prefix = PREFIX_BYTES.iter().filter(|length| **length <= text.len()).map(cut).collect();
        let prompt = Tokens::new(prompt);
        let tokens = prompt + Tokens::new(answer);
        Ok(Self { model: model.clone(), events: asked.stream, tokens, prompt, prefix })
    }
}

/// The digest of a request, by which a resend is known from another request under the same key.
pub fn digest(entry: &id::Entry, method: &Method, path: &str, body: &[u8]) -> Digest {
    Digest::of_request(entry, [method.as_str().as_bytes(), path.as_bytes(), body])
}

impl Job {
    /// What upstreams may die of: the request and the parts of its prompt.
    pub fn suspects(&self) -> impl Iterator<Item = &quarantine::Digest> {
        [&self.suspicion].into_iter().chain(&self.parts)
    }

    /// What the choice of an upstream rests on.
    pub fn facts<'a>(&'a self, avoid: &'a [id::Upstream]) -> Criteria<'a> {
        let kind = match self.entry.kind {
            Kind::Engine { .. } => upstream::Kind::Engine,
            Kind::Service { .. } => upstream::Kind::Service,
        };
        Criteria::new(&self.model, self.entry.class)
            .with_kind(kind)
            .with_prefix(&self.prefix)
            .with_excluded(avoid)
    }

    /// The memory that the request holds while it waits.
    pub fn size(&self) -> Size {
        Size::new(self.body.len() as u64 + self.path.len() as u64)
    }

    /// Whether another VM passed the request on, and decides what becomes of it.
    pub fn is_forwarded(&self) -> bool {
        !self.hops.is_empty()
    }

    /// Whether the request may run more than once.
    pub fn may_repeat(&self) -> bool {
        self.entry.repeat == catalogue::Repeat::Allowed
    }
}
