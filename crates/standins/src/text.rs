//! The answer to a prompt, as a function of model, prompt and position.
//!
//! Engines generate it and tests recompute it, so a test can tell whether a caller got the complete
//! answer to its own request.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::ModelId;

/// FNV-1a parameters; the hash must be equal in every process and build.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of two texts and the border between them.
fn fnv_hash(first: &[u8], second: &[u8]) -> u64 {
    let bytes = first.iter().chain(&[0]).chain(second);
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Seed of a model's answer to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompletionSeed(u64);

impl CompletionSeed {
    /// The seed of `model`'s answer to `prompt`.
    pub fn new(model: &ModelId, prompt: &str) -> Self {
        Self(fnv_hash(model.as_str().as_bytes(), prompt.as_bytes()))
    }

    /// Text of the token at `offset`.
    pub fn token(self, offset: u32) -> CompactString {
        let mixed = (self.0 ^ u64::from(offset).wrapping_mul(FNV_PRIME)).wrapping_mul(FNV_PRIME);
        format_compact!(" {:05x}", (mixed >> 40) & 0xf_ffff)
    }
}

/// The whole answer of `model` to `prompt` with `max_tokens` tokens.
pub fn expected_text(model: &ModelId, prompt: &str, max_tokens: u32) -> String {
    let seed = CompletionSeed::new(model, prompt);
    (0..max_tokens).map(|offset| seed.token(offset)).collect()
}

/// The confirmation that a plain service gives for a call. It contains no counter, so that equal
/// calls have equal answers and only the record of runs tells whether a call ran twice.
pub fn service_confirmation(path: &str, body: &[u8]) -> CompactString {
    format_compact!("{:016x}", fnv_hash(path.as_bytes(), body))
}
