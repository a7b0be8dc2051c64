//! The settings of a whole site: its VMs, their addresses, and what all of them share.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use crate::id;
use crate::settings::Findings;
use crate::settings::Memory;
use crate::settings::Section;
use crate::settings::Span;
use crate::settings::findings::Collector;
use crate::settings::section;
use crate::wire;

/// The largest request body that is taken where settings say nothing: a season of strike history in text is
/// 3 to 4 MiB.
const BODY_BYTES: u64 = 16 << 20;
/// How long a draining process waits for its streams where settings say nothing.
const DRAIN: Duration = Duration::from_secs(600);

/// The settings of a site.
#[derive(Debug, Clone)]
pub struct Site {
    /// The VMs, by name.
    pub vms: BTreeMap<id::Vm, Vm>,
    /// What the system's own processes prove to each other; empty where none is set.
    pub secret: String,
    /// The bearer token that operators must show; none means that none is asked for.
    pub operator_token: Option<String>,
    /// The names of the headers that callers use.
    pub headers: Headers,
    /// The largest request body that is taken, in bytes.
    pub body_bytes: u64,
    /// The memory that each process may use.
    pub memory: Memory,
    /// How long a draining process waits for its streams.
    pub drain: Duration,
    /// Logs.
    pub logs: Logs,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// The region that it stands in.
    pub region: id::Region,
    /// The data centre that it stands in.
    pub data_centre: id::DataCentre,
    /// The entry daemon's addresses, where it runs one.
    pub entry: Option<EntryAddresses>,
    /// The control daemon's settings, where it runs one.
    pub control: Option<ControlAddresses>,
}

/// Where an entry daemon listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For upstreams that announce themselves.
    pub upstreams: SocketAddr,
    /// For operators, metrics and health checks.
    pub operators: SocketAddr,
    /// For links from other processes of the system.
    pub links: SocketAddr,
    /// For requests that other VMs pass on.
    pub forwards: SocketAddr,
}

/// Where a control daemon listens, and where it keeps its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlAddresses {
    /// For operators, metrics and health checks.
    pub operators: SocketAddr,
    /// For links from other processes of the system.
    pub links: SocketAddr,
    /// The data folder.
    pub folder: PathBuf,
}

/// The names of the headers that callers use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// Names the catalogue entry.
    pub entry: String,
    /// Carries the idempotency key.
    pub key: String,
    /// States the deadline in milliseconds.
    pub deadline: String,
}

/// How a process logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Logs {
    /// JSON lines instead of lines for a terminal.
    pub json: bool,
    /// The least level that is written.
    pub level: slog::Level,
}

/// A level's name, as settings write it.
struct Level(slog::Level);

impl std::str::FromStr for Level {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self)
            .map_err(|()| "is none of critical, error, warning, info, debug, trace")
    }
}

impl Site {
    /// Reads a file; all that is wrong with it is reported at once.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let out = Collector::new(&path.display().to_string());
        let text = section::text(path, &out);
        let folder = path.parent().unwrap_or(Path::new("."));
        let read = text.and_then(|text| read_text(&text, folder, &out));
        out.finish(read)
    }

    /// Reads a text. Files that it names are looked for under `folder`.
    pub fn parse(name: &str, text: &str, folder: &Path) -> Result<Self, Findings> {
        let out = Collector::new(name);
        let read = read_text(text, folder, &out);
        out.finish(read)
    }

    /// Where links to each process of the site go.
    pub fn book(&self) -> std::collections::HashMap<wire::Peer, SocketAddr> {
        let entries = self.vms.iter().filter_map(|(name, vm)| {
            let entry = vm.entry.as_ref()?;
            Some((wire::Peer::new(name.clone(), wire::Role::Entry), entry.links))
        });
        let controls = self.vms.iter().filter_map(|(name, vm)| {
            let control = vm.control.as_ref()?;
            Some((wire::Peer::new(name.clone(), wire::Role::Control), control.links))
        });
        entries.chain(controls).collect()
    }

    /// The region of a VM.
    pub fn region(&self, vm: &id::Vm) -> Option<&id::Region> {
        self.vms.get(vm).map(|vm| &vm.region)
    }
}

fn read_text(text: &str, folder: &Path, out: &Collector) -> Option<Site> {
    let node = section::parse(text, out)?;
    read(&Section::new(&node, "", out)?, folder)
}

fn read(top: &Section<'_>, folder: &Path) -> Option<Site> {
    let vms: Vec<Option<(id::Vm, Vm)>> =
        top.named_sections("vms").iter().map(|(name, section)| vm(name, section, folder)).collect();
    let secret = file(top, "secret_file", folder);
    let operator_token = file(top, "operator_token_file", folder);
    let headers = headers(top);
    let body_bytes = top.or("body_bytes", BODY_BYTES);
    let memory = Memory::read(top);
    let drain = top.or("drain", Span(DRAIN));
    let logs = logs(top);
    top.finish();
    let vms: BTreeMap<id::Vm, Vm> = vms.into_iter().collect::<Option<_>>()?;
    check(top, &vms);
    let public = vms.values().flat_map(addresses).any(|address| !address.ip().is_loopback());
    if public && secret == Some(None) {
        let text = "is missing; without it whoever reaches a VM's links counts as a VM of the site";
        top.note("secret_file", text);
    }
    Some(Site {
        vms,
        secret: secret?.unwrap_or_default(),
        operator_token: operator_token?,
        headers: headers?,
        body_bytes: body_bytes?,
        memory: memory?,
        drain: drain?.0,
        logs: logs?,
    })
}

