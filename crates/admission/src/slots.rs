//! Slots per model, computed from the fleet view.

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupState;

/// Number of slots per model that this node may use.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelSlots {
    models: Vec<(ModelId, u32)>,
}

impl ModelSlots {
    /// Sums the slots of all groups that can serve requests and takes this node's share of them.
    pub(crate) fn from_view(view: &FleetView) -> Self {
        let mut models: Vec<(ModelId, u32)> = Vec::new();
        let ready = view.groups.iter().filter(|group| {
            group.state == GroupState::Ready
                && group.members.iter().all(|(_, state)| state.may_serve())
        });
        for group in ready {
            match models.iter_mut().find(|(name, _)| *name == group.model) {
                Some((_, slots)) => *slots += group.slots.0,
                None => models.push((group.model.clone(), group.slots.0)),
            }
        }
        for (_, slots) in &mut models {
            let share = u64::from(*slots) * u64::from(view.capacity_permille);
            // At least one slot, so that every node can use each model with a ready group.
            let minimum = u64::from(*slots).min(1);
            *slots = u32::try_from(share.div_ceil(1000).max(minimum)).unwrap_or(u32::MAX);
        }
        Self { models }
    }

    /// Slots of `model`; 0 when no group of it is ready.
    pub(crate) fn of_model(&self, model: &ModelId) -> u32 {
        self.models
            .iter()
            .find(|(name, _)| name == model)
            .map_or(0, |(_, slots)| *slots)
    }

    /// Fraction of `account`'s requests expected to target `model`. Requests are assumed to spread
    /// over the account's models in proportion to their slots.
    pub(crate) fn weight(&self, view: &FleetView, account: &AccountId, model: &ModelId) -> f64 {
        let is_allowed = |name: &ModelId| {
            view.rules
                .models
                .iter()
                .any(|rule| rule.name == *name && rule.allows_account(account))
        };
        if !is_allowed(model) {
            return 0.0;
        }
        let allowed = self.models.iter().filter(|(name, _)| is_allowed(name));
        let total: u32 = allowed.map(|(_, slots)| *slots).sum();
        f64::from(self.of_model(model)) / f64::from(total.max(1))
    }
}
