//! Why a load can't be run.

use thiserror::Error;

/// Why a load can't be run.
#[derive(Debug, Error)]
pub enum Error {
    /// None of the VMs gave a directory.
    #[error("none of the scenario's VMs answers GET /directory; is the site up?")]
    NoDirectory,
    /// The plot can't be drawn.
    #[error("the plot can't be drawn: {0}")]
    Plot(String),
}
