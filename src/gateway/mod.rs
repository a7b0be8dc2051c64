//! The entry daemon of a fleet that finds itself: it takes requests, places them and passes their answers on.
//!
//! It holds no state that must survive. What it needs to know it follows at two control VMs ([`follow`]); what a request
//! looks like on the wire, it is told by a [`Dialect`]. One request is a [`relay::Relay`]: attempts at upstreams of the
//! own region, or at an entry VM of another one, until one of them answers or none may be made any more.

pub mod adapter;
pub mod attempt;
pub mod call;
pub mod caller;
pub mod claim;
pub mod daemon;
pub mod events;
pub mod follow;
pub mod headers;
pub mod hub;
pub mod metrics;
pub mod receive;
pub mod relay;
pub mod share;
pub mod stream;

pub use adapter::Adapter;
pub use adapter::Dialect;
pub use call::Call;
pub use caller::Caller;
pub use daemon::Daemon;
pub use hub::Hub;
