//! Membership under faults, on an in-memory network.

mod faults;
mod fuzz;
mod network;
