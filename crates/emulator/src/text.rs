//! Generates the text of answers as a deterministic function of version and prompt, so that tests
//! can compare answers byte by byte.
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

/// Returns the hash that identifies a prompt.
pub fn seed(prompt: &str) -> u64 {
    hash(prompt, 0)
}

/// Returns a 64-bit hash of a text and a salt.
pub fn hash(text: &str, salt: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(text.as_bytes());
    hasher.update(&salt.to_le_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns a hash of a text and a salt as a number in `[0, 1)`.
pub fn unit(text: &str, salt: u64) -> f64 {
    (hash(text, salt) >> 11) as f64 / (1u64 << 53) as f64
}

/// The words of an answer; the first word is the prompt's seed in hexadecimal.
#[derive(Clone, Debug)]
pub struct Words {
    version: u64,
    seed: u64,
}

impl Words {
    /// Creates the words of a version's answer to a prompt.
    pub fn new(version: &str, prompt: &str) -> Words {
        Words {
            version: hash(version, 1),
            seed: seed(prompt),
        }
    }

    /// Returns the word at an index, followed by a space.
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

/// Returns a version's complete answer to a prompt.
pub fn answer(version: &str, prompt: &str, tokens: u32) -> String {
    let words = Words::new(version, prompt);
    (0..tokens).map(|i| words.word(i)).collect()
}

/// Returns the seed of the prompt that an answer belongs to, or `None` if its start is not a seed.
pub fn seed_of(answer: &str) -> Option<u64> {
    u64::from_str_radix(answer.get(..16)?, 16).ok()
}
