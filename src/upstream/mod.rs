//! Upstreams: what they announce, what load they report, and which of them are there.

mod announcement;
mod load;
pub mod pool;
pub mod registry;

pub use announcement::Announcement;
pub use announcement::Kind;
pub use announcement::Role;
pub use load::Load;
pub use pool::Pool;
pub use registry::LEASE;
pub use registry::Outcome;
pub use registry::Record;
pub use registry::Registry;
pub use registry::State;
pub use registry::Update;
