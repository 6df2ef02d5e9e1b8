//! Slots in use by account and model.

use std::collections::HashMap;

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::meters::DemandMeter;
use crate::meters::SlotMeter;

/// A slot that a request holds.
#[derive(Clone, Debug)]
struct HeldSlot {
    account: AccountId,
    /// `None` for a plain service.
    model: Option<ModelId>,
}

/// Slots and demand of one account.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountState {
    /// Slots held, by model.
    by_model: HashMap<ModelId, u32>,
    pub(crate) demand: DemandMeter,
    /// Requests that run, calls of plain services included.
    pub(crate) meter: SlotMeter,
}

impl AccountState {
    /// Slots held at models.
    pub(crate) fn slots(&self) -> u32 {
        self.by_model.values().sum()
    }

    fn slots_at(&self, model: &ModelId) -> u32 {
        self.by_model.get(model).copied().unwrap_or_default()
    }

    /// Slots at `model` beyond the account's floor; a floor covers its models evenly.
    fn borrowed_at(&self, model: &ModelId, floor: u32) -> f64 {
        let slots = self.slots();
        let borrowed = f64::from(slots.saturating_sub(floor));
        borrowed * f64::from(self.slots_at(model)) / f64::from(slots.max(1))
    }
}

/// All slots in use.
///
/// # Invariants
///
/// The counts of accounts and models equal the number of held slots.
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

    /// Frees the slot of `request`; `ended` is absent when the request was cancelled, so that its
    /// time says nothing about others.
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

    /// Requests of `account` that run.
    pub(crate) fn running(&self, account: &AccountId) -> u32 {
        self.account(account)
            .map_or(0, |state| state.meter.in_use())
    }

    /// Slots that `account` holds at models.
    pub(crate) fn slots(&self, account: &AccountId) -> u32 {
        self.account(account).map_or(0, AccountState::slots)
    }

    /// Slots in use at `model`.
    pub(crate) fn in_use_at(&self, model: &ModelId) -> u32 {
        self.models.get(model).map_or(0, SlotMeter::in_use)
    }

    /// Slots of `model` that become free per millisecond; `None` before the first release.
    pub(crate) fn release_rate(&self, model: &ModelId, now: Timestamp) -> Option<f64> {
        self.models.get(model)?.release_rate(now)
    }

    /// Borrowed slots of `model`, with one more, that are free again within `span`.
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
