//! Whole configurations: the document that an operator hands in, what is wrong with it, and the lookup of routes.
//!
//! A [`Document`] replaces routes, services, organisations and limits at once. The [`State`] is what the control group agrees on: the
//! document with the highest number, and the data centres that are evacuated.

pub mod check;
pub mod credential;
pub mod document;
pub mod errors;
pub mod limits;
pub mod organisation;
pub mod route;
pub mod service;
pub mod state;
pub mod table;

pub use credential::Credential;
pub use document::Document;
pub use errors::Invalid;
pub use limits::Limits;
pub use organisation::Organisation;
pub use route::Route;
pub use service::Service;
pub use state::Command;
pub use state::State;
pub use table::Table;
