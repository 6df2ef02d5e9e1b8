//! Policies that select one of the candidate groups.

use crate::affinity::AffinityTable;
use crate::index::ViewIndex;
use crate::random::SeededRandom;
use crate::settings::RoutePolicy;

/// Random groups that are compared with the groups that were sent the prompt's prefix. With 7 nodes
/// and reports that lag 500 ms, the 95th percentile of the time to the first token at 80% of
/// capacity was 149 ms with two groups, 128 ms with four and 151 ms with all 20.
const SAMPLED_GROUPS: usize = 4;

/// Minimum prompt length, in blocks, for a full prefix match to have the full benefit; about 1,000
/// tokens. The prefill of a shorter prompt takes too little time to justify a longer queue.
const FULL_BENEFIT_BLOCKS: usize = 16;

/// A group that can serve the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteCandidate {
    /// Index of the group in the view.
    pub(crate) position: usize,
    /// Estimated requests per slot.
    pub(crate) load: f64,
}

/// The selected candidate and why it was selected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PolicyPick {
    pub(crate) candidate: RouteCandidate,
    pub(crate) reason: &'static str,
    /// Leading blocks of the prompt that the group was sent before.
    pub(crate) matched_blocks: usize,
}

impl PolicyPick {
    fn without_prefix_match(candidate: RouteCandidate, reason: &'static str) -> Self {
        Self {
            candidate,
            reason,
            matched_blocks: 0,
        }
    }
}

/// Data that a policy decides on.
pub(crate) struct PolicyInput<'a> {
    /// Candidates in ascending order of `position`.
    pub(crate) candidates: &'a [RouteCandidate],
    pub(crate) index: &'a ViewIndex,
    pub(crate) affinity: &'a AffinityTable,
    pub(crate) prefix: &'a [u64],
    pub(crate) bound_permille: u32,
}

impl PolicyInput<'_> {
    pub(crate) fn mean_load(&self) -> f64 {
        let sum: f64 = self.candidates.iter().map(|candidate| candidate.load).sum();
        sum / self.candidates.len().max(1) as f64
    }

    /// Extra load per slot that is accepted for a prefix match of `blocks` blocks.
    fn affinity_benefit(&self, blocks: usize) -> f64 {
        let full_benefit_blocks = self.prefix.len().max(FULL_BENEFIT_BLOCKS);
        f64::from(self.bound_permille) / 1000.0 * blocks as f64 / full_benefit_blocks as f64
    }

    fn candidate_at(&self, position: usize) -> Option<RouteCandidate> {
        self.candidates
            .binary_search_by_key(&position, |candidate| candidate.position)
            .ok()
            .map(|index| self.candidates[index])
    }
}

/// Selects a candidate; `None` if there is none.
pub(crate) fn pick(
    policy: RoutePolicy,
    input: &PolicyInput<'_>,
    generator: &mut SeededRandom,
) -> Option<PolicyPick> {
    match policy {
        RoutePolicy::Random => random(input, generator),
        RoutePolicy::LeastLoaded => least_loaded(input),
        RoutePolicy::TwoChoices => two_choices(input, generator),
        RoutePolicy::BoundedAffinity => bounded_affinity(input, generator),
    }
}

fn random(input: &PolicyInput<'_>, generator: &mut SeededRandom) -> Option<PolicyPick> {
    let candidate = input
        .candidates
        .get(generator.next_below(input.candidates.len()))?;
    Some(PolicyPick::without_prefix_match(*candidate, "random"))
}

fn least_loaded(input: &PolicyInput<'_>) -> Option<PolicyPick> {
    let candidate = lowest_load(input.candidates.iter().copied())?;
    Some(PolicyPick::without_prefix_match(candidate, "least load"))
}

fn two_choices(input: &PolicyInput<'_>, generator: &mut SeededRandom) -> Option<PolicyPick> {
    let candidate = least_loaded_of(2, input, generator)?;
    Some(PolicyPick::without_prefix_match(
        candidate,
        "less loaded of two choices",
    ))
}

/// Returns the least loaded of `choices` random candidates.
///
/// The first draw differs from all others if there are at least two candidates.
fn least_loaded_of(
    choices: usize,
    input: &PolicyInput<'_>,
    generator: &mut SeededRandom,
) -> Option<RouteCandidate> {
    let count = input.candidates.len();
    let first = generator.next_below(count);
    let others = (1..choices)
        .map(|_| (first + 1 + generator.next_below(count.saturating_sub(1))) % count.max(1));
    let chosen = std::iter::once(first).chain(others);
    lowest_load(chosen.filter_map(|position| input.candidates.get(position).copied()))
}

/// Selects the group that was sent most of the prompt, unless the load of another group is so much
/// lower that its shorter queue outweighs the prefix cache hit.
///
/// A hard bound (the longest matching prefix among groups within 1.25 times the mean load) kept
/// groups above the load of the others, up to the bound, and was slower than two choices at 80%
/// and 95% of capacity.
fn bounded_affinity(input: &PolicyInput<'_>, generator: &mut SeededRandom) -> Option<PolicyPick> {
    let candidate = least_loaded_of(SAMPLED_GROUPS, input, generator)?;
    let mut best = PolicyPick::without_prefix_match(candidate, "least loaded of four choices");
    let mut lowest_cost = candidate.load;
    for (depth, block) in input.prefix.iter().enumerate().rev() {
        let blocks = depth + 1;
        let holders = input.affinity.holders(*block);
        for position in holders.filter_map(|instance| input.index.position_of_instance(instance)) {
            let Some(candidate) = input.candidate_at(position) else {
                continue;
            };
            // Longer matches come first, so a shorter match of the same group never costs less.
            let cost = candidate.load - input.affinity_benefit(blocks);
            if cost < lowest_cost {
                lowest_cost = cost;
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

fn lowest_load(candidates: impl Iterator<Item = RouteCandidate>) -> Option<RouteCandidate> {
    candidates.min_by(|left, right| left.load.total_cmp(&right.load))
}
