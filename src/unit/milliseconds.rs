//! The form of durations in messages and files.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

/// Encodes a duration as whole milliseconds, rounded to the nearest.
///
/// A duration that is too long for 64 bits is encoded as the longest possible one, so that no value makes encoding fail.
#[derive(Debug)]
pub struct Milliseconds;

impl SerializeAs<Duration> for Milliseconds {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        let rounded = source.saturating_add(Duration::from_micros(500)).as_millis();
        u64::try_from(rounded).unwrap_or(u64::MAX).serialize(serializer)
    }
}

impl<'de> DeserializeAs<'de, Duration> for Milliseconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}
