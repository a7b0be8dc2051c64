//! What the command line reports, with what to do next.

use std::process::ExitCode;

use thiserror::Error;

use crate::load;
use crate::settings::Findings;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The words of the command are off.
    #[error("{0}\nsee: mastic --help")]
    Usage(String),
    /// A file has findings.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// The VM gave no answer.
    #[error("{address}: {why}\nname another VM with --vm ADDRESS")]
    Unreachable {
        /// Where it was asked.
        address: String,
        /// Why there is no answer.
        why: String,
    },
    /// The VM refused.
    #[error("{0}")]
    Refused(String),
    /// A load can't be run.
    #[error("{0}")]
    NoLoad(#[from] load::Error),
    /// A load has shown requests that were lost, wrong, doubled or refused untruly.
    #[error("requests were lost, wrong, doubled or refused untruly; see the report's columns")]
    Load(String),
    /// A daemon can't start.
    #[error("{0}")]
    Start(String),
    /// A file can't be read or written.
    #[error("{0}")]
    File(String),
}

impl Error {
    /// The exit code: 2 where words or files are wrong and nothing was started, else 1.
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Findings(_) => 2,
            Self::Unreachable { .. }
            | Self::Refused(_)
            | Self::NoLoad(_)
            | Self::Load(_)
            | Self::Start(_)
            | Self::File(_) => 1,
        }
    }
}

/// Prints an error where people look for it, and gives the exit code.
pub fn report(error: &Error) -> ExitCode {
    if let Error::Load(text) = error {
        // The report itself is what was asked for; programs read it where they read a good one.
        print!("{text}");
    }
    eprintln!("{}", error.to_string().trim_end());
    ExitCode::from(error.code())
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}
