//! From a request's id to what happened to it: the log lines of several VMs as one timeline.

use std::fs;
use std::io;
use std::io::Read;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

use crate::cli::Error;

/// Fields that stand in front of each line, or say the same on all.
const COMMON: [&str; 6] = ["msg", "level", "ts", "vm", "role", "request"];

/// One log line about the request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Line {
    time: String,
    vm: String,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    /// The line, where it is one about that request. What stands before the first brace is passed over: collectors put
    /// a time or a host there.
    fn parse(text: &str, request: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        if field("request").as_deref() != Some(request) {
            return None;
        }
        let (time, vm, event) = (field("ts")?, field("vm").unwrap_or_default(), field("msg")?);
        Some(Self { time, vm, event, fields })
    }

    /// Whether it tells of something that went wrong, or of the end.
    fn is_decisive(&self) -> bool {
        self.event.starts_with("attempt.")
            || self.event == "stream.broke_off"
            || self.event == "request.refused"
            || (self.event == "request.ended"
                && self.fields.get("outcome").is_some_and(|outcome| outcome != "answered"))
    }

    fn describe(&self) -> String {
        let fields = self.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        format!("{} {} {} {}", self.time, self.vm, self.event, fields.join(" "))
    }
}

/// The timeline of a request in these files, or in standard input where there are none.
pub fn run(request: &str, files: &[PathBuf]) -> Result<String, Error> {
    let mut texts = Vec::new();
    for file in files {
        let text = fs::read_to_string(file);
        texts.push(text.map_err(|error| Error::File(format!("{}: {error}", file.display())))?);
    }
    if files.is_empty() {
        let mut text = String::new();
        let read = io::stdin().read_to_string(&mut text);
        read.map_err(|error| Error::File(format!("standard input: {error}")))?;
        texts.push(text);
    }
    let lines = texts.iter().flat_map(|text| text.lines());
    timeline(request, lines).ok_or_else(|| {
        Error::Refused(format!(
            "no line names request {request}\n\
             give the logs of all entry VMs; a request that was never read leaves none"
        ))
    })
}

/// All lines about a request in the order of their times, and the one that decided how it ended.
fn timeline<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Option<String> {
    let mut found: Vec<Line> = lines.filter_map(|line| Line::parse(line, request)).collect();
    found.sort_by(|a, b| a.time.cmp(&b.time));
    let last = found.last()?;
    // The first thing that went wrong is the cause of what follows; where nothing did, the end tells how long it took.
    let decided = found.iter().find(|line| line.is_decisive()).unwrap_or(last);
    let mut out = String::new();
    for line in &found {
        let mark = if line == decided { "=> " } else { "   " };
        out.push_str(&format!("{mark}{}\n", line.describe()));
    }
    Some(out)
}

#[cfg(test)]
mod tests;
