//! The admission controller, which decides on each request of this node.

use std::collections::HashMap;

use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;
use jaysaddle_types::view::AccountShare;
use jaysaddle_types::view::FleetView;

use crate::budget::RetryBudget;
use crate::query::AdmitOutcome;
use crate::query::AdmitQuery;
use crate::query::QueueRelease;
use crate::queue::AdmissionQueue;
use crate::queue::WaitingRequest;
use crate::settings::AdmissionSettings;
use crate::slots::ModelSlots;
use crate::usage::SlotUsage;

/// Bounds of the retry-after time of a refusal. A shorter time would only load the node with caller
/// retries; a longer one would make callers miss a recovery.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(100);
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(30);

/// Grants slots to requests, queues requests or refuses them.
///
/// Requests within their account's floor are granted first: while an account runs fewer requests
/// than its floor, its next request takes the next free slot before any request beyond a floor,
/// regardless of priority. A request beyond its account's floor borrows a slot. It is granted only
/// while the remaining free slots, plus the borrowed slots expected to be released within
/// [`AdmissionSettings::floor_wait`], cover all unused floors. Slots not needed for that are lent
/// to any account, including slots reserved by another.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    usage: SlotUsage,
    queue: AdmissionQueue,
    budget: RetryBudget,
    /// Queued requests refused by [`AdmissionController::admit`], which returns only the outcome of
    /// its own request.
    displaced: Vec<QueueRelease>,
}

impl AdmissionController {
    /// Creates a controller without queued or admitted requests.
    pub fn new(settings: AdmissionSettings) -> Self {
        let budget = RetryBudget::new(settings.retry_burst, settings.retry_permille);
        Self {
            settings,
            usage: SlotUsage::default(),
            queue: AdmissionQueue::default(),
            budget,
            displaced: Vec::new(),
        }
    }

    /// Decides on a newly arrived request. Queued requests refused in its favor are returned by
    /// [`AdmissionController::displaced`].
    pub fn admit(&mut self, query: &AdmitQuery, view: &FleetView, now: Timestamp) -> AdmitOutcome {
        if let Some(refusal) = self.check_query(query, view, now) {
            return AdmitOutcome::Refused(refusal);
        }
        let account = &query.account;
        let concurrent = self.concurrent(account) + 1;
        if ceiling(view, account).is_some_and(|ceiling| concurrent > ceiling) {
            return self.refuse_at_ceiling(account, now);
        }
        let window = self.settings.demand_window;
        let state = self.usage.account_mut(account);
        state.demand.record_concurrency(concurrent, window, now);
        match &query.target {
            RequestTarget::Model(model) => self.admit_to_model(query, model, view, now),
            RequestTarget::Service(_) => {
                self.usage.acquire(&query.request, account, None, now);
                AdmitOutcome::Admitted
            }
        }
    }

    /// Releases the slot of `request` and grants free slots to queued requests.
    pub fn release(
        &mut self,
        request: &RequestId,
        view: &FleetView,
        now: Timestamp,
    ) -> Vec<QueueRelease> {
        self.usage.release(request, Some(now));
        self.tick(view, now)
    }

    /// Refuses queued requests whose wait has expired and grants free slots to the others.
    pub fn tick(&mut self, view: &FleetView, now: Timestamp) -> Vec<QueueRelease> {
        let mut releases = self.displaced();
        if self.queue.len() == 0 {
            return releases;
        }
        self.refuse_expired(view, now, &mut releases);
        let slots = ModelSlots::from_view(view);
        while let Some(position) = self.next_grant(view, &slots, now) {
            let waiting = self.queue.remove(position);
            let model = Some(&waiting.model);
            let usage = &mut self.usage;
            usage.acquire(&waiting.request, &waiting.account, model, now);
            releases.push(QueueRelease {
                request: waiting.request,
                outcome: AdmitOutcome::Admitted,
            });
        }
        releases
    }

    /// Queued requests that [`AdmissionController::admit`] has refused in favor of others since
    /// the last call of this method, [`AdmissionController::release`] or
    /// [`AdmissionController::tick`].
    pub fn displaced(&mut self) -> Vec<QueueRelease> {
        std::mem::take(&mut self.displaced)
    }

