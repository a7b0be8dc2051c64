//! A scenario: who asks for what, how often, and for how long.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::id;
use crate::settings::Findings;
use crate::settings::Section;
use crate::settings::Span;
use crate::settings::findings::Collector;
use crate::settings::section;
use crate::unit::Rate;

/// The longest time for which requests are sent; a soak test of a night.
const LONGEST: Duration = Duration::from_secs(12 * 3600);
/// Requests in all where the scenario says nothing.
const MOST: u64 = 100_000;
/// Requests in progress at once where the scenario says nothing; each holds a socket.
const IN_FLIGHT: usize = 2000;

/// A scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Makes runs alike: arrivals, prompts and choices of VMs follow from it.
    pub seed: u64,
    /// For how long requests are sent.
    pub time: Duration,
    /// How many requests are sent at most.
    pub most: u64,
    /// How many requests are in progress at most; beyond, callers wait with new ones.
    pub in_flight: usize,
    /// VMs that are asked for the directory, the first that answers.
    pub vms: Vec<SocketAddr>,
    /// Upstreams that are asked at the end what ran; none means that `doubled` isn't known.
    pub upstreams: Vec<SocketAddr>,
    /// The kinds of callers.
    pub callers: Vec<Caller>,
}

/// A kind of caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// The row's name.
    pub name: String,
    /// The catalogue entry that it names.
    pub entry: id::Entry,
    /// The region where it stands; it prefers VMs there.
    pub region: id::Region,
    /// Where its requests belong; answers from elsewhere count as sent away.
    pub home: id::Region,
    /// What it asks for.
    pub ask: Ask,
    /// Requests a second.
    pub rate: Rate,
    /// Requests that come at once, besides.
    pub burst: Option<Burst>,
    /// When an answer is late.
    pub deadline: Duration,
    /// When it gives up; real callers never do, and a run has to end.
    pub give_up: Duration,
    /// Whether a request must not run twice, also if it breaks off.
    pub once: bool,
    /// A fault that each nth prompt asks the fakes for.
    pub marker: Option<Marker>,
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    /// A completion by an engine.
    Engine {
        /// The model.
        model: id::Model,
        /// Whether the answer is streamed.
        stream: bool,
        /// Size of the prompt in bytes.
        prompt: usize,
        /// How many different beginnings the prompts have; three quarters of a prompt are its beginning.
        contexts: u64,
        /// Words of the answer.
        words: usize,
    },
    /// A call of a plain service, by PUT.
    Service {
        /// The path within the service.
        path: String,
        /// Size of the body in bytes.
        body: usize,
    },
}

/// Requests that come at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Burst {
    /// Time between two bursts.
    pub every: Duration,
    /// Requests in each.
    pub count: u32,
}

/// A fault that some prompts ask the fakes for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Marker {
    /// Such as `crash` or `cut:3`.
    pub fault: String,
    /// Each how manyth prompt.
    pub every: u64,
}

impl Scenario {
    /// Reads a file; all that is wrong with it is reported at once.
    pub fn load(path: &Path) -> Result<Self, Findings> {
        let name = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(error) => {
                let out = Collector::new(&name);
                out.note((0, 0), format!("can't be read: {error}"));
                out.finish(None)
            }
        }
    }

    /// Reads a text.
    pub fn parse(name: &str, text: &str) -> Result<Self, Findings> {
        let out = Collector::new(name);
        let node = section::parse(text, &out);
        let scenario = node.as_ref().and_then(|node| read(&Section::new(node, "", &out)?));
        out.finish(scenario)
    }
}

