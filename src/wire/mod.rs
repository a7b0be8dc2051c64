//! Links between the system's own processes: CBOR frames over WebSocket, with heartbeats both ways.
//!
//! A link on which nothing was received for [`link::IDLE_TIMEOUT`] is closed and replaced: a device between two VMs may
//! have dropped a connection that both ends still consider open.

pub mod errors;
pub mod frame;
pub mod link;
pub mod mesh;
pub mod message;
pub mod traffic;

pub use errors::Error;
pub use frame::Frame;
pub use link::Link;
pub use mesh::Mesh;
pub use message::Cast;
pub use message::Peer;
pub use message::Reply;
pub use message::Request;
pub use message::Role;
pub use traffic::Traffic;
