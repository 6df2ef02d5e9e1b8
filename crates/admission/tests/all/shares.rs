//! Division of account floors and ceilings among nodes.

use jaysaddle_admission::AdmissionSettings;
use jaysaddle_admission::SharePolicy;
use jaysaddle_admission::divide_shares;
use jaysaddle_admission::divide_shares_ranked;
use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::rules::AccountRule;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::units::SlotCount;

use crate::support::check;

fn account() -> AccountId {
    AccountId::new("acme")
}

fn rules(reserved: u32) -> RulesDocument {
    RulesDocument {
        accounts: vec![AccountRule {
            name: account(),
            key_sha256: "".into(),
            reserved_slots: SlotCount(reserved),
            max_slots: None,
            priority: 5,
        }],
        ..RulesDocument::default()
    }
}

fn node(number: usize) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("n-{number:03}")),
        incarnation: Incarnation(1),
    }
}

fn usage(wanted: u32) -> Vec<AccountUsage> {
    vec![AccountUsage {
        account: account(),
        in_use: SlotCount(0),
        wanted: SlotCount(wanted),
    }]
}

/// Floors that the nodes compute when each has the usage reports of all others.
fn floors(settings: &AdmissionSettings, reserved: u32, demands: &[u32], ranked: bool) -> Vec<u32> {
    let rules = rules(reserved);
    let all: Vec<_> = demands
        .iter()
        .enumerate()
        .map(|(number, demand)| (node(number), usage(*demand)))
        .collect();
    (0..demands.len())
        .map(|own| {
            let mut others = all.clone();
            let (key, own_usage) = others.remove(own);
            let nodes = demands.len();
            let shares = match ranked {
                true => divide_shares_ranked(&key, settings, &rules, &own_usage, &others, nodes),
                false => divide_shares(settings, &rules, &own_usage, &others, nodes),
            };
            shares[&account()].floor.0
        })
        .collect()
}

fn run(demands: Vec<u16>, reserved: u16) -> bool {
    let demands: Vec<u32> = demands
        .iter()
        .map(|demand| u32::from(demand % 200))
        .collect();
    if demands.len() < 2 {
        return true;
    }
    let reserved = u32::from(reserved % 1_000);
    let nodes = demands.len() as u32;
    let demanded: u32 = demands.iter().sum();
    for policy in [SharePolicy::Demand, SharePolicy::Static] {
        let settings = AdmissionSettings {
            shares: policy,
            ..AdmissionSettings::default()
        };
        let plain: u32 = floors(&settings, reserved, &demands, false).iter().sum();
        assert!(plain <= reserved, "{plain} granted of {reserved}");
        assert!(plain + nodes > reserved, "{plain} granted of {reserved}");
        let ranked = floors(&settings, reserved, &demands, true);
        assert_eq!(ranked.iter().sum::<u32>(), reserved);
        if policy == SharePolicy::Static {
            continue;
        }
        let with_demand = demands.iter().filter(|demand| **demand > 0).count() as u32;
        for (demand, floor) in demands.iter().zip(&ranked) {
            let has_share = *demand == 0 || reserved < with_demand || *floor > 0;
            assert!(
                has_share,
                "a node that demands {demand} has no share: {ranked:?}"
            );
            let is_met = demanded > reserved || floor >= demand;
            assert!(is_met, "a node that demands {demand} has only {floor}");
        }
    }
    true
}

/// Guards against floors that sum to more than the reserved slots, against unassigned slots, and
/// against a node with demand but without a share.
#[test]
fn floors_sum_to_reserve_and_follow_demand() {
    check(
        "floors_sum_to_reserve_and_follow_demand",
        60,
        1,
        run as fn(Vec<u16>, u16) -> bool,
    );
}

/// Guards against demand shares computed without reports of other nodes during a partition.
#[test]
fn share_is_static_without_usage_reports() {
    let settings = AdmissionSettings::default();
    let shares = divide_shares(&settings, &rules(70), &usage(500), &[], 7);
    assert_eq!(shares[&account()].floor, SlotCount(10));
}

/// Guards against a node claiming the share of nodes whose reports it has not received.
#[test]
fn node_without_report_keeps_static_share() {
    let settings = AdmissionSettings::default();
    let others = [(node(1), usage(0))];
    let shares = divide_shares(&settings, &rules(30), &usage(500), &others, 3);
    assert_eq!(shares[&account()].floor, SlotCount(20));
}

/// Guards against a ceiling of 0, which refuses all requests of a node, and a ceiling
/// below the floor.
#[test]
fn ceiling_is_positive_and_not_below_floor() {
    let settings = AdmissionSettings::default();
    let mut rules = rules(40);
    rules.accounts[0].max_slots = Some(SlotCount(40));
    let others: Vec<_> = (1..20).map(|number| (node(number), usage(500))).collect();
    let own = divide_shares(&settings, &rules, &usage(0), &others, 20);
    assert_eq!(own[&account()].ceiling, Some(SlotCount(1)));
    let busy = divide_shares(&settings, &rules, &usage(500), &others, 20);
    assert_eq!(busy[&account()].floor, SlotCount(2));
    assert_eq!(busy[&account()].ceiling, Some(SlotCount(2)));
}
