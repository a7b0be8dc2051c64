//! What is wrong with a file, collected and reported together.

use std::cell::RefCell;
use std::fmt;

use thiserror::Error;

/// One thing that is wrong, with its place and what would be right.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The file's name as it was given.
    pub file: String,
    /// The line, from 1; 0 where the whole file is meant.
    pub line: usize,
    /// The column, from 1; 0 where the whole line is meant.
    pub column: usize,
    /// What is wrong and what would be right.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column) {
            (0, _) => write!(f, "{}: {}", self.file, self.text),
            (line, 0) => write!(f, "{}:{line}: {}", self.file, self.text),
            (line, column) => write!(f, "{}:{line}:{column}: {}", self.file, self.text),
        }
    }
}

/// All that is wrong with a file, in the order of its lines; never empty.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, finding) in self.0.iter().enumerate() {
            if place > 0 {
                writeln!(f)?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

/// Collects findings while a file is read.
#[derive(Debug)]
pub struct Collector {
    file: String,
    found: RefCell<Vec<Finding>>,
}

impl Collector {
    /// A collector for a file of that name.
    pub fn new(file: &str) -> Self {
        Self { file: file.to_owned(), found: RefCell::default() }
    }

    /// Notes a finding.
    pub fn note(&self, (line, column): (usize, usize), text: impl Into<String>) {
        let finding = Finding { file: self.file.clone(), line, column, text: text.into() };
        self.found.borrow_mut().push(finding);
    }

    /// Whether nothing was found so far.
    pub fn is_clean(&self) -> bool {
        self.found.borrow().is_empty()
    }

    /// The value where nothing was found, else all findings in the order of the lines.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Findings> {
        let mut found = self.found.into_inner();
        match value {
            Some(value) if found.is_empty() => Ok(value),
            _ => {
                found.sort();
                found.dedup();
                Err(Findings(found))
            }
        }
    }
}
