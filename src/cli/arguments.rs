//! The command line of a daemon.

use std::ffi::OsString;
use std::path::PathBuf;
use std::sync::Arc;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::cli::Error;
use crate::id;
use crate::settings::Site;

/// What a daemon is told when it starts.
#[derive(Debug)]
pub struct Daemon {
    /// The site's settings.
    pub settings: PathBuf,
    /// The VM that it runs on.
    pub vm: id::Vm,
}

impl Daemon {
    /// Reads this process's command line and the settings that it names.
    pub fn load() -> Result<(Self, Arc<Site>), Error> {
        let arguments = Self::parse(std::env::args_os().skip(1))?;
        let site = Site::load(&arguments.settings)?;
        Ok((arguments, Arc::new(site)))
    }

    /// Reads `--settings FILE --vm NAME`.
    pub fn parse(words: impl IntoIterator<Item = OsString>) -> Result<Self, Error> {
        let mut settings = None;
        let mut vm = None;
        let mut parser = Parser::from_args(words);
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
                Arg::Long("vm") => vm = Some(parser.value()?.parse()?),
                other => return Err(other.unexpected().into()),
            }
        }
        let missing = |what: &str| Error::Usage(format!("{what} is missing"));
        Ok(Self {
            settings: settings.ok_or_else(|| missing("--settings FILE"))?,
            vm: vm.ok_or_else(|| missing("--vm NAME"))?,
        })
    }
}
