//! The output for a prompt, as a function of model, prompt and token offset.
//!
//! Engines generate it and tests recompute it, so a test can check that a client received the
//! complete output for its own request.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::ids::ModelId;

/// FNV-1a parameters. The hash must be the same in every process and build.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of two byte strings with a separator between them.
fn fnv_hash(first: &[u8], second: &[u8]) -> u64 {
    let bytes = first.iter().chain(&[0]).chain(second);
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Seed of a model's output for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompletionSeed(u64);

impl CompletionSeed {
    /// Derives the seed of `model`'s output for `prompt`.
    pub fn new(model: &ModelId, prompt: &str) -> Self {
        Self(fnv_hash(model.as_str().as_bytes(), prompt.as_bytes()))
    }

    /// Returns the text of the token at `offset`.
    pub fn token(self, offset: u32) -> CompactString {
        let mixed = (self.0 ^ u64::from(offset).wrapping_mul(FNV_PRIME)).wrapping_mul(FNV_PRIME);
        format_compact!(" {:05x}", (mixed >> 40) & 0xf_ffff)
    }
}

/// Returns the complete output of `model` for `prompt` with `max_tokens` tokens.
pub fn expected_text(model: &ModelId, prompt: &str, max_tokens: u32) -> String {
    let seed = CompletionSeed::new(model, prompt);
    (0..max_tokens).map(|offset| seed.token(offset)).collect()
}

/// Returns the confirmation in a service's response to a call. It contains no counter, so equal
/// calls have equal responses and only the recorded runs show whether a call was executed twice.
pub fn service_confirmation(path: &str, body: &[u8]) -> CompactString {
    format_compact!("{:016x}", fnv_hash(path.as_bytes(), body))
}
