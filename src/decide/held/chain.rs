//! The shared parts of a prompt, in order.

use super::MIN_PART_TOKENS;
use crate::unit::Tokens;

/// The parts of a prompt that are looked up at most; what follows them counts as not held.
const MAX_CHAIN: usize = 6;

/// The shared parts of a prompt, in order, as (part, tokens). A cached part is usable only if all parts before it are cached
/// too.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Chain {
    parts: [(u64, Tokens); MAX_CHAIN],
    length: u8,
}

impl Chain {
    /// Returns the chain of these parts.
    pub fn new(parts: &[(u64, Tokens)]) -> Self {
        let mut chain = Self::default();
        for (slot, part) in chain.parts.iter_mut().zip(parts) {
            *slot = *part;
            chain.length += 1;
        }
        chain
    }

    /// Returns the parts.
    pub fn parts(&self) -> &[(u64, Tokens)] {
        &self.parts[..usize::from(self.length)]
    }

    /// Returns the tokens of all parts.
    pub fn tokens(&self) -> Tokens {
        self.parts().iter().map(|(_, tokens)| *tokens).sum()
    }

    /// Returns the tokens of the longest sequence of parts from the first one on that are held. `kept` returns how many
    /// tokens of a part are. VMs don't tell each other of parts below [`MIN_PART_TOKENS`]: such a part counts as held if the
    /// next long one is.
    pub fn longest(&self, kept: impl Fn(u64) -> Tokens) -> Tokens {
        let (mut held, mut short) = (Tokens::ZERO, Tokens::ZERO);
        for (part, tokens) in self.parts() {
            if *tokens < MIN_PART_TOKENS {
                short += *tokens;
                continue;
            }
            let kept = kept(*part).min(*tokens);
            if kept > Tokens::ZERO {
                held += kept + std::mem::replace(&mut short, Tokens::ZERO);
            }
            if kept < *tokens {
                break;
            }
        }
        held
    }
}
