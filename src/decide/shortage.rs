//! Admission to a service that has been short of capacity for some time.
//!
//! **Load pattern.** For ten seconds, more requests arrive than the engines of a region can run. Callers return once.
//!
//! **Without it.** Requests are admitted up to the limit of the expected time, so that a queue of that length stands before
//! each engine. The slots are as busy as with a shorter queue, and half of the admitted requests are late.
//!
//! **Decision.** While requests of a service were expected near their objective or above it for a second ([`Detector`]), the
//! limit is [lower](super::place::wait::shortage_limit). The answer of a request that [returns](Returns) counts from its
//! first attempt, so that its limit is lower still. If its objective is over it can't be in time any more: it has the lower
//! limit as soon as one request was expected near its objective.

mod detector;
mod returns;
mod shortages;

pub use detector::Detector;
pub use returns::Returns;
pub use shortages::Shortages;

#[cfg(test)]
mod tests;
