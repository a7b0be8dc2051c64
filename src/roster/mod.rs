//! Who is there: upstreams that announce themselves, and the VMs of the system, found through a few seeds.
//!
//! Nothing here is agreed on. Each fact has one writer, its subject, and a [`Stamp`] by which any two copies are put in
//! order; so copies may arrive in any order, by any way, and as often as they like. A control VM keeps a [`Table`];
//! an entry VM follows two of them and keeps what both say in a [`Merged`].

pub mod announcement;
pub mod delta;
pub mod heartbeat;
pub mod merged;
pub mod presence;
pub mod stamp;
pub mod table;

pub use announcement::Announcement;
pub use announcement::Standing;
pub use delta::Delta;
pub use delta::Fact;
pub use heartbeat::Heartbeat;
pub use merged::Merged;
pub use presence::Presence;
pub use stamp::Stamp;
pub use table::Table;
