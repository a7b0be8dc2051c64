//! Load and experiments: sends what callers would send, and judges what they receive.
//!
//! A [`Scenario`] says who asks for what; [`run()`] asks the directory like a real caller, resends what was lost or
//! refused under the same key, and checks each answer: whole, its own, once, in time. The [`Report`] has a row for
//! each kind of caller.
//!
//! Answers can be checked because the fakes' answers are a function of the prompt; see [`expected`].

mod arrival;
mod audit;
mod directory;
pub mod errors;
mod exchange;
pub mod expected;
mod life;
mod plot;
mod question;
pub mod report;
pub mod run;
pub mod scenario;
mod stream;
mod table;
mod tally;

pub use errors::Error;
pub use report::Report;
pub use report::Row;
pub use run::Options;
pub use run::run;
pub use scenario::Scenario;
