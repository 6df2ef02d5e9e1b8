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

/// Increment of the SplitMix64 generator.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Seed of a model's answer to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnswerSeed(u64);

impl AnswerSeed {
    /// The seed of `model`'s answer to `prompt`.
    pub fn new(model: &ModelId, prompt: &str) -> Self {
        let bytes = model.as_str().bytes().chain([0]).chain(prompt.bytes());
        Self(bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        }))
    }

    /// Text of the token at `offset`.
    pub fn token(self, offset: u32) -> CompactString {
        // SplitMix64: neighbouring offsets give unrelated words.
        let mut mixed = self
            .0
            .wrapping_add(u64::from(offset).wrapping_mul(GOLDEN_GAMMA));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        format_compact!(" {:05x}", mixed & 0xf_ffff)
    }
}

/// The whole answer of `model` to `prompt` with `max_tokens` tokens.
pub fn expected_text(model: &ModelId, prompt: &str, max_tokens: u32) -> String {
    let seed = AnswerSeed::new(model, prompt);
    (0..max_tokens).map(|offset| seed.token(offset)).collect()
}
