//! A catalogue entry as an operator writes it in a YAML file.

use std::fmt::Debug;
use std::fs;
use std::path::Path;

use crate::catalogue;
use crate::catalogue::Class;
use crate::catalogue::Home;
use crate::catalogue::Kind;
use crate::catalogue::Limits;
use crate::catalogue::Preference;
use crate::catalogue::Repeat;
use crate::id;
use crate::settings::Findings;
use crate::settings::Section;
use crate::settings::Span;
use crate::settings::findings::Collector;
use crate::settings::section;
use crate::unit::Rate;

const CLASSES: [(&str, Class); 4] = [
    ("alert", Class::Alert),
    ("short", Class::Short),
    ("long", Class::Long),
    ("batch", Class::Batch),
];
const REPEATS: [(&str, Repeat); 2] = [("allowed", Repeat::Allowed), ("never", Repeat::Never)];
const PREFERENCES: [(&str, Preference); 2] =
    [("latency", Preference::Latency), ("home", Preference::Home)];

/// Reads an entry from a file; all that is wrong with it is reported at once.
pub fn load(path: &Path) -> Result<catalogue::Entry, Findings> {
    let name = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse(&name, &text),
        Err(error) => {
            let out = Collector::new(&name);
            out.note((0, 0), format!("can't be read: {error}"));
            out.finish(None)
        }
    }
}

/// Reads an entry from a text.
pub fn parse(name: &str, text: &str) -> Result<catalogue::Entry, Findings> {
    let out = Collector::new(name);
    let node = section::parse(text, &out);
    let entry = node.as_ref().and_then(|node| read(&Section::new(node, "", &out)?));
    out.finish(entry)
}

/// Reads an entry from a section, and notes what it can't be.
pub fn read(top: &Section<'_>) -> Option<catalogue::Entry> {
    let name = top.required("name");
    let owner = top.required("owner");
    let class = choice(top, "class", &CLASSES, None);
    let kind = kind(top);
    let home = home(top);
    let deadline = top.required::<Span>("deadline");
    let repeat = choice(top, "repeat", &REPEATS, Some(Repeat::Never));
    let prefers = choice(top, "prefers", &PREFERENCES, Some(Preference::Home));
    let weight = top.or("weight", 1);
    let tokens = top.list("tokens");
    let limits = limits(top);
    top.finish();
    if repeat == Some(Repeat::Never) && home == Some(Home::Anywhere) {
        let text = "requests that run at most once need a home region, whose ledger decides";
        top.note("home", text);
    }
    if weight == Some(0) {
        top.note("weight", "must be 1 at least");
    }
    Some(catalogue::Entry {
        name: name?,
        owner: owner?,
        class: class?,
        kind: kind?,
        home: home?,
        limits: limits?,
        deadline: deadline?.0,
        repeat: repeat?,
        prefers: prefers?,
        weight: weight?,
        tokens: tokens?,
    })
}

fn choice<T: Copy + Debug>(
    top: &Section<'_>,
    key: &'static str,
    choices: &[(&str, T)],
    default: Option<T>,
) -> Option<T> {
    if !top.has(key)
        && let Some(default) = default
    {
        return Some(default);
    }
    let text: String = top.required(key)?;
    let found = choices.iter().find(|(name, _)| *name == text).map(|(_, value)| *value);
    if found.is_none() {
        let known: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        top.note(key, format!("{text:?} is none of {}", known.join(", ")));
    }
    found
}

fn kind(top: &Section<'_>) -> Option<Kind> {
    let models: Vec<id::Model> = top.list("models")?;
    let service = top.optional("service");
    match (models.is_empty(), service) {
        (false, None) => Some(Kind::Engine { models }),
        (true, Some(name)) => Some(Kind::Service { name }),
        _ => {
            top.note("models", "name either the models of engines, or a service");
            None
        }
    }
}

fn home(top: &Section<'_>) -> Option<Home> {
    let region: Option<id::Region> = top.optional("home");
    let bound = top.or("bound", false)?;
    match (region, bound) {
        (Some(region), true) => Some(Home::Bound(region)),
        (Some(region), false) => Some(Home::Preferred(region)),
        (None, false) => Some(Home::Anywhere),
        (None, true) => {
            top.note("bound", "a bound entry needs its home region");
            None
        }
    }
}

fn limits(top: &Section<'_>) -> Option<Limits> {
    let section = top.section("limits")?;
    let requests = section.required::<Rate>("requests");
    let tokens = section.required::<Rate>("tokens");
    let concurrency = section.required("concurrency");
    section.finish();
    Some(Limits { requests: requests?, tokens: tokens?, concurrency: concurrency? })
}

#[cfg(test)]
mod tests;
