//! Short names for keys and bodies.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest as _;
use sha2::Sha256;

use crate::id;

/// The length of a digest in bytes.
pub const BYTES: usize = 16;

/// The first half of a SHA-256 digest.
///
/// Callers choose keys and bodies, so a digest that can be forged would let one owner's key block another's. With
/// 128 bits a second key of the same digest is out of reach; half the bytes halve the memory of a key.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// The digest of a request: its entry, and the parts of its body in order.
    pub fn of_request<'a>(entry: &id::Entry, parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        hash.update(entry.as_str());
        hash.update([0]);
        parts.into_iter().for_each(|part| hash.update(part));
        Self::first_half(hash)
    }

    /// The digest of an owner's key.
    pub(super) fn of_key(owner: &id::Owner, key: &id::Key) -> Self {
        let mut hash = Sha256::new();
        hash.update(owner.as_str());
        hash.update([0]);
        hash.update(key.as_str());
        Self::first_half(hash)
    }

    /// The digest of these bytes.
    pub const fn new(bytes: [u8; BYTES]) -> Self {
        Self(bytes)
    }

    /// The digest's bytes.
    pub const fn as_bytes(&self) -> &[u8; BYTES] {
        &self.0
    }

    fn first_half(hash: Sha256) -> Self {
        let whole = hash.finalize();
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&whole[..BYTES]);
        Self(bytes)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
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
        let mut bytes = [0; BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}
