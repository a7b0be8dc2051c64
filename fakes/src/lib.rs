//! Small stand-ins for model engines and plain services, for tests, the demo and the small site.
//!
//! ```no_run
//! # async fn run() -> std::io::Result<()> {
//! use fakes::Fault;
//! use fakes::Settings;
//! use fakes::Upstream;
//!
//! let engine = Upstream::start(Settings::engine("engine-1").with_slots(4)).await?;
//! engine.fail_next(Fault::CutAfter(3));
//! println!("{} ran {:?}", engine.address(), engine.ran());
//! # Ok(())
//! # }
//! ```
//!
//! An answer is a function of the prompt alone ([`answer()`]), so that a caller can tell whether an answer
//! is whole and its own. All waiting is done on the runtime's clock.

mod announce;
mod answer;
mod body;
mod cache;
mod engine;
mod fault;
mod order;
mod process;
mod run;
mod service;
mod settings;
mod slots;
mod state;
pub mod steps;

pub use answer::answer;
pub use answer::digest;
pub use answer::words;
pub use fault::Fault;
pub use order::Order;
pub use order::Task;
pub use process::Upstream;
pub use run::Outcome;
pub use run::Run;
pub use settings::Kind;
pub use settings::Settings;
