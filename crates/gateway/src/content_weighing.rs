//! What the evidence about a piece of content says, for the log.

use std::fmt;

use jaysaddle_types::content::ContentKey;

/// Why a piece of content is accused, or is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeighingResult {
    /// The piece is accused.
    Accused,
    /// Nothing of its class has been survived lately, so its ends may have to do with the class.
    NoContrast,
    /// Processes have survived the piece.
    Survived,
    /// Too few independent requests were at the ends.
    FewSources,
    /// The ends may be chance.
    Unweighty,
    /// Other processes have ended at the same times.
    CommonCause,
    /// Another piece is the likelier reason.
    Explained,
}

impl fmt::Display for WeighingResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            WeighingResult::Accused => "accused",
            WeighingResult::NoContrast => "no_contrast",
            WeighingResult::Survived => "survived",
            WeighingResult::FewSources => "few_sources",
            WeighingResult::Unweighty => "unweighty",
            WeighingResult::CommonCause => "common_cause",
            WeighingResult::Explained => "explained",
        })
    }
}

/// Evidence about a piece of content that was at several ends of backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContentWeighing {
    /// Key of the piece that was weighed.
    pub key: ContentKey,
    /// Number of different times of its ends that count.
    pub ends: usize,
    /// Number of independent requests at these ends.
    pub sources: usize,
    /// Number of survivals that count.
    pub survivals: usize,
    /// Natural logarithm of the odds against chance; 0 for whole requests, which are not weighed so.
    pub weight: f64,
    /// What follows from it.
    pub result: WeighingResult,
}

impl fmt::Display for ContentWeighing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "key={} ends={} sources={} survivals={} weight={:.1} result={}",
            self.key, self.ends, self.sources, self.survivals, self.weight, self.result
        )
    }
}
