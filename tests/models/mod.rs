//! The specification of the core protocol, and its exhaustive check against the real `Replica`.

pub mod bounds;
pub mod disk;
pub mod explore;
pub mod ghost;
pub mod packet;
pub mod peer;
pub mod world;

pub use bounds::Bounds;
pub use bounds::Group;
pub use explore::Explorer;
pub use explore::Report;
