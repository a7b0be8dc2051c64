//! Decisions under load, each beside the naive policy that it replaces, judged by what callers receive.
//!
//! A small event loop in virtual time, no network and no cluster: [`agenda`] orders events, [`job`] says what callers
//! want, [`caller`] how they ask again, [`pool`] stands for the upstreams, [`policy`] is the decision under test,
//! [`world`] runs one against the other and [`tally`] judges. To add rows for a further decision, write a
//! scenario that returns [`table::Row`]s and name it in [`table`]. Every seed is fixed.
//!
//! `cargo test --release --test load -- --nocapture table` prints the whole table as Markdown.

mod agenda;
mod caller;
mod crashes;
mod fleet;
mod hedging;
mod job;
mod limits;
mod overload;
mod policy;
mod pool;
mod prompts;
mod quotas;
mod refusals;
mod regions;
mod restrictions;
mod returning;
mod rounds;
mod routing;
mod scenario;
mod streams;
mod table;
mod tally;
mod waiting;
mod what_if;
mod world;
