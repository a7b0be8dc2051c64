//! Who is alive in a region, and the facts that its VMs tell each other.
//!
//! [`Member`] does no I/O and reads no clock: the caller passes in messages and the time, and carries
//! out what comes back. It watches a few VMs chosen by hash, spreads new facts along the same few
//! links, and repairs what was lost by comparing digests. Between regions only small digests travel.
//!
//! docs/design/membership.md sets out the ways weighed, with figures.

mod config;
mod detect;
mod fact;
mod key;
mod lease;
mod member;
mod message;
mod output;
mod relay;
mod repair;
mod ring;
mod spread;
mod stamp;
mod store;

pub use config::Config;
pub use config::Seed;
pub use config::TICK;
pub use fact::Fact;
pub use fact::State;
pub use key::Key;
pub use lease::Stale;
pub use member::Member;
pub use message::Message;
pub use output::Change;
pub use output::Output;
pub use stamp::Stamp;
pub use stamp::Version;
