//! What the system costs at the target's size, worked out from slopes that are measured on this machine.
//!
//! [`run`] calls the real modules in this process at several sizes each, fits a line, and works the cost of each role
//! out from it. docs/CAPACITY.md holds what it prints.

mod catalogue;
mod decide;
mod ledger;
mod measure;
mod membership;
mod meter;
mod network;
mod pool;
mod report;
mod roles;
mod slope;
mod storm;
mod target;
mod wire;

pub use measure::Measure;
pub use report::run;
pub use slope::Point;
pub use slope::Slope;