fn vm(name: &str, section: &Section<'_>, folder: &Path) -> Option<(id::Vm, Vm)> {
    let parsed = name.parse();
    if let Err(error) = &parsed {
        section.note("", format!("the VM's name {error}"));
    }
    let region = section.required("region");
    let data_centre = section.required("data_centre");
    let entry = section.optional_section("entry").map(|entry| {
        let callers = entry.required("callers");
        let upstreams = entry.required("upstreams");
        let operators = entry.required("operators");
        let links = entry.required("links");
        let forwards = entry.required("forwards");
        entry.finish();
        Some(EntryAddresses {
            callers: callers?,
            upstreams: upstreams?,
            operators: operators?,
            links: links?,
            forwards: forwards?,
        })
    });
    let control = section.optional_section("control").map(|control| {
        let operators = control.required("operators");
        let links = control.required("links");
        let data: Option<PathBuf> = control.required("folder");
        control.finish();
        Some(ControlAddresses { operators: operators?, links: links?, folder: folder.join(data?) })
    });
    if entry.is_none() && control.is_none() {
        section.note("", "the VM runs neither an entry nor a control daemon");
    }
    section.finish();
    let entry = match entry {
        Some(entry) => Some(entry?),
        None => None,
    };
    let control = match control {
        Some(control) => Some(control?),
        None => None,
    };
    Some((parsed.ok()?, Vm { region: region?, data_centre: data_centre?, entry, control }))
}

/// The content of a file that holds a secret; `Some(None)` where the key is left out.
pub(super) fn file(top: &Section<'_>, key: &'static str, folder: &Path) -> Option<Option<String>> {
    let Some(path) = top.optional::<PathBuf>(key) else { return Some(None) };
    match fs::read_to_string(folder.join(&path)) {
        Ok(text) if !text.trim().is_empty() => Some(Some(text.trim().to_owned())),
        Ok(_) => {
            top.note(key, format!("{} is empty; it must hold one line", path.display()));
            None
        }
        Err(error) => {
            top.note(key, format!("{} can't be read: {error}", path.display()));
            None
        }
    }
}

impl Default for Headers {
    fn default() -> Self {
        Self {
            entry: "mastic-entry".to_owned(),
            key: "idempotency-key".to_owned(),
            deadline: "mastic-deadline-ms".to_owned(),
        }
    }
}

fn headers(top: &Section<'_>) -> Option<Headers> {
    let usual = Headers::default();
    let Some(section) = top.optional_section("headers") else { return Some(usual) };
    let header = |key, usual: String| {
        let name: String = section.or(key, usual)?;
        if http::HeaderName::from_bytes(name.as_bytes()).is_err() {
            section.note(key, format!("{name:?} is not a header name"));
            return None;
        }
        Some(name.to_ascii_lowercase())
    };
    let entry = header("entry", usual.entry);
    let key = header("key", usual.key);
    let deadline = header("deadline", usual.deadline);
    section.finish();
    Some(Headers { entry: entry?, key: key?, deadline: deadline? })
}

pub(super) fn logs(top: &Section<'_>) -> Option<Logs> {
    let Some(section) = top.optional_section("logs") else {
        return Some(Logs { json: false, level: slog::Level::Info });
    };
    let format: Option<String> = section.or("format", "terminal".to_owned());
    let level = section.or("level", Level(slog::Level::Info));
    section.finish();
    let json = match format?.as_str() {
        "json" => true,
        "terminal" => false,
        other => {
            section.note("format", format!("{other:?} is neither json nor terminal"));
            return None;
        }
    };
    Some(Logs { json, level: level?.0 })
}

/// What no single key shows: addresses used twice, and regions that lack a ledger.
fn check(top: &Section<'_>, vms: &BTreeMap<id::Vm, Vm>) {
    if vms.is_empty() {
        top.note("vms", "must name one VM at least");
    }
    let mut seen: BTreeMap<SocketAddr, &id::Vm> = BTreeMap::new();
    for (name, vm) in vms {
        for address in addresses(vm) {
            if address.port() == 0 {
                top.note("vms", format!("{name} has port 0 in {address}; peers need the number"));
            }
            if let Some(other) = seen.insert(address, name) {
                top.note("vms", format!("{address} is used twice: by {other} and by {name}"));
            }
        }
    }
    let regions: std::collections::BTreeSet<&id::Region> =
        vms.values().filter(|vm| vm.entry.is_some()).map(|vm| &vm.region).collect();
    for region in regions {
        if !vms.values().any(|vm| vm.control.is_some() && vm.region == *region) {
            let text =
                format!("region {region} has no control daemon, so nothing holds its ledger");
            top.note("vms", text);
        }
    }
}

fn addresses(vm: &Vm) -> Vec<SocketAddr> {
    let entry = vm.entry.iter().flat_map(|entry| {
        [entry.callers, entry.upstreams, entry.operators, entry.links, entry.forwards]
    });
    let control = vm.control.iter().flat_map(|control| [control.operators, control.links]);
    entry.chain(control).collect()
}

#[cfg(test)]
mod tests;
