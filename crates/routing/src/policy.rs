//! The policies that pick one of the candidates.

use crate::affinity::AffinityTable;
use crate::index::ViewIndex;
use crate::random::SeededGenerator;
use crate::settings::RoutePolicy;

/// Random groups compared with those that know the prompt. With 7 nodes and reports that lag 500 ms,
/// the 95th percentile of the time to the first token at 80% of capacity was 149 ms with two groups,
/// 128 ms with four and 151 ms with all 20.
const COMPARED_GROUPS: usize = 4;

/// Prompt blocks, about 1,000 tokens, from which on a known prompt has the full benefit; the
/// prefill of a shorter prompt takes too little time to accept a longer queue for it.
const FULL_BENEFIT_BLOCKS: usize = 16;

/// A group that fits the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteCandidate {
    /// Position in the view.
    pub(crate) position: usize,
    /// Estimated requests per slot.
    pub(crate) load: f64,
}

/// A pick and its reason.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PolicyPick {
    pub(crate) candidate: RouteCandidate,
    pub(crate) reason: &'static str,
    /// Leading blocks that the group was sent before.
    pub(crate) matched_blocks: usize,
}

impl PolicyPick {
    fn without_match(candidate: RouteCandidate, reason: &'static str) -> Self {
        Self {
            candidate,
            reason,
            matched_blocks: 0,
        }
    }
}

/// What a policy may use.
pub(crate) struct PolicyInput<'a> {
    /// Not empty; positions rise.
    pub(crate) candidates: &'a [RouteCandidate],
    pub(crate) index: &'a ViewIndex,
    pub(crate) affinity: &'a AffinityTable,
    pub(crate) prefix: &'a [u64],
    pub(crate) bound_permille: u32,
}

impl PolicyInput<'_> {
    pub(crate) fn mean_load(&self) -> f64 {
        let sum: f64 = self.candidates.iter().map(|one| one.load).sum();
        sum / self.candidates.len().max(1) as f64
    }

    /// Load per slot that knowing `blocks` of the prompt outweighs.
    fn benefit(&self, blocks: usize) -> f64 {
        let all = self.prefix.len().max(FULL_BENEFIT_BLOCKS);
        f64::from(self.bound_permille) / 1000.0 * blocks as f64 / all as f64
    }

    fn candidate_at(&self, position: usize) -> Option<RouteCandidate> {
        self.candidates
            .binary_search_by_key(&position, |one| one.position)
            .ok()
            .map(|found| self.candidates[found])
    }
}

/// Picks a candidate; `None` only when there is none.
pub(crate) fn pick(
    policy: RoutePolicy,
    input: &PolicyInput<'_>,
    generator: &mut SeededGenerator,
) -> Option<PolicyPick> {
    match policy {
        RoutePolicy::Random => random(input, generator),
        RoutePolicy::LeastLoaded => least_loaded(input),
        RoutePolicy::TwoChoices => two_choices(input, generator),
        RoutePolicy::BoundedAffinity => bounded_affinity(input, generator),
    }
}

fn random(input: &PolicyInput<'_>, generator: &mut SeededGenerator) -> Option<PolicyPick> {
    let candidate = input
        .candidates
        .get(generator.below(input.candidates.len()))?;
    Some(PolicyPick::without_match(*candidate, "random"))
}

fn least_loaded(input: &PolicyInput<'_>) -> Option<PolicyPick> {
    let candidate = lower_load(input.candidates.iter().copied())?;
    Some(PolicyPick::without_match(candidate, "least load"))
}

fn two_choices(input: &PolicyInput<'_>, generator: &mut SeededGenerator) -> Option<PolicyPick> {
    let candidate = lowest_of(2, input, generator)?;
    Some(PolicyPick::without_match(
        candidate,
        "less loaded of two choices",
    ))
}

/// The least loaded of `choices` random candidates; two at least are different ones.
fn lowest_of(
    choices: usize,
    input: &PolicyInput<'_>,
    generator: &mut SeededGenerator,
) -> Option<RouteCandidate> {
    let count = input.candidates.len();
    let first = generator.below(count);
    let others =
        (1..choices).map(|_| (first + 1 + generator.below(count.saturating_sub(1))) % count.max(1));
    let chosen = std::iter::once(first).chain(others);
    lower_load(chosen.filter_map(|position| input.candidates.get(position).copied()))
}

/// The group that was sent most of the prompt, unless another one is so much less loaded that the
/// shorter queue outweighs the cache.
///
/// A hard bound (the longest known prefix within 1.25 times the mean load) kept groups above the
/// others until their bound, and was slower than two choices at 80% and 95% of capacity.
fn bounded_affinity(
    input: &PolicyInput<'_>,
    generator: &mut SeededGenerator,
) -> Option<PolicyPick> {
    let candidate = lowest_of(COMPARED_GROUPS, input, generator)?;
    let mut best = PolicyPick::without_match(candidate, "least loaded of four choices");
    let mut lowest = candidate.load;
    for (depth, block) in input.prefix.iter().enumerate().rev() {
        let blocks = depth + 1;
        let holders = input.affinity.holders(*block);
        for position in holders.filter_map(|one| input.index.position_of_instance(one)) {
            let Some(candidate) = input.candidate_at(position) else {
                continue;
            };
            // A holder of a longer part comes first, so its own shorter parts never win.
            let cost = candidate.load - input.benefit(blocks);
            if cost < lowest {
                lowest = cost;
                best = PolicyPick {
                    candidate,
                    reason: "prefix sent before, queue short enough",
                    matched_blocks: blocks,
                };
            }
        }
    }
    Some(best)
}

fn lower_load(candidates: impl Iterator<Item = RouteCandidate>) -> Option<RouteCandidate> {
    candidates.min_by(|one, other| one.load.total_cmp(&other.load))
}
