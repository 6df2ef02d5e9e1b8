//! Start of nodes, and the initial configuration.

use compact_str::format_compact;
use jaysaddle_reducer::ControlSettings;
use jaysaddle_reducer::ControlState;
use jaysaddle_reducer::NodeReducer;
use jaysaddle_reducer::TrafficSettings;
use jaysaddle_reducer::TrafficState;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::units::Timestamp;

use crate::simulation::NODES;
use crate::simulation::SERVICE_VM;
use crate::simulation::Simulation;
use crate::simulation::VMS_PER_DOMAIN;
use crate::simulation::node_address;
use crate::simulation::vm_address;
use crate::simulation::vm_name;

impl Simulation {
    pub(crate) fn store_configuration(&mut self) {
        for domain in 0..2 {
            let name = format_compact!("inventory-d{domain}");
            let value = self.inventory(domain);
            self.store_document(&name, &value);
        }
        let rules = self.rules(3);
        self.store_document("rules", &rules);
    }

    pub(crate) fn store_document(&mut self, name: &str, document: &serde_json::Value) {
        let stored = serde_json::json!({ "write_id": "initial", "document": document });
        let outcome = self.store.call(&StoreRequest::Put {
            kind: ObjectKind::Config,
            name: name.into(),
            expected: ObjectVersion(0),
            write_id: "initial".parse().expect("valid"),
            value: stored.to_string(),
        });
        assert!(matches!(outcome, StoreOutcome::Written(_)), "{outcome:?}");
    }

    pub(crate) fn inventory(&self, domain: usize) -> serde_json::Value {
        let vms: Vec<_> = (domain * VMS_PER_DOMAIN..(domain + 1) * VMS_PER_DOMAIN)
            .map(|index| {
                serde_json::json!({
                    "name": vm_name(index),
                    "address": vm_address(index),
                    "fabric_domain": format!("d{domain}-f"),
                    "can_host": ["reminder"],
                    "fencing": if self.plan.fencing { "enforced" } else { "ignored" },
                })
            })
            .collect();
        let services = if domain == 0 {
            serde_json::json!([{
                "name": "promises",
                "vm": vm_name(SERVICE_VM),
                "address": vm_address(SERVICE_VM),
            }])
        } else {
            serde_json::json!([])
        };
        serde_json::json!({
            "failure_domain": format!("d{domain}"),
            "region": "r",
            "vms": vms,
            "services": services,
        })
    }

    pub(crate) fn rules(&self, groups: u32) -> serde_json::Value {
        serde_json::json!({
            "models": [{
                "name": "reminder",
                "version": "1",
                "vms_per_group": 2,
                "groups": groups,
                "slots_per_group": 8,
            }],
            "accounts": [{
                "name": "lender-a",
                "key_sha256": "0".repeat(64),
            }],
        })
    }

    pub(crate) fn start_node(&mut self, node: usize) {
        // Incarnations are derived from start times, so they increase by more than one.
        let incarnation = self.now + 1_000;
        let own = NodeRecord {
            key: NodeKey {
                id: NodeId::new(format_compact!("n{node}")),
                incarnation: Incarnation(incarnation),
            },
            callers: node_address(node, 7400),
            peers: node_address(node, 7401),
            failure_domain: FailureDomainId::new(format_compact!("d{}", node % 2)),
            region: RegionId::new("r"),
        };
        let seeds = (0..NODES)
            .filter(|other| *other != node)
            .map(|other| node_address(other, 7401))
            .collect();
        let seed = self.plan.seed ^ incarnation;
        let now = Timestamp(self.now);
        let key = own.key.clone();
        let state = &mut self.nodes[node];
        state.reducer = Some(NodeReducer {
            control: ControlState::new(ControlSettings::default(), own, seeds, seed),
            traffic: TrafficState::new(TrafficSettings::default(), key, seed, now),
        });
        state.incarnation = incarnation;
        state.paused_until = 0;
        state.revisions.clear();
        state.rules_version = ObjectVersion(0);
        state.stopping = false;
    }
}
