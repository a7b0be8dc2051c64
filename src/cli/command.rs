//! The commands of `mastic`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::cli::Error;
use crate::id;

/// Where operators' requests go unless told otherwise: the first VM of the shipped site.
const USUAL_VM: &str = "127.0.0.1:7103";

/// What `mastic --help` prints.
pub const HELP: &str = "\
mastic: change the catalogue, look into the system, put load on it

  mastic check FILE             report all that is wrong with a site's settings, those of one process of a
                                fleet, or a catalogue entry
  mastic put FILE               create or replace the catalogue entry of a YAML file
  mastic get NAME               show an entry and its version
  mastic list                   show all entries
  mastic delete NAME            remove an entry
  mastic rollout NAME           show on which VMs the entry's present content is in force
  mastic status                 show a VM's state in short
  mastic dump                   show all that a VM's process holds
  mastic drain                  let a VM leave: it refuses new requests and ends those in progress
  mastic load SCENARIO.yaml     put load on a site and judge what callers receive
                                [--json] [--plot FILE.svg]
  mastic explain ID [FILE…]     join the log lines of all VMs about one request into a timeline, and mark
                                the one that decided; without files it reads standard input
  mastic capacity               measure on this machine what a large site would cost each VM

  --vm ADDRESS                  the VM's operators' address (127.0.0.1:7103)
  --token-file FILE             the operators' token
  --operation ID                with put and delete: the number of an operation that is sent again
  --replaces N                  with put and delete: the version that you saw (the one in force now)
";

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Print the help.
    Help,
    /// Check a file.
    Check(PathBuf),
    /// Create or replace an entry.
    Put(PathBuf),
    /// Show an entry.
    Get(id::Entry),
    /// Show all entries.
    List,
    /// Remove an entry.
    Delete(id::Entry),
    /// Show where an entry is in force.
    Rollout(id::Entry),
    /// Show the short state.
    Status,
    /// Show the whole state.
    Dump,
    /// Let a VM leave.
    Drain,
    /// Put load on a site.
    Load(PathBuf),
    /// Tell what happened to a request, from logs.
    Explain(String, Vec<PathBuf>),
    /// Measure what a large site would cost.
    Capacity,
}

/// A command of the operators' command line.
#[derive(Debug)]
pub struct Command {
    /// What is to be done.
    pub action: Action,
    /// The VM's operators' address.
    pub vm: SocketAddr,
    /// The file that holds the operators' token.
    pub token_file: Option<PathBuf>,
    /// The number of an operation that is sent again.
    pub operation: Option<id::Operation>,
    /// The version that the operator saw.
    pub replaces: Option<u64>,
    /// Machine-readable output.
    pub json: bool,
    /// Where a plot goes.
    pub plot: Option<PathBuf>,
}

impl Command {
    /// Reads the words of a command line.
    pub fn parse(words: impl IntoIterator<Item = OsString>) -> Result<Self, Error> {
        let mut plain: Vec<OsString> = Vec::new();
        let vm = USUAL_VM.parse().map_err(|_| Error::Usage("--vm ADDRESS".to_owned()))?;
        let mut command = Self {
            action: Action::Help,
            vm,
            token_file: None,
            operation: None,
            replaces: None,
            json: false,
            plot: None,
        };
        let mut parser = Parser::from_args(words);
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("help") | Arg::Short('h') => return Ok(command),
                Arg::Long("vm") => command.vm = parser.value()?.parse()?,
                Arg::Long("token-file") => command.token_file = Some(parser.value()?.into()),
                Arg::Long("operation") => command.operation = Some(parser.value()?.parse()?),
                Arg::Long("replaces") => command.replaces = Some(parser.value()?.parse()?),
                Arg::Long("json") => command.json = true,
                Arg::Long("plot") => command.plot = Some(parser.value()?.into()),
                Arg::Value(word) => plain.push(word),
                other => return Err(other.unexpected().into()),
            }
        }
        command.action = action(plain)?;
        Ok(command)
    }
}

fn action(words: Vec<OsString>) -> Result<Action, Error> {
    let mut words = words.into_iter();
    let Some(verb) = words.next() else { return Ok(Action::Help) };
    let verb = verb.string()?;
    let mut operand = |what: &str| {
        words.next().ok_or_else(|| Error::Usage(format!("mastic {verb} needs {what}")))
    };
    let action = match verb.as_str() {
        "check" => Action::Check(operand("a FILE")?.into()),
        "put" => Action::Put(operand("a FILE")?.into()),
        "get" => Action::Get(operand("a NAME")?.parse()?),
        "list" => Action::List,
        "delete" => Action::Delete(operand("a NAME")?.parse()?),
        "rollout" => Action::Rollout(operand("a NAME")?.parse()?),
        "status" => Action::Status,
        "dump" => Action::Dump,
        "drain" => Action::Drain,
        "capacity" => Action::Capacity,
        "load" => Action::Load(operand("a SCENARIO")?.into()),
        "explain" => {
            let request = operand("an ID")?.string()?;
            return Ok(Action::Explain(request, words.map(PathBuf::from).collect()));
        }
        other => return Err(Error::Usage(format!("there is no command {other:?}"))),
    };
    match words.next() {
        Some(extra) => Err(Error::Usage(format!("{extra:?} is one word too many"))),
        None => Ok(action),
    }
}
