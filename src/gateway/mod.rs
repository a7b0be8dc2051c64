//! The entry daemon: accepts requests, chooses an upstream or another region for each, and relays
//! the responses.
//!
//! The daemon is stateless across restarts. It gets configuration and membership from control VMs
//! ([`follow`]) and decodes HTTP messages with a [`Codec`]. Each request is handled by a
//! [`relay::Relay`], which retries at other upstreams or regions within the limits of the route.

pub mod adapter;
pub mod attempt;
pub mod call;
pub mod caller;
mod crashes;
pub mod daemon;
pub mod events;
pub mod follow;
pub mod headers;
pub mod metrics;
mod reach;
pub mod receive;
pub mod relay;
pub mod reservation;
pub mod sharing;
pub mod state;
pub mod stream;
mod transfer;

pub use adapter::Adapter;
pub use adapter::Codec;
pub use call::Call;
pub use caller::Caller;
pub use daemon::Daemon;
pub use state::State;
