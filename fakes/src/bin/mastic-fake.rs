//! Runs one fake engine or service as a process, until it is told to stop.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use fakes::Settings;
use fakes::Upstream;
use lexopt::Arg;
use lexopt::ValueExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
mastic-fake engine|service ID [options]: a stand-in for a model engine or a plain service

  --listen ADDRESS      where it takes requests (127.0.0.1:0)
  --entry ADDRESS       a VM to announce to; several for the case that one is lost
  --region NAME --data-centre NAME
  --model NAME          a model that it has loaded, or a name that it answers to; several
  --slots N             requests that run at once
  --first-token-ms N --token-ms N
  --restart-ms N        comes back that long after a crash
  --incarnation N       its start count
  --ignores-fencing     takes orders with old fencing numbers
";

fn parse() -> Result<Settings, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let kind = parser.value()?.string()?;
    let id = parser.value()?.string()?;
    let mut settings = match kind.as_str() {
        "engine" => Settings::engine(&id),
        "service" => Settings::service(&id),
        other => return Err(format!("{other} is neither engine nor service").into()),
    };
    let mut models = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => settings.listen = parser.value()?.parse()?,
            Arg::Long("entry") => settings.entries.push(parser.value()?.parse::<SocketAddr>()?),
            Arg::Long("region") => settings.region = parser.value()?.string()?,
            Arg::Long("data-centre") => settings.data_centre = parser.value()?.string()?,
            Arg::Long("model") => models.push(parser.value()?.string()?),
            Arg::Long("slots") => settings.slots = parser.value()?.parse()?,
            Arg::Long("first-token-ms") => {
                let first = Duration::from_millis(parser.value()?.parse()?);
                settings = settings.clone().with_speed(first, settings.token_time);
            }
            Arg::Long("token-ms") => {
                settings.token_time = Duration::from_millis(parser.value()?.parse()?);
            }
            Arg::Long("restart-ms") => {
                let after = Duration::from_millis(parser.value()?.parse()?);
                settings.restart_after = Some(after);
            }
            Arg::Long("incarnation") => settings.incarnation = parser.value()?.parse()?,
            Arg::Long("ignores-fencing") => settings.checks_fencing = false,
            other => return Err(other.unexpected()),
        }
    }
    if !models.is_empty() {
        settings.models = models;
    }
    Ok(settings)
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let settings = match parse() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}\n\n{HELP}");
            std::process::exit(2);
        }
    };
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let upstream = Upstream::start(settings).await?;
    println!("{} listens at {}", upstream.id(), upstream.address());
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    upstream.stop().await;
    Ok(())
}
