//! Model placement: which models each engine should hold, and which VM may send the commands.
//!
//! - Demand moves between models over the day; engines are moved to the model whose demand fills its slots.
//! - Loading weights takes an engine out of service for minutes. Averaged demand, a delay before each move and a
//!   hysteresis margin keep the placement from following every change.
//! - The weight store is rate-limited, so loads run one after the other ([`LoadRate`]).
//! - The last engine that holds a model in use is never unloaded, and an engine is drained before it is moved.
//! - A lease keeps two VMs from sending commands at the same time; see [`LeaseHolder`].

mod demand;
mod lease;
mod load_rate;
mod placement;
mod workload;

pub use demand::Demand;
pub use demand::IN_USE_WINDOW;
pub use lease::Active;
pub use lease::CLOCK_DRIFT;
pub use lease::COMMAND_TIMEOUT;
pub use lease::Idle;
pub use lease::LEASE_DURATION;
pub use lease::LeaseHolder;
pub use lease::LeaseStatus;
pub use lease::Permit;
pub use lease::TAKEOVER_DELAY;
pub use lease::Waiting;
pub use load_rate::LoadRate;
pub use placement::Placement;
pub use workload::Action;
pub use workload::Engine;
pub use workload::Step;
pub use workload::Workload;

#[cfg(test)]
mod tests;
