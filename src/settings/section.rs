//! A mapping of a YAML file, read key by key; what was not asked for is an unknown key.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::fs;
use std::path::Path;
use std::str::FromStr;

use marked_yaml::Node;
use marked_yaml::Span as Place;
use marked_yaml::types::MarkedMappingNode;

use crate::settings::findings::Collector;

/// A mapping within a file, with what was asked of it.
#[derive(Debug)]
pub struct Section<'a> {
    map: &'a MarkedMappingNode,
    path: String,
    out: &'a Collector,
    asked: RefCell<BTreeSet<&'static str>>,
}

fn place(span: &Place) -> (usize, usize) {
    span.start().map_or((0, 0), |mark| (mark.line(), mark.column()))
}

/// Parses a file; what is no YAML mapping is noted as a finding.
pub fn parse(text: &str, out: &Collector) -> Option<Node> {
    let options =
        marked_yaml::LoaderOptions::default().error_on_duplicate_keys(true).lowercase_keys(false);
    match marked_yaml::parse_yaml_with_options(0, text, options) {
        Ok(node) => Some(node),
        Err(error) => {
            let at = first_number(&error.to_string());
            out.note((at, 0), format!("this is no YAML mapping: {error}"));
            None
        }
    }
}

/// Reads a file; one that can't be read is noted as a finding.
pub fn text(path: &Path, out: &Collector) -> Option<String> {
    match fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(error) => {
            out.note((0, 0), format!("can't be read: {error}"));
            None
        }
    }
}

/// The line that a parser's message names, and 0 where it names none.
fn first_number(text: &str) -> usize {
    let start = text.find("line ").map_or(text.len(), |at| at + 5);
    text[start..].split(|c: char| !c.is_ascii_digit()).next().unwrap_or("").parse().unwrap_or(0)
}

impl<'a> Section<'a> {
    /// The mapping that a node holds.
    pub fn new(node: &'a Node, path: &str, out: &'a Collector) -> Option<Self> {
        let Some(map) = node.as_mapping() else {
            out.note(place(node.span()), format!("{path} must be a mapping of keys to values"));
            return None;
        };
        Some(Self { map, path: path.to_owned(), out, asked: RefCell::default() })
    }

    /// Notes a finding about a key of this section, or about the section where it lacks the key.
    pub fn note(&self, key: &str, text: impl Display) {
        let node = self.map.get(key);
        let at = node.map_or_else(|| place(self.map.span()), |node| place(node.span()));
        self.out.note(at, format!("{}: {text}", self.named(key)));
    }

    fn named(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn node(&self, key: &'static str) -> Option<&'a Node> {
        self.asked.borrow_mut().insert(key);
        self.map.get(key)
    }

    /// Whether the key is there.
    pub fn has(&self, key: &'static str) -> bool {
        self.node(key).is_some()
    }

    fn read<T: FromStr>(&self, key: &str, node: &Node) -> Option<T>
    where
        T::Err: Display,
    {
        let Some(scalar) = node.as_scalar() else {
            self.note(key, "must be a single value");
            return None;
        };
        match scalar.as_str().parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.note(key, format!("{:?} {error}", scalar.as_str()));
                None
            }
        }
    }

    /// A value that must be there.
    pub fn required<T: FromStr>(&self, key: &'static str) -> Option<T>
    where
        T::Err: Display,
    {
        let Some(node) = self.node(key) else {
            self.note(key, "is missing");
            return None;
        };
        self.read(key, node)
    }

    /// A value that may be left out.
    pub fn optional<T: FromStr>(&self, key: &'static str) -> Option<T>
    where
        T::Err: Display,
    {
        self.read(key, self.node(key)?)
    }

    /// A value, or the default where it is left out; none where it is there and wrong.
    pub fn or<T: FromStr>(&self, key: &'static str, default: T) -> Option<T>
    where
        T::Err: Display,
    {
        match self.node(key) {
            Some(node) => self.read(key, node),
            None => Some(default),
        }
    }

    /// A list of values; an absent key is an empty list.
    pub fn list<T: FromStr>(&self, key: &'static str) -> Option<Vec<T>>
    where
        T::Err: Display,
    {
        let Some(node) = self.node(key) else { return Some(Vec::new()) };
        let Some(items) = node.as_sequence() else {
            self.note(key, "must be a list");
            return None;
        };
        let read: Vec<Option<T>> = items.iter().map(|item| self.read(key, item)).collect();
        read.into_iter().collect()
    }

    /// A section that must be there.
    pub fn section(&self, key: &'static str) -> Option<Self> {
        if !self.has(key) {
            self.note(key, "is missing");
        }
        self.optional_section(key)
    }

    /// A section that may be left out.
    pub fn optional_section(&self, key: &'static str) -> Option<Self> {
        Self::new(self.node(key)?, &self.named(key), self.out)
    }

    /// The sections of a list of mappings; an absent key is an empty list.
    pub fn sections(&self, key: &'static str) -> Vec<Self> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let Some(items) = node.as_sequence() else {
            self.note(key, "must be a list of mappings");
            return Vec::new();
        };
        let named = |at: usize| format!("{}[{at}]", self.named(key));
        let items = items.iter().enumerate();
        items.filter_map(|(at, item)| Self::new(item, &named(at), self.out)).collect()
    }

    /// The sections of a mapping whose keys are names, with their names.
    pub fn named_sections(&self, key: &'static str) -> Vec<(String, Self)> {
        let Some(section) = self.section(key) else { return Vec::new() };
        let named = section.map.iter().filter_map(|(name, node)| {
            let path = section.named(name.as_str());
            Some((name.as_str().to_owned(), Self::new(node, &path, self.out)?))
        });
        named.collect()
    }

    /// Notes each key that nobody asked for.
    pub fn finish(&self) {
        let asked = self.asked.borrow();
        for (key, _) in self.map.iter().filter(|(key, _)| !asked.contains(key.as_str())) {
            let known: Vec<&str> = asked.iter().copied().collect();
            let text = format!(
                "{}: is not a known key; known here: {}",
                self.named(key.as_str()),
                known.join(", ")
            );
            self.out.note(place(key.span()), text);
        }
    }
}
