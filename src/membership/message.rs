//! What members send each other.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::fact::Fact;
use super::key::Key;
use super::stamp::Stamp;
use crate::id;

/// The number of a probe, by which its answer is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub(super) u32);

/// The place and stamp of a fact, without its content.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Line {
    /// The fact's key.
    #[serde(rename = "k")]
    pub key: Key,
    /// The fact's stamp.
    #[serde(rename = "t")]
    pub stamp: Stamp,
}

/// What members send each other. The short names keep messages small.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// A probe. It names the region, so that a VM of another one is never taken in.
    #[serde(rename = "p")]
    Ping {
        /// Recognises the answer.
        #[serde(rename = "n")]
        nonce: Nonce,
        /// The digest of all facts that the sender has.
        #[serde(rename = "d")]
        digest: u64,
        /// The sender's region.
        #[serde(rename = "r")]
        region: id::Region,
    },
    /// The answer to a probe.
    #[serde(rename = "a")]
    Ack {
        /// Of the probe.
        #[serde(rename = "n")]
        nonce: Nonce,
        /// The digest of all facts that the sender has.
        #[serde(rename = "d")]
        digest: u64,
    },
    /// Asks for a probe of a VM that doesn't answer the sender.
    #[serde(rename = "i")]
    Probe {
        /// Of the sender's own probe.
        #[serde(rename = "n")]
        nonce: Nonce,
        /// The VM to probe.
        #[serde(rename = "t")]
        target: id::Vm,
    },
    /// The indirectly probed VM answers.
    #[serde(rename = "j")]
    Answers {
        /// Of the asking VM's probe.
        #[serde(rename = "n")]
        nonce: Nonce,
    },
    /// Facts that may be new.
    #[serde(rename = "f")]
    Facts(Vec<Arc<Fact>>),
    /// The sender's digests per bucket: which facts differ?
    #[serde(rename = "b")]
    Buckets(Vec<u64>),
    /// What the sender has in the buckets that differ.
    #[serde(rename = "l")]
    Lines {
        /// The buckets that are listed whole.
        #[serde(rename = "b")]
        buckets: Vec<u8>,
        /// What they hold.
        #[serde(rename = "l")]
        lines: Vec<Line>,
    },
    /// Asks for facts by their keys.
    #[serde(rename = "w")]
    Want(Vec<Key>),
    /// The digest of the sender's region, for a VM of another one.
    #[serde(rename = "r")]
    Digest {
        /// About the sender's region, none if it has no digest yet.
        #[serde(rename = "f")]
        fact: Option<Arc<Fact>>,
        /// Whether the other region's digest is asked for.
        #[serde(rename = "a")]
        answer: bool,
    },
}
