//! What a fake answers to a prompt, computed apart from the fakes, so that a wrong answer is seen.

use sha2::Digest;
use sha2::Sha256;

/// The words that the fakes' answers are made of.
const WORDS: [&str; 16] = [
    "a", "at", "by", "cell", "clear", "east", "field", "in", "line", "north", "of", "pier", "rain",
    "south", "storm", "west",
];

/// Words in an answer of the fake service.
pub const SERVICE_WORDS: usize = 8;

/// The answer of `count` words to a prompt: its digest, and then words chosen by it.
pub fn answer(prompt: &str, count: usize) -> String {
    let hash: [u8; 32] = Sha256::digest(prompt.as_bytes()).into();
    let chosen = (1..count).map(|i| WORDS[(usize::from(hash[i % 32]) + i / 32) % WORDS.len()]);
    let mut answer = hex::encode(&hash[..8]);
    for word in chosen {
        answer.push(' ');
        answer.push_str(word);
    }
    answer
}

/// What a service's answer is a function of.
pub fn service_prompt(method: &str, path: &str, body: &str) -> String {
    format!("{method} {path}\n{body}")
}

#[cfg(test)]
mod tests;
