//! Segment files of the log.

use super::Corruption;
use super::Disk;
use super::Error;
use super::frame;
use super::frame::Salt;
use super::record;
use super::record::Header;

const PREFIX: &str = "log-";

/// The number of the first segment of a new log.
pub(super) const FIRST: u64 = 1;

/// Creates a segment with its header, durably, and returns its size.
pub(super) fn create(disk: &mut impl Disk, header: &Header) -> Result<usize, Error> {
    let name = name(header.number);
    let bytes = frame::encode(&record::encode(header), Salt::new(header.id.get(), header.number));
    disk.append(&name, &bytes).map_err(Error::file(&name))?;
    disk.sync(&name).map_err(Error::file(&name))?;
    disk.sync_folder().map_err(Error::file(&name))?;
    Ok(bytes.len())
}

/// Checks that the segment numbers are contiguous.
pub(super) fn check(numbers: &[u64]) -> Result<(), Error> {
    let gap = numbers.windows(2).find(|pair| pair[0] + 1 != pair[1]);
    gap.map_or(Ok(()), |pair| Err(Error::corrupt(&name(pair[0] + 1), 0, Corruption::Missing)))
}

/// The file name of a segment.
pub(super) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

/// The numbers of all segments, in ascending order.
pub(super) fn numbers(names: &[String]) -> Vec<u64> {
    let digits = names.iter().filter_map(|name| name.strip_prefix(PREFIX));
    let mut numbers: Vec<u64> =
        digits.filter_map(|digits| u64::from_str_radix(digits, 16).ok()).collect();
    numbers.sort_unstable();
    numbers
}
