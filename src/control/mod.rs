//! The control daemon: replicas of the catalogue and of the region's ledger, and witnesses for other regions.
//!
//! The settings say which VMs have a disk; [`plan`] derives from them which VM holds which replica, the same on
//! every VM. A [`seat::Seat`] opens a replica's folder, forms or joins its group and runs it.

pub mod daemon;
pub mod form;
pub mod join;
pub mod name;
mod observe;
pub mod plan;
pub mod release;
pub mod routes;
pub mod seat;
pub mod service;
mod steps;
mod traffic;

pub use daemon::Daemon;
pub use name::Name;
pub(crate) use observe::vacant_seats;
pub use routes::Routes;
pub use seat::Seat;
pub use traffic::Traffic;
