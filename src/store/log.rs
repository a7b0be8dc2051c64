//! The log: segments of checksummed frames, the last of which is open for writing.

use super::Corruption;
use super::Disk;
use super::Error;
use super::frame;
use super::frame::Salt;
use super::identity::write_atomically;
use super::record;
use super::record::Header;
use super::record::Record;
use super::replay::Replay;
use super::scan::Scan;
use super::segment;
use crate::consensus::HardState;
use crate::consensus::Persist;
use crate::consensus::Snapshot;
use crate::id;
use crate::unit::Index;

const TEMPORARY_NAME: &str = "segment.new";

/// Size at which a segment is closed. The last segment is rewritten at each start, and only whole
/// segments can be removed.
const SEGMENT_BYTES: usize = 4 << 20;

/// The log of a replica, open for writing.
#[derive(Debug)]
pub struct Log<D> {
    disk: D,
    id: id::Replica,
    hard: HardState,
    base: Snapshot,
    /// Ordered by number; the last one is open for writing.
    segments: Vec<Segment>,
    size: usize,
    limit: usize,
    poisoned: bool,
}

#[derive(Debug, Clone, Copy)]
struct Segment {
    number: u64,
    /// The highest index ever written to it.
    last: Index,
}

impl<D: Disk> Log<D> {
    /// Writes and syncs a batch atomically: after a crash, either all or none of it is present.
    pub fn append(&mut self, writes: &[Persist]) -> Result<(), Error> {
        self.run_or_poison(|log| log.write(writes))
    }

    /// Removes segments without entries after `through`. The snapshot, which must be persisted,
    /// covers all entries removed.
    pub fn compact(&mut self, through: Index, snapshot: &Snapshot) -> Result<(), Error> {
        self.base = snapshot.clone();
        let through = through.min(snapshot.position.index);
        self.run_or_poison(|log| log.remove_through(through))
    }

    /// Sets the size at which segments are closed.
    #[must_use]
    pub const fn with_segment_bytes(mut self, bytes: usize) -> Self {
        self.limit = bytes;
        self
    }

    /// Runs a write, and refuses all later ones if it fails.
    ///
    /// After a failed sync the kernel may drop the dirty pages, so a retry can succeed although the
    /// data never reached the disk.
    fn run_or_poison(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), Error>,
    ) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        self.poisoned = true;
        write(self)?;
        self.poisoned = false;
        Ok(())
    }

    fn write(&mut self, writes: &[Persist]) -> Result<(), Error> {
        let records: Vec<Record> = writes.iter().flat_map(Record::from_write).collect();
        if records.is_empty() {
            return Ok(());
        }
        let resets = writes.iter().any(|persist| persist.reset.is_some());
        if self.size >= self.limit || resets {
            self.begin_segment()?;
        }
        let number = self.current().number;
        let name = segment::name(number);
        let bytes = frame::encode(&record::encode(&records), Salt::new(self.id.get(), number));
        self.disk.append(&name, &bytes).map_err(Error::file(&name))?;
        self.disk.sync(&name).map_err(Error::file(&name))?;
        self.size += bytes.len();
        records.iter().for_each(|record| self.track(record));
        if resets { self.remove_through(Index::new(u64::MAX)) } else { Ok(()) }
    }

    fn track(&mut self, record: &Record) {
        match record {
            Record::Hard(hard) => self.hard = *hard,
            Record::Reset(snapshot) => self.base = snapshot.clone(),
            Record::Truncate(_) => {}
            Record::Entries(_) => {
                let segment = self.current();
                segment.last = segment.last.max(record.last_index());
            }
        }
    }

    fn begin_segment(&mut self) -> Result<(), Error> {
        let number = self.current().number + 1;
        let header = Header { id: self.id, number, hard: self.hard, base: self.base.clone() };
        self.size = segment::create(&mut self.disk, &header)?;
        self.segments.push(Segment { number, last: Index::ZERO });
        Ok(())
    }

    /// Removes segments one at a time, so that a crash leaves no gap in their numbers.
    fn remove_through(&mut self, through: Index) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last <= through {
            let name = segment::name(self.segments.remove(0).number);
            self.disk.remove(&name).map_err(Error::file(&name))?;
            self.disk.sync_folder().map_err(Error::file(&name))?;
        }
        Ok(())
    }

    fn current(&mut self) -> &mut Segment {
        self.segments.last_mut().expect("a log has at least one segment")
    }

    /// Reads the log, truncates its torn tail and opens it for writing.
    pub(super) fn open(mut disk: D, id: id::Replica) -> Result<(Self, Replay), Error> {
        let mut numbers = segment::numbers(&disk.names().map_err(Error::file("."))?);
        segment::check(&numbers)?;
        let mut replay = None;
        let mut segments = Vec::new();
        let mut contents = Vec::new();
        while let Some(&number) = numbers.get(segments.len()) {
            let is_last = segments.len() + 1 == numbers.len();
            let mut bytes =
                disk.read(&segment::name(number)).map_err(Error::file(&segment::name(number)))?;
            let Some(scan) = Scan::read(&bytes, id, number, is_last, &mut replay)? else {
                numbers.pop();
                disk.remove(&segment::name(number)).map_err(Error::file(&segment::name(number)))?;
                break;
            };
            bytes.truncate(scan.length);
            contents = bytes;
            segments.push(Segment { number, last: scan.last });
        }
        let missing = || Error::corrupt(&segment::name(segment::FIRST), 0, Corruption::Missing);
        let replay = replay.ok_or_else(missing)?;
        let last = segment::name(segments.last().ok_or_else(missing)?.number);
        // After a failed sync and a restart, the page cache may hold writes that never reached the
        // disk. Rewriting the last segment persists them before they are acknowledged.
        write_atomically(&mut disk, TEMPORARY_NAME, &last, &[&contents])?;
        let (hard, base) = (replay.hard, replay.base.clone());
        let size = contents.len();
        let log =
            Self { disk, id, hard, base, segments, size, limit: SEGMENT_BYTES, poisoned: false };
        Ok((log, replay))
    }
}

/// Creates the log of a new folder.
pub(super) fn create(disk: &mut impl Disk, id: id::Replica) -> Result<(), Error> {
    for left in segment::numbers(&disk.names().map_err(Error::file("."))?) {
        disk.remove(&segment::name(left)).map_err(Error::file(&segment::name(left)))?;
    }
    segment::create(disk, &first_header(id)).map(drop)
}

/// Whether the log has more content than an interrupted first start can leave.
pub(super) fn has_content(disk: &impl Disk, names: &[String]) -> Result<bool, Error> {
    let header = record::encode(&first_header(id::Replica::new(0)));
    let header_size = frame::encode(&header, Salt::new(0, segment::FIRST)).len();
    match segment::numbers(names).as_slice() {
        [] => Ok(false),
        [segment::FIRST] => Ok(disk
            .read(&segment::name(segment::FIRST))
            .map_err(Error::file(&segment::name(segment::FIRST)))?
            .len()
            > header_size),
        _ => Ok(true),
    }
}

fn first_header(id: id::Replica) -> Header {
    Header { id, number: segment::FIRST, hard: HardState::default(), base: Snapshot::default() }
}
