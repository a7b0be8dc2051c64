//! One catalogue entry: an owner, a class of work and its limits.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use serde_with::serde_as;

use crate::id;
use crate::unit::Milliseconds;
use crate::unit::Rate;

/// What the system must know before it reads a request's body.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's name, which callers give in a header or in the path.
    pub name: id::Entry,
    /// Whose requests these are.
    pub owner: id::Owner,
    /// The class of work.
    pub class: Class,
    /// What answers the requests.
    pub kind: Kind,
    /// Where the requests belong.
    pub home: Home,
    /// How much the owner may ask for through this entry.
    pub limits: Limits,
    /// How long a caller waits where it states no deadline of its own.
    #[serde_as(as = "Milliseconds")]
    pub deadline: Duration,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// What matters more when the home region is full.
    pub prefers: Preference,
    /// The owner's share against other owners' shares; 1 is the usual one.
    pub weight: u32,
    /// SHA-256 digests of the bearer tokens that may use the entry; none means that no token is asked for.
    pub tokens: Vec<TokenDigest>,
}

/// The class of work, from the most to the least urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Worthless when late; slots are kept free for it.
    Alert,
    /// A short question that somebody waits for.
    Short,
    /// A long answer that somebody waits for.
    Long,
    /// Work with hours of slack.
    Batch,
}

impl Class {
    /// The number of classes.
    pub const COUNT: usize = 4;

    /// All classes, the most urgent first.
    pub const ALL: [Self; Self::COUNT] = [Self::Alert, Self::Short, Self::Long, Self::Batch];

    /// The class's place in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// What answers an entry's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines that hold any one of these models.
    Engine {
        /// The models that a request may name; the first is the default.
        models: Vec<id::Model>,
    },
    /// Plain services that announce this name.
    Service {
        /// The name that the services announce among their models.
        name: id::Model,
    },
}

/// Where an entry's requests belong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Home {
    /// Served, cached and kept in this region alone.
    Bound(id::Region),
    /// Served in this region while it has room.
    Preferred(id::Region),
    /// Served in the region that the request came to.
    Anywhere,
}

impl Home {
    /// The home region, where there is one.
    pub fn region(&self) -> Option<&id::Region> {
        match self {
            Self::Bound(region) | Self::Preferred(region) => Some(region),
            Self::Anywhere => None,
        }
    }

    /// Whether requests may not leave the home region.
    pub fn is_bound(&self) -> bool {
        matches!(self, Self::Bound(_))
    }
}

/// How much an owner may ask for through one entry; true for the whole system, not for each VM.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests a second, over time.
    pub requests: Rate,
    /// Tokens a second, prompt and answer together, over time.
    pub tokens: Rate,
    /// Requests in progress at once.
    pub concurrency: u32,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The request is idempotent.
    Allowed,
    /// The request runs at most once, however often it is resent; callers must send a key.
    Never,
}

/// What matters more when the home region is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Tail latency: leave home early.
    Latency,
    /// Cost and the share sent away: wait at home.
    Home,
}

/// The SHA-256 digest of a bearer token; the catalogue never holds the token itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// The digest of these 32 bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The digest's bytes.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for TokenDigest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, hex::FromHexError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}