    /// Removes a queued or admitted request whose caller has disconnected.
    ///
    /// A freed slot is granted by the next release or tick.
    pub fn cancel(&mut self, request: &RequestId) {
        if self.queue.remove_request(request).is_none() {
            self.usage.release(request, None);
        }
    }

    /// Slots in use and wanted by account, as reported to the other nodes.
    pub fn usage(&self, now: Timestamp) -> Vec<AccountUsage> {
        let window = self.settings.demand_window;
        let mut usage: Vec<AccountUsage> = self
            .usage
            .accounts()
            .map(|(account, state)| {
                let concurrent = state.meter.in_use() + self.queue.count_for_account(account);
                let mean_hold = state.meter.mean_hold_ms(now).unwrap_or_default();
                let wanted = state.demand.wanted(window, mean_hold, now);
                AccountUsage {
                    account: account.clone(),
                    in_use: SlotCount(state.meter.in_use()),
                    wanted: SlotCount(wanted.max(concurrent)),
                }
            })
            .filter(|usage| usage.wanted.0 > 0)
            .collect();
        usage.sort_by(|left, right| left.account.cmp(&right.account));
        usage
    }

    /// Refills the retry budget for a new request.
    pub fn record_request(&mut self) {
        self.budget.record_request();
    }

    /// Takes one retry from the retry budget; returns false when the budget is exhausted.
    pub fn try_take_retry(&mut self) -> bool {
        self.budget.try_take()
    }

    fn check_query(
        &self,
        query: &AdmitQuery,
        view: &FleetView,
        now: Timestamp,
    ) -> Option<RequestRefusal> {
        if self.usage.holds(&query.request) || self.queue.contains(&query.request) {
            let message = "a request with this id is already admitted";
            return Some(RequestRefusal::not_run(ReasonCode::Internal, message));
        }
        if !view.configured {
            return Some(RequestRefusal::retry_after(
                ReasonCode::NotConfigured,
                "this node has no configuration yet",
                self.settings.floor_wait,
            ));
        }
        (query.deadline <= now).then(|| {
            let message = "the deadline passed before the request was admitted";
            RequestRefusal::not_run(ReasonCode::DeadlineExceeded, message)
        })
    }

    /// Running and queued requests of `account`.
    fn concurrent(&self, account: &AccountId) -> u32 {
        self.usage.running(account) + self.queue.count_for_account(account)
    }

    fn refuse_at_ceiling(&mut self, account: &AccountId, now: Timestamp) -> AdmitOutcome {
        let window = self.settings.demand_window;
        let state = self.usage.account_mut(account);
        state.demand.record_refusal(window, now);
        let rate = state.meter.release_rate(now);
        AdmitOutcome::Refused(RequestRefusal::retry_after(
            ReasonCode::AccountLimit,
            "the account has as many requests in flight as it may",
            self.retry_after(rate, 1),
        ))
    }

    fn admit_to_model(
        &mut self,
        query: &AdmitQuery,
        model: &ModelId,
        view: &FleetView,
        now: Timestamp,
    ) -> AdmitOutcome {
        let mut rules = view.rules.models.iter();
        if !rules.any(|rule| rule.name == *model && rule.allows_account(&query.account)) {
            return AdmitOutcome::Refused(RequestRefusal::not_run(
                ReasonCode::UnknownModel,
                "the model does not exist or is not open to this account",
            ));
        }
        let slots = ModelSlots::from_view(view);
        if slots.of_model(model) == 0 {
            return AdmitOutcome::Refused(RequestRefusal::retry_after(
                ReasonCode::NoWholeGroup,
                "no group of the model is whole and ready",
                self.settings.floor_wait,
            ));
        }
        let position = self.queue.insert(WaitingRequest {
            request: query.request.clone(),
            account: query.account.clone(),
            model: model.clone(),
            priority: query.priority,
            arrived: now,
            deadline: query.deadline,
        });
        if self.next_grant(view, &slots, now) == Some(position) {
            self.queue.remove(position);
            let usage = &mut self.usage;
            usage.acquire(&query.request, &query.account, Some(model), now);
            return AdmitOutcome::Admitted;
        }
        self.keep_or_refuse(query, position, view, now)
    }

