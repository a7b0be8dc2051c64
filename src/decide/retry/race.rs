//! Two concurrent attempts of one request, of which only one answers the caller.

use crate::id;

/// The running attempts of a hedged request.
#[derive(Debug)]
pub struct Race {
    running: Vec<id::Attempt>,
    winner: Option<id::Attempt>,
}

/// What to do with an attempt's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Send it to the caller; cancel the other attempts and close their connections.
    Wins {
        /// The attempts to cancel.
        cancel: Vec<id::Attempt>,
    },
    /// Drop it; another attempt is already answering.
    Late,
}

impl Race {
    /// Starts with the first attempt.
    pub fn new(first: id::Attempt) -> Self {
        Self { running: vec![first], winner: None }
    }

    /// Adds a second attempt; returns false if the first one is already answering and none should be made.
    pub fn hedged(&mut self, second: id::Attempt) -> bool {
        if self.winner.is_some() {
            return false;
        }
        self.running.push(second);
        true
    }

    /// Handles the start of an attempt's answer.
    pub fn answers(&mut self, attempt: id::Attempt) -> Answer {
        if self.winner.is_some() || !self.running.contains(&attempt) {
            return Answer::Late;
        }
        self.winner = Some(attempt);
        let cancel = self.running.iter().copied().filter(|&other| other != attempt).collect();
        self.running.retain(|&other| other == attempt);
        Answer::Wins { cancel }
    }

    /// Records a failed attempt; returns true if no attempt is running any more.
    pub fn failed(&mut self, attempt: id::Attempt) -> bool {
        self.running.retain(|&other| other != attempt);
        self.running.is_empty()
    }
}
