//! Division of account floors and ceilings among nodes.
//!
//! Each node computes its own share from the usage that all nodes report. Shares are max-min fair:
//! a node gets the slots it demands up to a level that is the same for all nodes, and slots that
//! exceed the total demand are divided evenly.

use std::collections::BTreeMap;

use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::view::AccountShare;

use crate::settings::AdmissionSettings;
use crate::settings::SharePolicy;

/// Computes this node's share of each account's floor and ceiling.
///
/// When all nodes have the same usage reports, their floors sum to at most the account's reserved
/// slots. Slots that do not divide evenly stay unassigned, because a node that does not pass its
/// own key cannot determine its rank; [`divide_shares_ranked`] assigns them.
pub fn divide_shares(
    settings: &AdmissionSettings,
    rules: &RulesDocument,
    own: &[AccountUsage],
    others: &[(NodeKey, Vec<AccountUsage>)],
    live_nodes: usize,
) -> BTreeMap<AccountId, AccountShare> {
    divide(settings, rules, (None, own), others, live_nodes)
}

/// Like [`divide_shares`], but assigns slots that do not divide evenly to the nodes with
/// the lowest keys.
pub fn divide_shares_ranked(
    own_key: &NodeKey,
    settings: &AdmissionSettings,
    rules: &RulesDocument,
    own: &[AccountUsage],
    others: &[(NodeKey, Vec<AccountUsage>)],
    live_nodes: usize,
) -> BTreeMap<AccountId, AccountShare> {
    divide(settings, rules, (Some(own_key), own), others, live_nodes)
}

fn divide(
    settings: &AdmissionSettings,
    rules: &RulesDocument,
    own: (Option<&NodeKey>, &[AccountUsage]),
    others: &[(NodeKey, Vec<AccountUsage>)],
    live_nodes: usize,
) -> BTreeMap<AccountId, AccountShare> {
    let (own_key, own_usage) = own;
    let shares = rules.accounts.iter().map(|rule| {
        let demand = NodeDemand {
            own: wanted(own_usage, &rule.name),
            own_key,
            others: others
                .iter()
                .map(|(key, usage)| (key, wanted(usage, &rule.name)))
                .collect(),
            nodes: live_nodes.max(others.len() + 1),
            policy: settings.shares,
        };
        let floor = demand.share(rule.reserved_slots.0);
        // At least 1: with a ceiling of 0 the node would refuse all requests of the account.
        let ceiling = rule
            .max_slots
            .map(|total| SlotCount(demand.share(total.0).max(1).max(floor)));
        let share = AccountShare {
            floor: SlotCount(floor),
            ceiling,
        };
        (rule.name.clone(), share)
    });
    shares.collect()
}

fn wanted(usage: &[AccountUsage], account: &AccountId) -> u32 {
    usage
        .iter()
        .find(|entry| entry.account == *account)
        .map_or(0, |entry| entry.wanted.0.max(entry.in_use.0))
}

/// Number of slots of one account that each node demands.
struct NodeDemand<'a> {
    own: u32,
    own_key: Option<&'a NodeKey>,
    others: Vec<(&'a NodeKey, u32)>,
    nodes: usize,
    policy: SharePolicy,
}

impl NodeDemand<'_> {
    /// Returns this node's share of `total` slots.
    fn share(&self, total: u32) -> u32 {
        let nodes = u32::try_from(self.nodes).unwrap_or(u32::MAX);
        let no_reports = self.others.is_empty() && self.nodes > 1;
        if self.policy == SharePolicy::Static || no_reports {
            return self.static_share(total, nodes);
        }
        // Nodes that have not reported yet are assumed to demand their static share.
        let unreported = self.nodes - 1 - self.others.len();
        let mut demands: Vec<u32> = self.others.iter().map(|(_, demand)| *demand).collect();
        demands.push(self.own);
        demands.extend(std::iter::repeat_n(total / nodes, unreported));
        let sum: u64 = demands.iter().map(|demand| u64::from(*demand)).sum();
        if sum <= u64::from(total) {
            let surplus = total - sum as u32;
            return self.own + surplus / nodes + self.remainder_slot(surplus % nodes, |_| true);
        }
        let level = fair_level(&demands, total);
        let assigned: u32 = demands.iter().map(|demand| (*demand).min(level)).sum();
        if self.own <= level {
            return self.own;
        }
        level + self.remainder_slot(total - assigned, |demand| demand > level)
    }

    fn static_share(&self, total: u32, nodes: u32) -> u32 {
        let all_known = self.others.len() + 1 == self.nodes;
        let extra = match all_known {
            true => self.remainder_slot(total % nodes, |_| true),
            false => 0,
        };
        total / nodes + extra
    }

    /// Returns 1 when this node is among the first `remainder` eligible nodes by key, otherwise 0.
    fn remainder_slot(&self, remainder: u32, eligible: impl Fn(u32) -> bool) -> u32 {
        let Some(own_key) = self.own_key else {
            return 0;
        };
        let before = self
            .others
            .iter()
            .filter(|(key, demand)| *key < own_key && eligible(*demand))
            .count();
        u32::from(before < remainder as usize)
    }
}

/// Returns the highest level such that `demands`, each capped at the level, sum to at most `total`.
fn fair_level(demands: &[u32], total: u32) -> u32 {
    let fits = |level: u32| {
        let sum: u64 = demands
            .iter()
            .map(|demand| u64::from((*demand).min(level)))
            .sum();
        sum <= u64::from(total)
    };
    let mut low = 0;
    let mut high = total;
    while low < high {
        let middle = high - (high - low) / 2;
        if fits(middle) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    low
}
