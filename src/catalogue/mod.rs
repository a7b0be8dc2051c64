//! The catalogue: what operators tell the system, one entry for each kind of request.
//!
//! [`Catalogue`] is the deterministic state machine that the catalogue group runs; [`View`] is what every other
//! process keeps of it, fed by [`Delta`]s.

#[expect(clippy::module_inception, reason = "each file is named for the one type that it holds")]
mod catalogue;
mod change;
mod command;
mod delta;
mod entry;
mod errors;
mod operations;
mod record;
mod view;

pub use catalogue::Catalogue;
pub use change::Change;
pub use change::Edit;
pub use command::Command;
pub use command::Reply;
pub use delta::Delta;
pub use entry::Class;
pub use entry::Entry;
pub use entry::Home;
pub use entry::Kind;
pub use entry::Limits;
pub use entry::Preference;
pub use entry::Repeat;
pub use entry::TokenDigest;
pub use errors::Invalid;
pub use record::PastHome;
pub use record::Record;
pub use view::Progress;
pub use view::View;
