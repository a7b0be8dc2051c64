//! The identity of a folder, made once.

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use super::Damage;
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
const NEW: &str = "identity.new";

/// The identity's file is the only one without its salt, since it tells the salt.
const SALT: Salt = Salt::new(0, 0);

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Identity {
    id: id::Replica,
}

/// Reads the folder's identity, or makes one in a folder that never had any.
///
/// Failure: a replica that lost its log and kept its identity votes twice in a term, or lets an entry go that it
/// acknowledged. The log is begun before the identity is written, so an identity without a log tells of a loss.
pub(super) fn open(disk: &mut impl Disk, rng: &mut impl Rng) -> Result<id::Replica, Error> {
    let names = disk.names().map_err(Error::file("."))?;
    if names.iter().any(|name| name == NAME) {
        return read(disk);
    }
    if names.iter().any(|name| snapshots::is_name(name)) || log::has_content(disk, &names)? {
        return Err(Error::corrupt(NAME, 0, Damage::Missing));
    }
    let id = id::Replica::random(rng);
    log::begin(disk, id)?;
    let bytes = frame::encode(&record::encode(&Identity { id }), SALT);
    replace(disk, NEW, NAME, &[&bytes])?;
    Ok(id)
}

fn read(disk: &impl Disk) -> Result<id::Replica, Error> {
    let bytes = disk.read(NAME).map_err(Error::file(NAME))?;
    let corrupt = |damage| Error::corrupt(NAME, 0, damage);
    let payload = Frames::new(&bytes, SALT)
        .next()
        .map_err(corrupt)?
        .ok_or_else(|| corrupt(Damage::Missing))?;
    let identity: Identity = record::decode(payload).map_err(corrupt)?;
    Ok(identity.id)
}

/// Writes a whole file so that a crash leaves either the old one or the new one under its name.
pub(super) fn replace(
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
