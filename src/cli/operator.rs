//! Carries out the commands that ask a VM.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use rand::Rng;
use tokio::time;

use crate::capacity;
use crate::catalogue::Record;
use crate::cli::Command;
use crate::cli::Error;
use crate::cli::command::Action;
use crate::cli::explain;
use crate::http::client::Client;
use crate::http::operator::Wanted;
use crate::id;
use crate::load;
use crate::settings::Node;
use crate::settings::Site;
use crate::settings::entry;
use crate::unit::Version;

/// A VM answers within this; a change waits for a majority.
const LIMIT: Duration = Duration::from_secs(15);

/// An answer of a VM.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// Carries a command out and returns what is to be printed.
pub async fn run(command: &Command) -> Result<String, Error> {
    match &command.action {
        Action::Help => Ok(crate::cli::command::HELP.to_owned()),
        Action::Check(file) => check(file),
        Action::Put(file) => {
            let wanted = entry::load(file)?;
            let name = wanted.name.clone();
            change(command, Method::PUT, &name, Some(wanted)).await
        }
        Action::Delete(name) => change(command, Method::DELETE, name, None).await,
        Action::Get(name) => show(command, Method::GET, &format!("/entries/{name}")).await,
        Action::List => show(command, Method::GET, "/entries").await,
        Action::Rollout(name) => {
            show(command, Method::GET, &format!("/entries/{name}/rollout")).await
        }
        Action::Status => show(command, Method::GET, "/status").await,
        Action::Dump => show(command, Method::GET, "/dump").await,
        Action::Drain => show(command, Method::POST, "/drain").await,
        Action::Capacity => Ok(capacity::run()),
        Action::Explain(request, files) => explain::run(request, files),
        Action::Load(file) => put_load(command, file).await,
    }
}

/// A file with `vms` is a site's, one with `seeds` that of a process of a fleet; any other is a catalogue entry.
fn check(file: &Path) -> Result<String, Error> {
    let text = fs::read_to_string(file).unwrap_or_default();
    let has = |key: &str| text.lines().any(|line| line.starts_with(key));
    let what = if has("seeds:") {
        format!("the settings of the process on {}", Node::load(file)?.vm())
    } else if has("vms:") {
        let site = Site::load(file)?;
        format!("a site of {} VMs", site.vms.len())
    } else {
        format!("the catalogue entry {}", entry::load(file)?.name)
    };
    Ok(format!("{}: {what}, without findings\n", file.display()))
}

/// Puts load on a site and judges what callers receive.
async fn put_load(command: &Command, file: &Path) -> Result<String, Error> {
    let scenario = load::Scenario::load(file)?;
    let report = load::run(&scenario, &load::Options::random()).await?;
    if let Some(plot) = &command.plot {
        report.draw(plot)?;
    }
    let text = if command.json { report.json() + "\n" } else { report.to_string() };
    if report.is_clean() { Ok(text) } else { Err(Error::Load(text)) }
}

async fn show(command: &Command, method: Method, path: &str) -> Result<String, Error> {
    let answer = ask(command, method, path, Bytes::new()).await?;
    let text = pretty(&answer.body);
    if answer.status.is_success() { Ok(text) } else { Err(Error::Refused(text)) }
}

async fn change(
    command: &Command,
    method: Method,
    name: &id::Entry,
    entry: Option<crate::catalogue::Entry>,
) -> Result<String, Error> {
    let replaces = match command.replaces {
        Some(version) => Version::new(version),
        None => version_of(command, name).await?,
    };
    let operation = command.operation.unwrap_or_else(|| id::Operation::new(rand::rng().random()));
    let wanted = Wanted { operation, replaces, entry };
    let bytes = serde_json::to_vec(&wanted).map_err(|error| Error::File(error.to_string()))?;
    let path = format!("/entries/{name}");
    let answer = ask(command, method, &path, Bytes::from(bytes)).await;
    let again = |text: String| {
        format!(
            "{text}\nto send the same change again: --operation {operation} --replaces {replaces}"
        )
    };
    match answer {
        Ok(answer) if answer.status.is_success() => Ok(pretty(&answer.body)),
        Ok(answer) => Err(Error::Refused(again(pretty(&answer.body)))),
        Err(error) => Err(Error::Refused(again(error.to_string()))),
    }
}

async fn version_of(command: &Command, name: &id::Entry) -> Result<Version, Error> {
    let answer = ask(command, Method::GET, &format!("/entries/{name}"), Bytes::new()).await?;
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(Version::ZERO);
    }
    let record: Result<Record, _> = serde_json::from_slice(&answer.body);
    record.map(|record| record.version).map_err(|_| Error::Refused(pretty(&answer.body)))
}

async fn ask(command: &Command, method: Method, path: &str, body: Bytes) -> Result<Answer, Error> {
    let token = command.token_file.as_deref().map(token).transpose()?;
    let asked = send(command.vm, method, path, token.as_deref(), body);
    let unreachable = |why: String| Error::Unreachable { address: command.vm.to_string(), why };
    match time::timeout(LIMIT, asked).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(why)) => Err(unreachable(why)),
        Err(_) => Err(unreachable("no answer came in time".to_owned())),
    }
}

fn token(file: &Path) -> Result<String, Error> {
    let read = fs::read_to_string(file);
    let wrong = |error: std::io::Error| Error::File(format!("{}: {error}", file.display()));
    read.map(|text| text.trim().to_owned()).map_err(wrong)
}

async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: Bytes,
) -> Result<Answer, String> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(token) = token {
        request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Full::new(body)).map_err(|error| error.to_string())?;
    let sent = Client::new().send(address, request).await;
    let (response, _lease) = sent.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
    Ok(Answer { status, body: body.to_bytes() })
}

fn pretty(body: &[u8]) -> String {
    let value: Result<serde_json::Value, _> = serde_json::from_slice(body);
    match value.and_then(|value| serde_json::to_string_pretty(&value)) {
        Ok(text) => text + "\n",
        Err(_) => String::from_utf8_lossy(body).into_owned(),
    }
}
