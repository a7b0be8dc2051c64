//! Membership of upstreams and VMs.
//!
//! Membership does not go through consensus. Each record has a single writer, the upstream or VM that it describes, and
//! a [`Stamp`] that orders its versions, so records may be reordered, duplicated or relayed. A control VM keeps a
//! [`Table`] of all of them; an entry VM follows two control VMs, receives its [`slice`] of their tables in [`Piece`]s, and
//! combines both in a [`MergedTable`].

pub mod announcement;
pub mod change_log;
pub mod delta;
#[cfg(test)]
pub mod fixture;
#[cfg(test)]
mod fuzz;
pub mod heartbeat;
pub mod merged;
pub mod piece;
pub mod presence;
pub mod slice;
pub mod stamp;
pub mod table;

pub use announcement::Announcement;
pub use announcement::Standing;
pub use change_log::Interest;
pub use change_log::News;
pub use delta::Delta;
pub use delta::Observed;
pub use heartbeat::Heartbeat;
pub use merged::MergedTable;
pub use piece::Piece;
pub use presence::Presence;
pub use slice::Scope;
pub use stamp::Stamp;
pub use table::Table;