    /// Keeps the request at `position` in the queue if it can be served in time, and refuses queued
    /// requests behind it that no longer can.
    fn keep_or_refuse(
        &mut self,
        query: &AdmitQuery,
        position: usize,
        view: &FleetView,
        now: Timestamp,
    ) -> AdmitOutcome {
        if self.unservable(view, now)[position] {
            let refusal = self.overloaded(&self.queue.get(position).model, now);
            self.queue.remove(position);
            self.record_refusal(&query.account, now);
            return AdmitOutcome::Refused(refusal);
        }
        while self.queue.len() > self.settings.queue_length {
            let Some(last) = self.shed_candidate(view) else {
                break;
            };
            if let Some(refused) = self.displace(last, query, now) {
                return refused;
            }
        }
        // One at a time, because each refusal shortens the wait of the remaining requests.
        while let Some(behind) = self
            .unservable(view, now)
            .iter()
            .rposition(|unservable| *unservable)
        {
            if let Some(refused) = self.displace(behind, query, now) {
                return refused;
            }
        }
        AdmitOutcome::Queued
    }

    /// Refuses the request at `position`. Returns the outcome if it is `query` itself.
    fn displace(
        &mut self,
        position: usize,
        query: &AdmitQuery,
        now: Timestamp,
    ) -> Option<AdmitOutcome> {
        let refusal = self.overloaded(&self.queue.get(position).model, now);
        let waiting = self.queue.remove(position);
        self.record_refusal(&waiting.account, now);
        let outcome = AdmitOutcome::Refused(refusal);
        if waiting.request == query.request {
            return Some(outcome);
        }
        self.displaced.push(QueueRelease {
            request: waiting.request,
            outcome,
        });
        None
    }

    fn record_refusal(&mut self, account: &AccountId, now: Timestamp) {
        let window = self.settings.demand_window;
        let state = self.usage.account_mut(account);
        state.demand.record_refusal(window, now);
    }

    /// Returns for each queued request whether its estimated wait exceeds its wait limit.
    fn unservable(&self, view: &FleetView, now: Timestamp) -> Vec<bool> {
        let covered = self.covered(view);
        let mut unservable = vec![false; covered.len()];
        let mut ahead: HashMap<&ModelId, usize> = HashMap::new();
        // Requests within a floor are granted slots first.
        for within_floor in [true, false] {
            for (position, waiting) in self.queue.iter().enumerate() {
                if covered[position] != within_floor {
                    continue;
                }
                let needed_slots = ahead.entry(&waiting.model).or_default();
                *needed_slots += 1;
                let Some(rate) = self.usage.release_rate(&waiting.model, now) else {
                    continue;
                };
                let remaining = self.wait_deadline(waiting, within_floor).since(now);
                unservable[position] = wait_ms(rate, *needed_slots) > remaining.as_millis() as f64;
            }
        }
        unservable
    }

    /// Time at which a queued request is refused.
    fn wait_deadline(&self, waiting: &WaitingRequest, covered: bool) -> Timestamp {
        let longest = match covered {
            true => self.settings.floor_wait.max(self.settings.queue_time),
            false => self.settings.queue_time,
        };
        waiting.deadline.min(waiting.arrived + longest)
    }

    /// The request to shed first: the last in the queue beyond its floor, otherwise the last.
    fn shed_candidate(&self, view: &FleetView) -> Option<usize> {
        let covered = self.covered(view);
        let borrower = covered.iter().rposition(|covered| !covered);
        borrower.or_else(|| self.queue.len().checked_sub(1))
    }

    fn overloaded(&self, model: &ModelId, now: Timestamp) -> RequestRefusal {
        let rate = self.usage.release_rate(model, now);
        let waiting = self
            .queue
            .iter()
            .filter(|waiting| waiting.model == *model)
            .count();
        RequestRefusal::retry_after(
            ReasonCode::Overloaded,
            "all slots are in use and the wait would be too long",
            self.retry_after(rate, waiting + 1),
        )
    }

