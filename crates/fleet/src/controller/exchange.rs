//! Exchanges: closes groups of one model to form a group of another model from their VMs.

use std::collections::BTreeMap;

use compact_str::format_compact;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::ServiceRule;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetView;
use crate::controller::GroupStage;
use crate::controller::to_free_vm;
use crate::plan::DonorGroup;
use crate::plan::FreeVm;
use crate::plan::ModelNeed;
use crate::plan::PlannedExchange;
use crate::plan::plan_exchange;

/// Minimum number of concurrent exchanges, each in its own fabric domain.
const MIN_EXCHANGES: usize = 2;
/// Number of fabric domains for each further concurrent exchange. In a large fleet, groups are lost in many domains at
/// once.
const EXCHANGE_DOMAINS: usize = 4;

impl FleetController {
    /// Starts the exchange with the highest net gain over all fabric domains, if there is any.
    pub(super) fn exchange_groups(
        &mut self,
        service: &ServiceRule,
        free: &[FreeVm],
        needs: &[ModelNeed],
        view: FleetView<'_>,
        now: Timestamp,
    ) {
        let mut donors: BTreeMap<FabricDomainId, Vec<DonorGroup>> = BTreeMap::new();
        let mut closing_members: BTreeMap<FabricDomainId, Vec<FreeVm>> = BTreeMap::new();
        for (key, group) in self.groups.iter() {
            if group.service != service.id || self.is_group_evacuated(group) {
                continue;
            }
            let members: Vec<FreeVm> = group
                .members
                .iter()
                .filter_map(|id| to_free_vm(view.table.get(id)?))
                .collect();
            let Some(domain) = members.first().map(|vm| vm.domain.clone()) else {
                continue;
            };
            if matches!(
                group.stage,
                GroupStage::Closing { .. } | GroupStage::Dissolving
            ) {
                let healthy = members.into_iter().filter(|vm| self.is_answering(&vm.id));
                closing_members.entry(domain).or_default().extend(healthy);
            } else if group.stage == GroupStage::Serving && !self.has_silent_member(group) {
                donors.entry(domain.clone()).or_default().push(DonorGroup {
                    key: key.clone(),
                    model: group.model.clone(),
                    domain,
                    members,
                });
            }
        }
        let max_exchanges = MIN_EXCHANGES.max(donors.len() / EXCHANGE_DOMAINS);
        if self.reservations.len() >= max_exchanges {
            return;
        }
        let mut best: Option<PlannedExchange> = None;
        for (domain, donors) in donors {
            let is_recent = self
                .last_exchanges
                .get(&domain)
                .is_some_and(|time| now.since(*time) < self.timing.exchange_interval);
            if is_recent || self.reservations.contains_key(&domain) {
                continue;
            }
            let mut free: Vec<FreeVm> = free
                .iter()
                .filter(|vm| vm.domain == domain)
                .cloned()
                .collect();
            free.extend(closing_members.remove(&domain).unwrap_or_default());
            let planned = plan_exchange(&domain, &free, &donors, needs);
            if let Some(planned) = planned
                && best
                    .as_ref()
                    .is_none_or(|best| planned.net_gain > best.net_gain)
            {
                best = Some(planned);
            }
        }
        if let Some(exchange) = best {
            self.start_exchange(exchange, now);
        }
    }

    pub(super) fn start_exchange(&mut self, exchange: PlannedExchange, now: Timestamp) {
        let PlannedExchange {
            donors,
            model,
            domain,
            net_gain,
        } = exchange;
        self.last_exchanges.insert(domain.clone(), now);
        let until = now + self.timing.reservation_timeout;
        self.reservations
            .insert(domain.clone(), (model.clone(), until));
        for key in donors {
            self.log_decision(format_compact!(
                "group={key} decision=close reason=exchange for_model={model} domain={domain} value={net_gain:.2}"
            ));
            let stage = GroupStage::Closing {
                until: now + self.timing.exchange_close_timeout,
            };
            self.set_stage(&key, stage);
            self.order_leader(&key, BackendOrder::Close { key: key.clone() }, now);
        }
    }
}
