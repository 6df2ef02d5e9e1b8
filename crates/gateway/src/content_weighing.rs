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
    /// Single requests with the piece are the likelier reason.
    Repeated,
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
            WeighingResult::Repeated => "repeated",
        })
    }
}

/// Ends that do not count against a piece, by the first reason that excuses it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExcusedEnds {
    /// Other processes have ended at the same time.
    pub common_cause: usize,
    /// Another piece was there that is the likelier reason.
    pub explained: usize,
    /// A single request with the piece was there that has come again.
    pub repeated: usize,
}

impl ExcusedEnds {
    /// What most of these ends have to do with; `None` if there are none.
    pub fn result(&self) -> Option<WeighingResult> {
        let counts = [
            (self.common_cause, WeighingResult::CommonCause),
            (self.explained, WeighingResult::Explained),
            (self.repeated, WeighingResult::Repeated),
        ];
        let most = counts.into_iter().max_by_key(|(count, _)| *count);
        most.filter(|(count, _)| *count > 0)
            .map(|(_, result)| result)
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
    /// Ends that do not count.
    pub excused: ExcusedEnds,
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
            "key={} ends={} common_cause={} explained={} repeated={} sources={} survivals={} weight={:.1} result={}",
            self.key,
            self.ends,
            self.excused.common_cause,
            self.excused.explained,
            self.excused.repeated,
            self.sources,
            self.survivals,
            self.weight,
            self.result
        )
    }
}
