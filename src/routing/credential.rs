//! The keys that callers show, kept as digests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;

/// Bytes of a digest: keys that are not random are found by guessing at any length.
const LENGTH: usize = 16;

/// Keeps these digests apart from digests of the same text made for another purpose.
const DOMAIN: &[u8] = b"masticstream caller key\0";

/// The digest of a key.
///
/// A key opens what its organisation may do. It stands in the operator's own text alone; VMs, logs and dumps have the digest,
/// which no caller can show in its place.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Credential(#[serde_as(as = "Bytes")] [u8; LENGTH]);

impl Credential {
    /// The digest of a key as its caller sends it.
    pub fn new(key: &[u8]) -> Self {
        let digest = Sha256::new().chain_update(DOMAIN).chain_update(key).finalize();
        let mut short = [0; LENGTH];
        short.copy_from_slice(&digest[..LENGTH]);
        Self(short)
    }
}

/// Shows nothing of the key, nor enough of its digest to guess the key by.
impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

#[cfg(test)]
mod tests;
