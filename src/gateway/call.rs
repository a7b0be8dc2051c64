//! One request of a caller, decoded.

use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::uri::PathAndQuery;

use crate::decide::engine::Output;
use crate::decide::place::Prefix;
use crate::decide::place::Work;
use crate::routing::Credential;
use crate::unit::Tokens;

/// A shared part of a prompt must have so many tokens to decide where a request goes: reading fewer again takes less
/// than the differences between engines that are otherwise alike.
const WORTH_FINDING: Tokens = Tokens::new(1_000);

/// One request, without its body.
#[derive(Debug, Clone)]
pub struct Call {
    /// The caller's id of this attempt, as it was sent.
    pub id: String,
    /// The method.
    pub method: Method,
    /// The host that it names.
    pub host: String,
    /// Its path and query.
    pub target: PathAndQuery,
    /// How long the caller waits; none where it does not say.
    pub patience: Option<Duration>,
    /// What it asks of a model engine; none for a plain request.
    pub prompt: Option<Prompt>,
    /// The key that it shows.
    pub shown: Shown,
    /// The headers that go with it unchanged.
    pub headers: HeaderMap,
}

/// What a request shows of who sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shown {
    /// No key.
    Nothing,
    /// One key.
    Key(Credential),
    /// Several keys, none of which counts.
    Several,
}

/// A prompt's size and parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its length.
    pub input: Tokens,
    /// The most that may be generated.
    pub output: Tokens,
    /// How much its caller expects to be generated; none where it does not say.
    pub hint: Option<Tokens>,
    /// Its parts in order, each with a name and a length; the last one is the request's own or its session's.
    pub parts: Vec<(u64, Tokens)>,
}

impl Call {
    /// What it asks of an engine.
    pub fn work(&self) -> Work {
        let Some(prompt) = &self.prompt else { return Work::default() };
        let shared = prompt.shared();
        let read = shared.map_or(Tokens::ZERO, |shared| shared.tokens);
        let output = Output { limit: prompt.output, hint: prompt.hint };
        Work { prefix: shared, suffix: prompt.input.saturating_sub(read), output }
    }
}

impl Prompt {
    /// The tokens that it states, read and generated.
    pub fn stated(&self) -> Tokens {
        self.input + self.output
    }

    /// The leading parts that other requests have too, named by the last of them: a part is of use only where all parts
    /// before it are there as well.
    fn shared(&self) -> Option<Prefix> {
        let (_, leading) = self.parts.split_last()?;
        let key = leading.last()?.0;
        let tokens = leading.iter().map(|(_, tokens)| *tokens).sum();
        (tokens >= WORTH_FINDING).then_some(Prefix { key, tokens })
    }
}

#[cfg(test)]
mod tests;
