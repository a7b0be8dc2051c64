//! A decoded request.

use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::uri::PathAndQuery;

use crate::decide::engine::Output;
use crate::decide::held;
use crate::decide::held::Chain;
use crate::decide::place::Prefix;
use crate::decide::place::Work;
use crate::routing::Credential;
use crate::unit::Tokens;

/// Shorter shared prefixes do not affect placement: reading them again costs less than the usual
/// differences between engines.
const MIN_SHARED_TOKENS: Tokens = held::MIN_PART_TOKENS;

/// A request without its body.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request id that the caller assigned to this attempt.
    pub id: String,
    /// The method.
    pub method: Method,
    /// The requested host.
    pub host: String,
    /// The path and query.
    pub target: PathAndQuery,
    /// The caller's timeout, if stated.
    pub timeout: Option<Duration>,
    /// The size of the prompt; none for requests to plain services.
    pub prompt: Option<Prompt>,
    /// The key presented by the caller.
    pub authorization: Authorization,
    /// End-to-end headers, forwarded unchanged.
    pub headers: HeaderMap,
}

/// The key material of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authorization {
    /// No key.
    Missing,
    /// One key.
    Key(Credential),
    /// More than one key; none is accepted.
    Ambiguous,
}

/// The size and parts of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Prompt length.
    pub input: Tokens,
    /// Maximum number of generated tokens.
    pub output: Tokens,
    /// Expected number of generated tokens, if stated.
    pub hint: Option<Tokens>,
    /// Consecutive parts as (key, length); the last one is specific to the request or its session.
    pub parts: Vec<(u64, Tokens)>,
}

impl Call {
    /// The work that an engine has to do.
    pub fn work(&self) -> Work {
        let Some(prompt) = &self.prompt else { return Work::default() };
        let shared = prompt.shared();
        let read = shared.map_or(Tokens::ZERO, |shared| shared.tokens);
        let output = Output { limit: prompt.output, hint: prompt.hint };
        let leading = prompt.parts.split_last().map_or(&[][..], |(_, leading)| leading);
        let chain = shared.map_or_else(Chain::default, |_| Chain::new(leading));
        Work { prefix: shared, chain, suffix: prompt.input.saturating_sub(read), output }
    }
}

impl Prompt {
    /// Prompt tokens plus the maximum of generated tokens.
    pub fn total_tokens(&self) -> Tokens {
        self.input + self.output
    }

    /// The prefix that is shared with other requests, identified by the key of its last part. A
    /// cached part is usable only if all parts before it are cached too.
    fn shared(&self) -> Option<Prefix> {
        let (_, leading) = self.parts.split_last()?;
        let key = leading.last()?.0;
        let tokens = leading.iter().map(|(_, tokens)| *tokens).sum();
        (tokens >= MIN_SHARED_TOKENS).then_some(Prefix { key, tokens })
    }
}

#[cfg(test)]
mod tests;
