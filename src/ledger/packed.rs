//! Keys in snapshots, as one run of bytes: a tenth of the time and a third of the size of a CBOR map.

use super::Digest;
use super::digest::BYTES;

/// A list of digests.
pub(super) mod digests {
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;
    use serde_with::Bytes;
    use serde_with::DeserializeAs;
    use serde_with::SerializeAs;

    use super::BYTES;
    use super::Digest;
    use super::digest_at;

    pub fn serialize<S: Serializer>(digests: &[Digest], serializer: S) -> Result<S::Ok, S::Error> {
        let bytes: Vec<u8> = digests.iter().flat_map(|digest| *digest.as_bytes()).collect();
        Bytes::serialize_as(&bytes, serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Digest>, D::Error> {
        let bytes: Vec<u8> = Bytes::deserialize_as(deserializer)?;
        if !bytes.len().is_multiple_of(BYTES) {
            return Err(D::Error::custom("a list of digests ends within a digest"));
        }
        Ok(bytes.chunks_exact(BYTES).filter_map(digest_at).collect())
    }
}

/// The keys whose requests ended.
pub(super) mod ended {
    use std::collections::BTreeMap;

    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;
    use serde_with::Bytes;
    use serde_with::DeserializeAs;
    use serde_with::SerializeAs;

    use super::super::Outcome;
    use super::super::keys::Ended;
    use super::BYTES;
    use super::Digest;
    use super::digest_at;

    /// Key, body, outcome and group.
    const RECORD_BYTES: usize = BYTES + BYTES + 1 + size_of::<u32>();

    pub fn serialize<S: Serializer>(
        ended: &BTreeMap<Digest, Ended>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::with_capacity(ended.len() * RECORD_BYTES);
        for (key, ended) in ended {
            bytes.extend_from_slice(key.as_bytes());
            bytes.extend_from_slice(ended.body.as_bytes());
            bytes.push(u8::from(ended.outcome == Outcome::Broken));
            bytes.extend_from_slice(&ended.group.to_be_bytes());
        }
        Bytes::serialize_as(&bytes, serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<Digest, Ended>, D::Error> {
        let bytes: Vec<u8> = Bytes::deserialize_as(deserializer)?;
        let records = bytes.chunks(RECORD_BYTES).map(record_at);
        records.collect::<Option<_>>().ok_or_else(|| D::Error::custom("a key's record is damaged"))
    }

    fn record_at(bytes: &[u8]) -> Option<(Digest, Ended)> {
        let body = digest_at(bytes.get(BYTES..)?)?;
        let outcome = match bytes.get(2 * BYTES)? {
            0 => Outcome::Whole,
            1 => Outcome::Broken,
            _ => return None,
        };
        let group = u32::from_be_bytes(bytes.get(2 * BYTES + 1..)?.try_into().ok()?);
        Some((digest_at(bytes)?, Ended { body, outcome, group }))
    }
}

fn digest_at(bytes: &[u8]) -> Option<Digest> {
    bytes.first_chunk::<BYTES>().map(|bytes| Digest::new(*bytes))
}
