//! What a fake answers: a function of the prompt and of nothing else.

use sha2::Digest;
use sha2::Sha256;

/// The words that answers are made of.
const WORDS: [&str; 16] = [
    "a", "at", "by", "cell", "clear", "east", "field", "in", "line", "north", "of", "pier", "rain",
    "south", "storm", "west",
];

/// A prompt's digest in 16 hexadecimal digits; it names the prompt in logs of what ran.
pub fn digest(prompt: &str) -> String {
    let hash: [u8; 32] = Sha256::digest(prompt.as_bytes()).into();
    hash[..8].iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The first `count` pieces of the answer to a prompt; an engine sends one at a time.
///
/// The first is the prompt's digest, so that even the shortest answer belongs to one prompt alone.
pub fn words(prompt: &str, count: usize) -> Vec<String> {
    let hash: [u8; 32] = Sha256::digest(prompt.as_bytes()).into();
    let word = |i: usize| match i {
        0 => digest(prompt),
        _ => WORDS[(usize::from(hash[i % 32]) + i / 32) % WORDS.len()].to_owned(),
    };
    (0..count).map(word).collect()
}

/// The whole answer of `count` pieces to a prompt.
pub fn answer(prompt: &str, count: usize) -> String {
    words(prompt, count).join(" ")
}
