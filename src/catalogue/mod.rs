//! The catalogue: what operators tell the system, one entry for each kind of request.

mod entry;

pub use entry::Class;
pub use entry::Entry;
pub use entry::Home;
pub use entry::Kind;
pub use entry::Limits;
pub use entry::Preference;
pub use entry::Repeat;
pub use entry::TokenDigest;