    /// Estimated time until `needed_slots` slots are released, within the bounds of a
    /// retry-after time.
    fn retry_after(&self, rate: Option<f64>, needed_slots: usize) -> TimeSpan {
        let Some(rate) = rate else {
            return self.settings.queue_time.max(MIN_RETRY_AFTER);
        };
        let millis = wait_ms(rate, needed_slots).min(MAX_RETRY_AFTER.as_millis() as f64);
        TimeSpan::from_millis(millis.ceil() as u64).max(MIN_RETRY_AFTER)
    }

    fn refuse_expired(
        &mut self,
        view: &FleetView,
        now: Timestamp,
        releases: &mut Vec<QueueRelease>,
    ) {
        let covered = self.covered(view);
        for position in (0..self.queue.len()).rev() {
            let waiting = self.queue.get(position);
            if now < self.wait_deadline(waiting, covered[position]) {
                continue;
            }
            let refusal = if now >= waiting.deadline {
                let message = "the deadline passed before a slot became free";
                RequestRefusal::not_run(ReasonCode::DeadlineExceeded, message)
            } else {
                self.overloaded(&waiting.model, now)
            };
            let waiting = self.queue.remove(position);
            self.record_refusal(&waiting.account, now);
            releases.push(QueueRelease {
                request: waiting.request,
                outcome: AdmitOutcome::Refused(refusal),
            });
        }
    }

    /// Position of the queued request to grant next, if a slot may be granted now.
    fn next_grant(&self, view: &FleetView, slots: &ModelSlots, now: Timestamp) -> Option<usize> {
        let covered = self.covered(view);
        let fits = |waiting: &WaitingRequest| {
            let running = self.usage.running(&waiting.account);
            let below_ceiling =
                ceiling(view, &waiting.account).is_none_or(|ceiling| running < ceiling);
            let free = self.usage.in_use_at(&waiting.model) < slots.of_model(&waiting.model);
            below_ceiling && free && now < waiting.deadline
        };
        let by_rank = || self.queue.iter().zip(&covered).enumerate();
        let within_floor = by_rank()
            .filter(|(_, (_, covered))| **covered)
            .find(|(_, (waiting, _))| fits(waiting));
        let next = within_floor.or_else(|| {
            by_rank().find(|(_, (waiting, covered))| {
                !**covered && fits(waiting) && self.may_borrow(waiting, view, slots, now)
            })
        });
        next.map(|(position, _)| position)
    }

    /// Whether all unused floors can still be granted in time if `waiting` borrows a slot.
    fn may_borrow(
        &self,
        waiting: &WaitingRequest,
        view: &FleetView,
        slots: &ModelSlots,
        now: Timestamp,
    ) -> bool {
        let model = &waiting.model;
        let reserved: f64 = view
            .shares
            .iter()
            .map(|(account, share)| {
                let unused = share.floor.0.saturating_sub(self.usage.slots(account));
                f64::from(unused) * slots.weight(view, account, model)
            })
            .sum();
        let total = slots.of_model(model);
        let free = total.saturating_sub(self.usage.in_use_at(model) + 1);
        let floor = |account: &AccountId| floor(view, account);
        let returned = self
            .usage
            .expected_returns(model, floor, self.settings.floor_wait, now);
        // Rounded to whole slots; otherwise a model with one slot could never lend it out.
        f64::from(free) + returned + 0.5 >= reserved
    }

    fn covered(&self, view: &FleetView) -> Vec<bool> {
        self.queue.covered_by_floor(|account| {
            let used = self.usage.slots(account);
            floor(view, account).saturating_sub(used)
        })
    }
}

fn share(view: &FleetView, account: &AccountId) -> AccountShare {
    view.shares.get(account).copied().unwrap_or_default()
}

fn floor(view: &FleetView, account: &AccountId) -> u32 {
    share(view, account).floor.0
}

fn ceiling(view: &FleetView, account: &AccountId) -> Option<u32> {
    share(view, account).ceiling.map(|ceiling| ceiling.0)
}

/// Time in milliseconds until `needed_slots` slots are released, at `rate`
/// releases per millisecond.
fn wait_ms(rate: f64, needed_slots: usize) -> f64 {
    if rate > 0.0 {
        needed_slots as f64 / rate
    } else {
        f64::INFINITY
    }
}
