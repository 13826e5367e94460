//! The text that an engine generates: a fixed function of version and prompt,
//! so that a test can tell a right answer from a wrong one byte by byte.
//!
//! ```
//! use sorreldeck_emulator::text::{answer, seed_of};
//!
//! let text = answer("scribe-1", "hello", 4);
//! assert_eq!(text, answer("scribe-1", "hello", 4));
//! assert_ne!(text, answer("scribe-2", "hello", 4));
//! assert_eq!(seed_of(&text), Some(sorreldeck_emulator::text::seed("hello")));
//! ```

const WORDS: [&str; 16] = [
    "hours", "gang", "site", "plug", "rate", "shift", "wage", "roster", "meter", "tariff", "depot",
    "clerk", "mason", "note", "claim", "refund",
];

/// Returns the number that stands for a prompt.
pub fn seed(prompt: &str) -> u64 {
    hash(prompt, 0)
}

/// Returns a number drawn from a text and a salt.
pub fn hash(text: &str, salt: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(text.as_bytes());
    hasher.update(&salt.to_le_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns a number in `[0, 1)` drawn from a text and a salt.
pub fn unit(text: &str, salt: u64) -> f64 {
    (hash(text, salt) >> 11) as f64 / (1u64 << 53) as f64
}

/// The words of one answer; the first one tells the prompt's seed.
#[derive(Clone, Debug)]
pub struct Words {
    version: u64,
    seed: u64,
}

impl Words {
    /// Returns the words that a version answers a prompt with.
    pub fn new(version: &str, prompt: &str) -> Words {
        Words {
            version: hash(version, 1),
            seed: seed(prompt),
        }
    }

    /// Returns the word at a place, with the space that follows it.
    pub fn word(&self, i: u32) -> String {
        if i == 0 {
            return format!("{:016x} ", self.seed);
        }
        let mixed = (self.seed ^ self.version)
            .wrapping_add(u64::from(i))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        format!("{} ", WORDS[(mixed >> 60) as usize])
    }
}

/// Returns the whole answer of a version to a prompt.
pub fn answer(version: &str, prompt: &str, tokens: u32) -> String {
    let words = Words::new(version, prompt);
    (0..tokens).map(|i| words.word(i)).collect()
}

/// Returns the seed of the prompt that an answer belongs to.
pub fn seed_of(answer: &str) -> Option<u64> {
    u64::from_str_radix(answer.get(..16)?, 16).ok()
}
