//! Reads one segment at startup.

use super::Corruption;
use super::Error;
use super::frame::Frames;
use super::frame::Salt;
use super::record;
use super::record::Header;
use super::record::Record;
use super::replay::Replay;
use super::segment;
use crate::id;
use crate::unit::Index;

/// The valid length of a segment and the highest index in it.
pub(super) struct Scan {
    pub length: usize,
    pub last: Index,
}

impl Scan {
    /// Reads one segment into the replay. Returns `None` for a last segment whose header was torn
    /// by a crash.
    pub fn read(
        bytes: &[u8],
        id: id::Replica,
        number: u64,
        is_last: bool,
        replay: &mut Option<Replay>,
    ) -> Result<Option<Self>, Error> {
        let name = segment::name(number);
        let mut frames = Frames::new(bytes, Salt::new(id.get(), number));
        let mut last = Index::ZERO;
        loop {
            let offset = frames.offset();
            let payload = match frames.next() {
                Ok(payload) => payload,
                Err(Corruption::Checksum) if is_last && !frames.has_later_frame() => None,
                Err(corruption) => return Err(Error::corrupt(&name, offset, corruption)),
            };
            let Some(payload) = payload else {
                let has_header = offset > 0;
                let may_be_empty = is_last && replay.is_some();
                return match has_header {
                    true => Ok(Some(Self { length: offset, last })),
                    false if may_be_empty => Ok(None),
                    false => Err(Error::corrupt(&name, 0, Corruption::Checksum)),
                };
            };
            let read = match offset {
                0 => begin(payload, id, number, replay).map(|()| Index::ZERO),
                _ => apply(payload, replay),
            };
            last = last.max(read.map_err(|corruption| Error::corrupt(&name, offset, corruption))?);
        }
    }
}

fn begin(
    payload: &[u8],
    id: id::Replica,
    number: u64,
    replay: &mut Option<Replay>,
) -> Result<(), Corruption> {
    let header: Header = record::decode(payload)?;
    if header.id != id || header.number != number {
        return Err(Corruption::WrongReplica(header.id));
    }
    match replay {
        Some(replay) => replay.begin(header),
        None => *replay = Some(Replay::new(&header)),
    }
    Ok(())
}

fn apply(payload: &[u8], replay: &mut Option<Replay>) -> Result<Index, Corruption> {
    let replay = replay.as_mut().ok_or(Corruption::Encoding)?;
    let mut last = Index::ZERO;
    for record in record::decode::<Vec<Record>>(payload)? {
        last = last.max(record.last_index());
        replay.apply(record)?;
    }
    Ok(last)
}
