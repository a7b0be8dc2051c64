//! The settings of one process of a fleet that finds itself: it knows its own place and a few seeds.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use crate::decide::quota::Excess;
use crate::decide::retry::limit::Limit;
use crate::id;
use crate::settings::Findings;
use crate::settings::Memory;
use crate::settings::Section;
use crate::settings::Span;
use crate::settings::findings::Collector;
use crate::settings::section;
use crate::settings::site;
use crate::settings::site::Logs;

/// The settings of one process.
#[derive(Debug, Clone)]
pub struct Node {
    /// The VM's IP address, which is also its name.
    pub ip: IpAddr,
    /// The region that it stands in.
    pub region: id::Region,
    /// The data centre that it stands in.
    pub data_centre: id::DataCentre,
    /// The region of each data centre that upstreams may name.
    pub data_centres: Vec<(id::DataCentre, id::Region)>,
    /// VMs that run the control daemon, by the addresses of their operators' listeners. Some may be down.
    pub seeds: Vec<SocketAddr>,
    /// Control daemons listen here for links.
    pub link_port: u16,
    /// What the system's own processes prove to each other; empty in a closed network.
    pub secret: String,
    /// The time between two words of an upstream.
    pub check_in: Duration,
    /// What all VMs together may do.
    pub bounds: Bounds,
    /// The entry daemon's settings, where this process is one.
    pub entry: Option<Entry>,
    /// The control daemon's settings, where this process is one.
    pub control: Option<Control>,
    /// The memory that the process may use.
    pub memory: Memory,
    /// Logs.
    pub logs: Logs,
}

/// What an entry daemon is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// For callers.
    pub callers: SocketAddr,
    /// For those who ask whether it is ready, for metrics and state dumps.
    pub operators: SocketAddr,
    /// For requests that other VMs pass on.
    pub forwards: SocketAddr,
    /// Where it answers callers that ask where to connect; control VMs alone do where it is none.
    pub directory: Option<SocketAddr>,
    /// How long callers use an answer of the directory, this VM's or a control VM's.
    pub directory_time: Duration,
    /// From the signal to end until the process is ended by force.
    pub grace: Duration,
}

/// What a control daemon is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Control {
    /// For operators and for upstreams that announce themselves.
    pub operators: SocketAddr,
    /// For callers that ask where to connect.
    pub directory: SocketAddr,
    /// How long an answer of the directory may be used.
    pub directory_time: Duration,
    /// The data folder.
    pub folder: PathBuf,
    /// Whether the whole system starts for the first time, so that the seeds found the group.
    pub found: bool,
}

/// Budgets that all VMs share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Repeated requests to a service.
    pub repeats: Limit,
    /// A key that was taken away is refused by all VMs after this, also by those that hear nothing: they refuse all keys.
    /// Where there is none, VMs that hear nothing go on with what they have.
    pub revocation: Option<Duration>,
    /// What organisations may ask for beyond their allowances.
    pub excess: Excess,
}

/// What holds where settings say nothing: a fifth more load on a failing service, as for retries in general, and a few
/// a second for services that are asked rarely.
impl Default for Bounds {
    fn default() -> Self {
        Self {
            repeats: Limit { ratio: 0.2, minimum: 50.0, window: Duration::from_secs(10) },
            revocation: None,
            excess: Excess::default(),
        }
    }
}

/// How long callers use an answer of the directory where settings don't say. The longer, the more of them go on while no
/// VM answers them; but VMs that leave must take their requests for as long, and then end their streams.
const DIRECTORY_TIME: Duration = Duration::from_millis(2500);

/// The shortest time in which a key can be taken away everywhere without refusing callers of VMs that lost a message or two.
const SHORTEST_REVOCATION: Duration = Duration::from_secs(3);

/// A yes or no, as settings write it.
struct Flag(bool);

impl FromStr for Flag {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "true" => Ok(Self(true)),
            "false" => Ok(Self(false)),
            _ => Err("is neither true nor false"),
        }
    }
}

/// A data centre and its region, as settings write them: `CENTRE=REGION`.
struct Placed(id::DataCentre, id::Region);

impl FromStr for Placed {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (centre, region) = text.split_once('=').ok_or("is not CENTRE=REGION")?;
        let centre = centre.parse().map_err(|error| format!("names a data centre that {error}"))?;
        let region = region.parse().map_err(|error| format!("names a region that {error}"))?;
        Ok(Self(centre, region))
    }
}

impl Node {
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

    /// The VM's name.
    pub fn vm(&self) -> id::Vm {
        vm(self.ip)
    }

    /// The control VMs that the settings name, and where each takes links.
    pub fn seed_links(&self) -> impl Iterator<Item = (id::Vm, SocketAddr)> + '_ {
        let link = |seed: &SocketAddr| (vm(seed.ip()), SocketAddr::new(seed.ip(), self.link_port));
        self.seeds.iter().map(link)
    }

    /// The region of a data centre.
    pub fn region_of(&self, centre: &id::DataCentre) -> Option<&id::Region> {
        let placed = self.data_centres.iter().find(|(name, _)| name == centre);
        placed.map(|(_, region)| region)
    }
}

/// The name of the VM at an address.
pub fn vm(ip: IpAddr) -> id::Vm {
    ip.to_string().parse().expect("an IP address has only characters that a name may have")
}

