//! Slots in use, counted by account and model.

use std::collections::HashMap;

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::meters::DemandMeter;
use crate::meters::SlotMeter;

/// Slot held by an admitted request.
#[derive(Clone, Debug)]
struct HeldSlot {
    account: AccountId,
    /// `None` for a call of a plain service, which occupies no slot.
    model: Option<ModelId>,
}

/// Slots in use and demand of one account.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountState {
    by_model: HashMap<ModelId, u32>,
    pub(crate) demand: DemandMeter,
    /// Running requests, including calls of plain services.
    pub(crate) meter: SlotMeter,
}

impl AccountState {
    /// Slots in use over all models.
    pub(crate) fn slots(&self) -> u32 {
        self.by_model.values().sum()
    }

    fn slots_at(&self, model: &ModelId) -> u32 {
        self.by_model.get(model).copied().unwrap_or_default()
    }

    /// Slots at `model` in use beyond the account's floor. Borrowed slots are attributed to models
    /// in proportion to the slots in use.
    fn borrowed_at(&self, model: &ModelId, floor: u32) -> f64 {
        let slots = self.slots();
        let borrowed = f64::from(slots.saturating_sub(floor));
        borrowed * f64::from(self.slots_at(model)) / f64::from(slots.max(1))
    }
}

/// Slots in use on this node.
///
/// # Invariants
///
/// The counts per account and per model equal the number of entries in `held`.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotUsage {
    held: HashMap<RequestId, HeldSlot>,
    accounts: HashMap<AccountId, AccountState>,
    models: HashMap<ModelId, SlotMeter>,
}

impl SlotUsage {
    pub(crate) fn holds(&self, request: &RequestId) -> bool {
        self.held.contains_key(request)
    }

    pub(crate) fn acquire(
        &mut self,
        request: &RequestId,
        account: &AccountId,
        model: Option<&ModelId>,
        now: Timestamp,
    ) {
        let state = self.accounts.entry(account.clone()).or_default();
        state.meter.record_acquire(now);
        if let Some(model) = model {
            *state.by_model.entry(model.clone()).or_default() += 1;
            self.models
                .entry(model.clone())
                .or_default()
                .record_acquire(now);
        }
        let slot = HeldSlot {
            account: account.clone(),
            model: model.cloned(),
        };
        self.held.insert(request.clone(), slot);
    }

    /// Frees the slot of `request`. `ended` is `None` for a cancelled request, whose hold time is
    /// not representative and must not enter the mean.
    pub(crate) fn release(&mut self, request: &RequestId, ended: Option<Timestamp>) {
        let Some(slot) = self.held.remove(request) else {
            return;
        };
        let record_end = |meter: &mut SlotMeter| match ended {
            Some(now) => meter.record_release(now),
            None => meter.record_cancel(),
        };
        let Some(state) = self.accounts.get_mut(&slot.account) else {
            return;
        };
        record_end(&mut state.meter);
        let Some(model) = slot.model else {
            return;
        };
        if let Some(count) = state.by_model.get_mut(&model) {
            *count = count.saturating_sub(1);
        }
        if let Some(meter) = self.models.get_mut(&model) {
            record_end(meter);
        }
    }

    pub(crate) fn account(&self, account: &AccountId) -> Option<&AccountState> {
        self.accounts.get(account)
    }

    pub(crate) fn account_mut(&mut self, account: &AccountId) -> &mut AccountState {
        self.accounts.entry(account.clone()).or_default()
    }

    pub(crate) fn accounts(&self) -> impl Iterator<Item = (&AccountId, &AccountState)> {
        self.accounts.iter()
    }

    /// Running requests of `account`, including calls of plain services.
    pub(crate) fn running(&self, account: &AccountId) -> u32 {
        self.account(account)
            .map_or(0, |state| state.meter.in_use())
    }

    /// Slots of `account` in use over all models.
    pub(crate) fn slots(&self, account: &AccountId) -> u32 {
        self.account(account).map_or(0, AccountState::slots)
    }

    /// Slots of `model` in use by all accounts.
    pub(crate) fn in_use_at(&self, model: &ModelId) -> u32 {
        self.models.get(model).map_or(0, SlotMeter::in_use)
    }

    /// Estimated releases of slots of `model` per millisecond; `None` before the first release.
    pub(crate) fn release_rate(&self, model: &ModelId, now: Timestamp) -> Option<f64> {
        self.models.get(model)?.release_rate(now)
    }

    /// Estimates how many of the borrowed slots of `model`, plus one about to be borrowed, are
    /// released within `span`.
    pub(crate) fn expected_returns(
        &self,
        model: &ModelId,
        floor: impl Fn(&AccountId) -> u32,
        span: TimeSpan,
        now: Timestamp,
    ) -> f64 {
        let Some(meter) = self.models.get(model) else {
            return 0.0;
        };
        let borrowed: f64 = self
            .accounts
            .iter()
            .map(|(account, state)| state.borrowed_at(model, floor(account)))
            .sum();
        meter.expected_releases(borrowed + 1.0, span, now)
    }
}
