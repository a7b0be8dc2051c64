//! Identifiers: one newtype for each kind, so that none can stand where another is meant.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use rand::Rng;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use thiserror::Error;

/// The longest name that any identifier may have, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is empty or longer than [`MAX_NAME_BYTES`].
    #[error("has {0} bytes; a name has 1 to {MAX_NAME_BYTES}")]
    Length(usize),
    /// The text holds a character that no identifier may have.
    #[error("has the character {0:?}; a name has letters, digits and any of . _ - : @")]
    Character(char),
    /// The text is not a 128-bit number in hexadecimal digits.
    #[error("is not a number of 32 hexadecimal digits")]
    Number,
}

fn checked(text: &str) -> Result<Arc<str>, Error> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(Error::Length(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || ".-_:@/".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(Arc::from(text)),
    }
}

/// Declares an identifier that is a short name.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                checked(text).map(Self)
            }
        }
    };
}

/// Declares an identifier that is a random 128-bit number, written in hexadecimal digits.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(u128);

        impl $name {
            /// An identifier of the given number.
            pub const fn new(number: u128) -> Self {
                Self(number)
            }

            /// A fresh random identifier.
            pub fn random(rng: &mut impl Rng) -> Self {
                Self(rng.random())
            }

            /// The number itself.
            pub const fn get(self) -> u128 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                if text.len() != 32 {
                    return Err(Error::Number);
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| Error::Number)
            }
        }
    };
}

name! {
    /// A VM of the system. It is given in settings and stays the same over restarts.
    Vm
}
name! {
    /// A region: the area that bound data never leaves.
    Region
}
name! {
    /// A data centre within a region.
    DataCentre
}
name! {
    /// An upstream: a model engine or a plain service that announces itself.
    Upstream
}
name! {
    /// The organisation that owns catalogue entries and sends requests.
    Owner
}
name! {
    /// A catalogue entry's name.
    Entry
}
name! {
    /// A model, an adapter or a version that an engine can hold.
    Model
}
name! {
    /// The idempotency key that a caller sends along with a request.
    Key
}
number! {
    /// One request of one caller, as this system numbers it.
    Request
}
number! {
    /// One attempt to run a request on an upstream.
    Attempt
}
number! {
    /// One change of the catalogue: a resend has the same number and gets the same answer.
    Operation
}
number! {
    /// The identity of a replica's data folder; a lost folder is another identity.
    Replica
}

#[cfg(test)]
mod tests;
