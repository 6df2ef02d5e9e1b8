//! Division of floors and ceilings among nodes.

use std::collections::BTreeMap;

use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::view::AccountShare;

use crate::settings::AdmissionSettings;

/// This node's share of each account's floor and ceiling.
pub fn divide_shares(
    _settings: &AdmissionSettings,
    _rules: &RulesDocument,
    _own: &[AccountUsage],
    _others: &[(NodeKey, Vec<AccountUsage>)],
    _live_nodes: usize,
) -> BTreeMap<AccountId, AccountShare> {
    BTreeMap::new()
}