fn read(top: &Section<'_>) -> Option<Scenario> {
    let seed = top.or("seed", 1);
    let time = top.required::<Span>("time");
    let most = top.or("most", MOST);
    let in_flight = top.or("in_flight", IN_FLIGHT);
    let vms = top.list("vms");
    let upstreams = top.list("upstreams");
    let callers: Vec<_> =
        top.named_sections("callers").iter().map(|(name, section)| caller(name, section)).collect();
    top.finish();
    if vms.as_ref().is_some_and(Vec::is_empty) {
        top.note("vms", "must name one VM's callers' address at least");
    }
    if callers.is_empty() {
        top.note("callers", "must name one kind of caller at least");
    }
    if time.is_some_and(|time| time.0 > LONGEST || time.0.is_zero()) {
        top.note("time", format!("must be above 0 and at most {}", Span(LONGEST)));
    }
    if in_flight == Some(0) {
        top.note("in_flight", "must be 1 at least");
    }
    Some(Scenario {
        seed: seed?,
        time: time?.0,
        most: most?,
        in_flight: in_flight?,
        vms: vms?,
        upstreams: upstreams?,
        callers: callers.into_iter().collect::<Option<_>>()?,
    })
}

fn caller(name: &str, section: &Section<'_>) -> Option<Caller> {
    let entry = section.required("entry");
    let region: Option<id::Region> = section.required("region");
    let home = section.optional("home");
    let wrong_home = section.has("home") && home.is_none();
    let ask = ask(section);
    let rate = section.required::<Rate>("rate");
    let burst = burst(section);
    let deadline = section.required::<Span>("deadline");
    let give_up = section.or("give_up", Span(deadline.map_or(Duration::ZERO, |d| d.0 * 2)));
    let once = section.or("once", false);
    let marker = marker(section);
    section.finish();
    if rate.is_some_and(|rate| rate.get() <= 0.0) && burst == Some(None) {
        section.note("rate", "must be above 0/s where there are no bursts");
    }
    let region = region?;
    if wrong_home {
        return None;
    }
    Some(Caller {
        name: name.to_owned(),
        entry: entry?,
        home: home.unwrap_or_else(|| region.clone()),
        region,
        ask: ask?,
        rate: rate?,
        burst: burst?,
        deadline: deadline?.0,
        give_up: give_up?.0,
        once: once?,
        marker: marker?,
    })
}

fn ask(section: &Section<'_>) -> Option<Ask> {
    let engine = section.optional_section("engine").map(|engine| {
        let model = engine.required("model");
        let stream = engine.or("stream", true);
        let prompt = engine.or("prompt_bytes", 400);
        let contexts = engine.or("contexts", 4_u64);
        let words = engine.or("answer_words", 32);
        engine.finish();
        let (contexts, words) = (contexts?.max(1), words?);
        Some(Ask::Engine { model: model?, stream: stream?, prompt: prompt?, contexts, words })
    });
    let service = section.optional_section("service").map(|service| {
        let path: Option<String> = service.required("path");
        let body = service.or("body_bytes", 200);
        service.finish();
        if path.as_ref().is_some_and(|path| !path.starts_with('/')) {
            service.note("path", "must begin with /");
        }
        Some(Ask::Service { path: path?, body: body? })
    });
    match (engine, service) {
        (Some(ask), None) | (None, Some(ask)) => ask,
        _ => {
            section.note("", "must have either engine or service, which says what is asked for");
            None
        }
    }
}

/// `Some(None)` where there are no bursts.
fn burst(section: &Section<'_>) -> Option<Option<Burst>> {
    let Some(burst) = section.optional_section("burst") else {
        return (!section.has("burst")).then_some(None);
    };
    let every = burst.required::<Span>("every");
    let count = burst.required("count");
    burst.finish();
    if every.is_some_and(|every| every.0.is_zero()) {
        burst.note("every", "must be above 0");
    }
    Some(Some(Burst { every: every?.0, count: count? }))
}

/// `Some(None)` where no prompt asks for a fault.
fn marker(section: &Section<'_>) -> Option<Option<Marker>> {
    let Some(marker) = section.optional_section("fault") else {
        return (!section.has("fault")).then_some(None);
    };
    let fault = marker.required("marker");
    let every = marker.required("every");
    marker.finish();
    if every == Some(0) {
        marker.note("every", "must be 1 at least");
    }
    Some(Some(Marker { fault: fault?, every: every? }))
}

#[cfg(test)]
mod tests;
