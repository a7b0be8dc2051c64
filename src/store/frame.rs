//! Checksummed frames, the unit of writing.

use crc32fast::Hasher;

use super::Corruption;

/// Start of each frame, followed by the format version.
const MAGIC: [u8; 3] = *b"mst";
const FORMAT: u8 = 1;

/// Magic, format, length and checksum.
const HEADER_BYTES: usize = 12;

/// Binds a checksum to one file of one replica.
///
/// The log contains callers' data, which could imitate a frame: behind a torn frame it would make a
/// recoverable tail look like corruption. The salt derives from the identity, which callers don't
/// know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Salt(u32);

impl Salt {
    pub const fn new(identity: u128, number: u64) -> Self {
        let mixed = identity ^ ((number as u128) << 64 | number as u128);
        Self((mixed ^ (mixed >> 32) ^ (mixed >> 64) ^ (mixed >> 96)) as u32)
    }
}

/// Encodes a payload as a frame.
pub fn encode(payload: &[u8], salt: Salt) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("payload length fits in 32 bits");
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.push(FORMAT);
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&checksum(length, payload, salt).to_be_bytes());
    frame.extend_from_slice(payload);
    frame
}

fn checksum(length: u32, payload: &[u8], salt: Salt) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&salt.0.to_be_bytes());
    hasher.update(&length.to_be_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Iterates over the frames of a file.
#[derive(Debug)]
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
    salt: Salt,
}

impl<'a> Frames<'a> {
    pub const fn new(bytes: &'a [u8], salt: Salt) -> Self {
        Self { bytes, at: 0, salt }
    }

    /// The end of the frames read so far.
    pub const fn offset(&self) -> usize {
        self.at
    }

    /// The next payload, `None` at the end of the file, or the corruption at the offset.
    pub fn next(&mut self) -> Result<Option<&'a [u8]>, Corruption> {
        let rest = &self.bytes[self.at..];
        if rest.is_empty() {
            return Ok(None);
        }
        let payload = decode(rest, self.salt)?;
        self.at += HEADER_BYTES + payload.len();
        Ok(Some(payload))
    }

    /// Whether a valid frame follows the offset, so that an invalid one here is not a torn tail.
    pub fn has_later_frame(&self) -> bool {
        let rest = self.bytes.get(self.at + 1..).unwrap_or_default();
        (0..rest.len())
            .any(|at| rest[at..].starts_with(&MAGIC) && decode(&rest[at..], self.salt).is_ok())
    }
}

fn decode(bytes: &[u8], salt: Salt) -> Result<&[u8], Corruption> {
    let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>().ok_or(Corruption::Checksum)?;
    let [m0, m1, m2, format, l0, l1, l2, l3, c0, c1, c2, c3] = *header;
    if [m0, m1, m2] != MAGIC {
        return Err(Corruption::Checksum);
    }
    if format != FORMAT {
        return Err(Corruption::Format(format));
    }
    let length = u32::from_be_bytes([l0, l1, l2, l3]);
    let payload = rest.get(..length as usize).ok_or(Corruption::Checksum)?;
    if checksum(length, payload, salt) != u32::from_be_bytes([c0, c1, c2, c3]) {
        return Err(Corruption::Checksum);
    }
    Ok(payload)
}
