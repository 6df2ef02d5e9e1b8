//! The policies that pick one of the candidates.

use crate::affinity::AffinityTable;
use crate::affinity::rendezvous_rank;
use crate::index::ViewIndex;
use crate::random::SeededGenerator;
use crate::settings::RoutePolicy;

/// Load per slot under which a group counts as free of queueing whatever the mean is.
const FREE_LOAD: f64 = 0.25;

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

    fn load_bound(&self) -> f64 {
        let bound = self.mean_load() * f64::from(self.bound_permille) / 1000.0;
        bound.max(FREE_LOAD)
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
        RoutePolicy::BoundedAffinity => known_prefix(input)
            .or_else(|| agreed_group(input))
            .or_else(|| two_choices(input, generator)),
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
    let count = input.candidates.len();
    let first = generator.below(count);
    // An offset of at least 1 makes the second choice differ from the first.
    let second = match count {
        0 | 1 => first,
        _ => (first + 1 + generator.below(count - 1)) % count,
    };
    let pair = [first, second];
    let candidate = lower_load(
        pair.iter()
            .filter_map(|one| input.candidates.get(*one).copied()),
    )?;
    Some(PolicyPick::without_match(
        candidate,
        "less loaded of two choices",
    ))
}

/// The least loaded group that was sent the longest known part of the prompt, within the bound.
fn known_prefix(input: &PolicyInput<'_>) -> Option<PolicyPick> {
    let bound = input.load_bound();
    for (depth, block) in input.prefix.iter().enumerate().rev() {
        let within_bound = input
            .affinity
            .holders(*block)
            .filter_map(|instance| input.index.position_of_instance(instance))
            .filter_map(|position| input.candidate_at(position))
            .filter(|one| one.load <= bound);
        if let Some(candidate) = lower_load(within_bound) {
            return Some(PolicyPick {
                candidate,
                reason: "prefix sent before, load within bound",
                matched_blocks: depth + 1,
            });
        }
    }
    None
}

/// The first group within the bound in the order that all nodes give the prompt's first block.
fn agreed_group(input: &PolicyInput<'_>) -> Option<PolicyPick> {
    let block = *input.prefix.first()?;
    let bound = input.load_bound();
    let candidate = input
        .candidates
        .iter()
        .filter(|one| one.load <= bound)
        .max_by_key(|one| rendezvous_rank(block, input.index.groups[one.position].hash))?;
    Some(PolicyPick::without_match(
        *candidate,
        "new prefix, rendezvous order, load within bound",
    ))
}

fn lower_load(candidates: impl Iterator<Item = RouteCandidate>) -> Option<RouteCandidate> {
    candidates.min_by(|one, other| one.load.total_cmp(&other.load))
}