fn read_text(text: &str, folder: &Path, out: &Collector) -> Option<Node> {
    let node = section::parse(text, out)?;
    read(&Section::new(&node, "", out)?, folder)
}

fn read(top: &Section<'_>, folder: &Path) -> Option<Node> {
    let ip = top.required("ip");
    let region = top.required("region");
    let data_centre = top.required("data_centre");
    let data_centres = top.list::<Placed>("data_centres");
    let seeds: Option<Vec<SocketAddr>> = top.list("seeds");
    let link_port = top.required("link_port");
    let secret = secret(top, folder);
    let check_in = top.or("check_in", Span(Duration::from_secs(1)));
    let bounds = bounds(top);
    let memory = Memory::read(top);
    let logs = site::logs(top);
    let entry = top.optional_section("entry").map(|section| entry(&section));
    let control = top.optional_section("control").map(|section| control(&section, folder));
    if entry.is_some() == control.is_some() {
        top.note("entry", "a process is either an entry or a control daemon: give one section");
    }
    if seeds.as_ref().is_some_and(Vec::is_empty) {
        top.note("seeds", "must name one control VM at least");
    }
    top.finish();
    Some(Node {
        ip: ip?,
        region: region?,
        data_centre: data_centre?,
        data_centres: data_centres?.into_iter().map(|Placed(name, at)| (name, at)).collect(),
        seeds: seeds?,
        link_port: link_port?,
        secret: secret?,
        check_in: check_in?.0,
        bounds: bounds?,
        entry: whole(entry)?,
        control: whole(control)?,
        memory: memory?,
        logs: logs?,
    })
}

/// A section that was left out is fine; one that has findings is not.
fn whole<T>(section: Option<Option<T>>) -> Option<Option<T>> {
    match section {
        Some(read) => read.map(Some),
        None => Some(None),
    }
}

/// Whoever reaches the links of a control VM can bend the whole system, so a network without a secret must be said to
/// be closed.
fn secret(top: &Section<'_>, folder: &Path) -> Option<String> {
    let secret = site::file(top, "secret_file", folder)?;
    let network: Option<String> = top.or("network", "open".to_owned());
    match (secret, network?.as_str()) {
        (Some(secret), _) => Some(secret),
        (None, "closed") => Some(String::new()),
        (None, "open") => {
            let text = "is missing; give it, or say network: closed where only VMs of the system \
                        reach the links";
            top.note("secret_file", text);
            None
        }
        (None, other) => {
            top.note("network", format!("{other:?} is neither open nor closed"));
            None
        }
    }
}

fn bounds(top: &Section<'_>) -> Option<Bounds> {
    let usual = Bounds::default();
    let Some(section) = top.optional_section("bounds") else { return Some(usual) };
    let repeat_ratio = section.or("repeat_ratio", usual.repeats.ratio);
    let repeat_least = section.or("repeat_least", usual.repeats.minimum);
    let repeat_window = section.or("repeat_window", Span(usual.repeats.window));
    let revocation: Option<Span> = section.optional("revocation");
    let excess_share = section.or("allowance_excess", usual.excess.share);
    let excess_units = section.or("allowance_slack", usual.excess.units);
    section.finish();
    let revocation = revocation.map(|Span(revocation)| revocation);
    if revocation.is_some_and(|revocation| revocation < SHORTEST_REVOCATION) {
        let text = format!(
            "must be {} or more: VMs hear of control once a second",
            Span(SHORTEST_REVOCATION)
        );
        section.note("revocation", text);
        return None;
    }
    let (ratio, minimum) = (repeat_ratio?, repeat_least?);
    let excess = Excess { share: excess_share?, units: excess_units? };
    if !(0.0..=1.0).contains(&excess.share) || !(0.0..f64::INFINITY).contains(&excess.units) {
        let text = "must be from 0 to 1, and allowance_slack a number that is not negative";
        section.note("allowance_excess", text);
        return None;
    }
    if !(ratio >= 0.0 && minimum >= 0.0) {
        section.note("repeat_ratio", "it and repeat_least must not be negative");
        return None;
    }
    let repeats = Limit { ratio, minimum, window: repeat_window?.0 };
    Some(Bounds { repeats, revocation, excess })
}

fn entry(section: &Section<'_>) -> Option<Entry> {
    let callers = section.required("callers");
    let operators = section.required("operators");
    let forwards = section.required("forwards");
    let directory: Option<SocketAddr> = section.optional("directory");
    let directory_time = directory_time(section);
    let grace = section.or("grace", Span(Duration::from_secs(600)));
    section.finish();
    Some(Entry {
        callers: callers?,
        operators: operators?,
        forwards: forwards?,
        directory,
        directory_time: directory_time?,
        grace: grace?.0,
    })
}

fn control(section: &Section<'_>, folder: &Path) -> Option<Control> {
    let operators = section.required("operators");
    let directory = section.required("directory");
    let data: Option<PathBuf> = section.required("folder");
    let found = section.or("found", Flag(false));
    let directory_time = directory_time(section);
    section.finish();
    Some(Control {
        operators: operators?,
        directory: directory?,
        directory_time: directory_time?,
        folder: folder.join(data?),
        found: found?.0,
    })
}

fn directory_time(section: &Section<'_>) -> Option<Duration> {
    Some(section.or("directory_time", Span(DIRECTORY_TIME))?.0)
}

#[cfg(test)]
mod tests;
