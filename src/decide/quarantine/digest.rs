//! Digests that identify resent requests.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest as _;
use sha2::Sha256;

use crate::id;

/// A 128-bit digest of the entry and body of a request, shared between VMs in place of the body.
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
