//! Digests that identify resent requests.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest as _;
use sha2::Sha256;

use crate::id;

/// A 128-bit digest of what a resent request has in common with the one before, shared between VMs in place of the body.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; 16]);

impl Digest {
    /// The digest of a request of this entry with this body.
    pub fn of(entry: &id::Entry, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update(entry.as_str());
        hash.update([0]);
        hash.update(body);
        Self::finish(hash)
    }

    /// The digest of an HTTP request: its method, host, path with query, organisation and body.
    ///
    /// Headers don't count, since a caller may send others with each resend: ids, timeouts, traces.
    pub fn of_call(head: [&str; 3], organisation: Option<&id::Owner>, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        let organisation = organisation.map_or("", id::Owner::as_str);
        for part in head.into_iter().chain([organisation]) {
            // Without the length, two different heads could have the same digest.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(body);
        Self::finish(hash)
    }

    /// The digest of a part of a prompt, which ends in the part's key.
    pub fn of_part(key: u64) -> Self {
        let mut bytes = [0; 16];
        bytes[8..].copy_from_slice(&key.to_be_bytes());
        Self(bytes)
    }

    /// Whether it is that of a part of a prompt, as far as can be known.
    pub fn is_part(&self) -> bool {
        self.0[..8] == [0; 8]
    }

    /// Half of the bits of the digest, for rendezvous hashing.
    pub fn key(&self) -> u64 {
        let half = |bytes: &[u8]| bytes.iter().fold(0, |key, byte| key << 8 | u64::from(*byte));
        half(&self.0[..8]) ^ half(&self.0[8..])
    }

    fn finish(hash: Sha256) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize()[..16]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, hex::FromHexError> {
        let mut bytes = [0; 16];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}
