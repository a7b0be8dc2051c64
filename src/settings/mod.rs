//! Settings in YAML. Every finding is collected with its place, and all are reported together.
//!
//! One file describes a whole [`Site`], and a process is told on its command line which of the VMs it runs on; or, in a
//! fleet that finds itself, each process has a [`Node`] of its own.

pub mod entry;
pub mod findings;
pub mod memory;
pub mod node;
pub mod section;
pub mod seeds;
pub mod site;
pub mod size;
pub mod span;

pub use findings::Finding;
pub use findings::Findings;
pub use memory::Memory;
pub use node::Node;
pub use section::Section;
pub use seeds::Seeds;
pub use site::Site;
pub use size::Size;
pub use span::Span;
