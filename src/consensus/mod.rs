//! Raft consensus as a deterministic state machine that performs no I/O.
//!
//! [`Replica::step`] takes an [`Input`] and the current time and returns [`Output`]s, which the
//! driver carries out in order. A replica opens no file or connection and reads no clock. It
//! acknowledges or counts an entry only after the driver has confirmed its write with
//! [`Input::Persisted`].

mod change;
mod commit;
pub mod config;
#[cfg(feature = "faults")]
mod digest;
mod election;
pub mod entry;
pub mod errors;
pub mod fault;
mod finish;
mod follower;
pub mod input;
mod leader;
pub mod log;
pub mod members;
pub mod message;
pub mod output;
pub mod peer;
pub mod phase;
mod progress;
mod read;
pub mod repair;
pub mod replica;
pub mod restored;
pub mod timer;
mod transfer;

pub use config::Config;
pub use entry::Entry;
pub use entry::Payload;
pub use entry::Position;
pub use errors::Refusal;
pub use errors::RestoreError;
pub use input::Input;
pub use input::Token;
pub use log::Log;
pub use members::Change;
pub use members::Members;
pub use members::Role;
pub use message::Body;
pub use message::Message;
pub use output::Output;
pub use output::Persist;
pub use peer::Peer;
pub use phase::Phase;
pub use progress::Mode;
pub use repair::Reason;
pub use repair::Repairs;
pub use replica::Replica;
pub use restored::HardState;
pub use restored::Restored;
pub use restored::Snapshot;
