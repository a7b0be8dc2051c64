//! The identity of a replica's folder.

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use super::Corruption;
use super::Disk;
use super::Error;
use super::frame;
use super::frame::Frames;
use super::frame::Salt;
use super::log;
use super::record;
use super::snapshots;
use crate::id;

const NAME: &str = "identity";
const TEMPORARY_NAME: &str = "identity.new";

/// The identity file is not salted, since it is the source of the salt.
const SALT: Salt = Salt::new(0, 0);

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Identity {
    id: id::Replica,
}

/// Reads the folder's identity, or creates one if the folder is new.
///
/// A replica that lost its log but kept its identity could vote twice in a term or lose an entry
/// that it acknowledged. The log is created before the identity is written, so an identity without
/// a log reveals the loss.
pub(super) fn open(disk: &mut impl Disk, rng: &mut impl Rng) -> Result<id::Replica, Error> {
    let names = disk.names().map_err(Error::file("."))?;
    if names.iter().any(|name| name == NAME) {
        return read(disk);
    }
    if names.iter().any(|name| snapshots::is_name(name)) || log::has_content(disk, &names)? {
        return Err(Error::corrupt(NAME, 0, Corruption::Missing));
    }
    let id = id::Replica::random(rng);
    log::create(disk, id)?;
    let bytes = frame::encode(&record::encode(&Identity { id }), SALT);
    write_atomically(disk, TEMPORARY_NAME, NAME, &[&bytes])?;
    Ok(id)
}

fn read(disk: &impl Disk) -> Result<id::Replica, Error> {
    let bytes = disk.read(NAME).map_err(Error::file(NAME))?;
    let corrupt = |corruption| Error::corrupt(NAME, 0, corruption);
    let payload = Frames::new(&bytes, SALT)
        .next()
        .map_err(corrupt)?
        .ok_or_else(|| corrupt(Corruption::Missing))?;
    let identity: Identity = record::decode(payload).map_err(corrupt)?;
    Ok(identity.id)
}

/// Writes a file atomically: after a crash, its name refers to either the old or the new content.
pub(super) fn write_atomically(
    disk: &mut impl Disk,
    new: &str,
    name: &str,
    parts: &[&[u8]],
) -> Result<(), Error> {
    if disk.names().map_err(Error::file("."))?.iter().any(|left| left == new) {
        disk.remove(new).map_err(Error::file(new))?;
    }
    for part in parts {
        disk.append(new, part).map_err(Error::file(new))?;
    }
    disk.sync(new).map_err(Error::file(new))?;
    disk.rename(new, name).map_err(Error::file(name))?;
    disk.sync_folder().map_err(Error::file(name))
}
