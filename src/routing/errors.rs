//! What is wrong with a document.

use std::fmt;

use thiserror::Error;

/// All that is wrong with a document, each with its place; never empty.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Invalid(pub Vec<Finding>);

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where, as a path into the document.
    pub place: String,
    /// What, and what would be right.
    pub text: String,
}

impl Finding {
    /// A finding at that place.
    pub fn new(place: impl Into<String>, text: impl Into<String>) -> Self {
        Self { place: place.into(), text: text.into() }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (nth, finding) in self.0.iter().enumerate() {
            let separator = if nth == 0 { "" } else { "; " };
            write!(f, "{separator}{}: {}", finding.place, finding.text)?;
        }
        Ok(())
    }
}
