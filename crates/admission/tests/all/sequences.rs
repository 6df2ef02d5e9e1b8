//! Invariants of the admission controller under random sequences of calls.

use std::collections::BTreeMap;

use jaysaddle_admission::AdmissionController;
use jaysaddle_admission::AdmissionSettings;
use jaysaddle_admission::AdmitOutcome;
use jaysaddle_admission::QueueRelease;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::FleetView;

use crate::support::check;
use crate::support::query;
use crate::support::refusal;
use crate::support::view;

const ACCOUNTS: [(&str, u32, Option<u32>); 3] = [
    ("large", 0, None),
    ("small", 3, Some(5)),
    ("other", 2, None),
];
const MODELS: [(&str, u32); 2] = [("chat", 8), ("embed", 4)];
const FLOOR_WAIT_MS: u64 = 2_000;

#[derive(Clone, Debug)]
struct TrackedRequest {
    account: usize,
    model: usize,
    deadline: u64,
    arrived: u64,
}

struct Scenario {
    controller: AdmissionController,
    view: FleetView,
    now: u64,
    sent: usize,
    running: BTreeMap<RequestId, TrackedRequest>,
    waiting: BTreeMap<RequestId, TrackedRequest>,
}

impl Scenario {
    fn new() -> Self {
        Self {
            controller: AdmissionController::new(AdmissionSettings {
                queue_length: 12,
                ..AdmissionSettings::default()
            }),
            view: view(&MODELS, &ACCOUNTS),
            now: 1_000,
            sent: 0,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.now)
    }

    fn apply(&mut self, step: u64) {
        let pick = (step >> 8) as usize;
        match step % 16 {
            0 => self.now += pick as u64 % 700,
            1..=4 => {
                if let Some(request) = nth(&self.running, pick) {
                    self.running.remove(&request);
                    let released = self.controller.release(&request, &self.view, self.now());
                    self.handle_releases(released);
                    self.check_order();
                }
            }
            5 => {
                let released = self.controller.tick(&self.view, self.now());
                self.handle_releases(released);
                self.check_order();
                self.check_waits();
            }
            6 => {
                if let Some(request) = nth(&self.waiting, pick) {
                    self.controller.cancel(&request);
                    // The request may have been displaced before the cancellation.
                    self.waiting.remove(&request);
                }
            }
            7 => {
                if let Some(request) = nth(&self.running, pick) {
                    self.running.remove(&request);
                    self.controller.cancel(&request);
                }
            }
            8 => self.view.groups[pick % 2].slots = SlotCount((step >> 16) as u32 % 9),
            _ => self.admit(pick),
        }
    }

    fn admit(&mut self, pick: usize) {
        let tracked = TrackedRequest {
            account: pick % 3,
            model: pick / 3 % 2,
            deadline: self.now + (pick as u64 / 6) % 4_000,
            arrived: self.now,
        };
        self.sent += 1;
        let query = query(
            self.sent,
            ACCOUNTS[tracked.account].0,
            MODELS[tracked.model].0,
            (pick / 7 % 10) as u8,
            Timestamp(tracked.deadline),
        );
        let outcome = self.controller.admit(&query, &self.view, self.now());
        match &outcome {
            AdmitOutcome::Queued => {
                self.waiting.insert(query.request, tracked);
            }
            AdmitOutcome::Admitted => {
                self.running.insert(query.request, tracked.clone());
                self.check_limits(&tracked);
            }
            AdmitOutcome::Refused(_) => {
                refusal(&outcome);
            }
        }
        let displaced = self.controller.displaced();
        self.handle_releases(displaced);
    }

    fn handle_releases(&mut self, releases: Vec<QueueRelease>) {
        for release in releases {
            let tracked = self.waiting.remove(&release.request);
            match &release.outcome {
                AdmitOutcome::Admitted => {
                    let tracked = tracked.expect("only queued requests are released");
                    assert!(self.now < tracked.deadline, "admitted after its deadline");
                    self.running.insert(release.request, tracked.clone());
                    self.check_limits(&tracked);
                }
                outcome => {
                    tracked.expect("only queued requests are released");
                    refusal(outcome);
                }
            }
        }
    }

    fn slots(&self, model: usize) -> usize {
        self.view.groups[model].slots.0 as usize
    }

    fn in_use(&self, matches: impl Fn(&TrackedRequest) -> bool) -> usize {
        self.running
            .values()
            .filter(|tracked| matches(tracked))
            .count()
    }

    fn check_limits(&self, granted: &TrackedRequest) {
        let at_model = self.in_use(|tracked| tracked.model == granted.model);
        assert!(at_model <= self.slots(granted.model), "slots exceeded");
        let of_account = self.in_use(|tracked| tracked.account == granted.account);
        let ceiling = ACCOUNTS[granted.account].2;
        let within = ceiling.is_none_or(|most| of_account <= most as usize);
        assert!(within, "ceiling exceeded");
    }

    /// Checks after grants that a request within its floor is queued only if its model has
    /// no free slot.
    fn check_order(&self) {
        for waiting in self.waiting.values() {
            let used = self.in_use(|tracked| tracked.account == waiting.account);
            let floor = ACCOUNTS[waiting.account].1 as usize;
            let free =
                self.in_use(|tracked| tracked.model == waiting.model) < self.slots(waiting.model);
            let wrongly_queued = used < floor && free && self.now < waiting.deadline;
            assert!(!wrongly_queued, "{waiting:?} waits within its floor");
        }
    }

    fn check_waits(&self) {
        for waiting in self.waiting.values() {
            assert!(self.now < waiting.deadline, "queued past its deadline");
            assert!(
                self.now < waiting.arrived + FLOOR_WAIT_MS,
                "queued longer than the floor wait"
            );
        }
    }

    /// Ends all requests and checks that all slots can be granted again.
    fn finish(mut self) {
        let requests: Vec<RequestId> = self.waiting.keys().cloned().collect();
        for request in requests {
            self.controller.cancel(&request);
        }
        let requests: Vec<RequestId> = self.running.keys().cloned().collect();
        for request in requests {
            let released = self.controller.release(&request, &self.view, self.now());
            assert!(released.is_empty(), "{released:?} after all were cancelled");
        }
        // After the demand window has passed, only slots in use would still be reported.
        let later = Timestamp(self.now + 60_000);
        assert_eq!(self.controller.usage(later), Vec::new(), "a slot leaked");
        let view = view(&MODELS, &[]);
        for (model, slots) in MODELS {
            for _ in 0..slots {
                self.sent += 1;
                let deadline = Timestamp(later.0 + 1_000);
                let query = query(self.sent, "large", model, 5, deadline);
                let outcome = self.controller.admit(&query, &view, later);
                assert_eq!(outcome, AdmitOutcome::Admitted, "a slot of {model} leaked");
            }
        }
    }
}

fn nth(requests: &BTreeMap<RequestId, TrackedRequest>, pick: usize) -> Option<RequestId> {
    let position = pick.checked_rem(requests.len())?;
    requests.keys().nth(position).cloned()
}

fn run(steps: Vec<u64>) -> bool {
    let mut scenario = Scenario::new();
    for step in steps {
        scenario.apply(step);
    }
    scenario.finish();
    true
}

/// Guards against leaked slots, exceeded limits, more than one outcome per request, requests queued
/// past their deadline and requests beyond a floor granted before requests within one.
#[test]
fn random_sequences_preserve_slot_counts() {
    check(
        "random_sequences_preserve_slot_counts",
        300,
        1,
        run as fn(Vec<u64>) -> bool,
    );
}

/// Guards against one request occupying two slots when it is submitted twice.
#[test]
fn request_is_admitted_once() {
    let view = view(&MODELS, &ACCOUNTS);
    let mut controller = AdmissionController::new(AdmissionSettings::default());
    let query = query(1, "small", "chat", 5, Timestamp(9_000));
    assert_eq!(
        controller.admit(&query, &view, Timestamp(1)),
        AdmitOutcome::Admitted
    );
    refusal(&controller.admit(&query, &view, Timestamp(2)));
    controller.release(&query.request, &view, Timestamp(3));
    assert_eq!(controller.usage(Timestamp(60_000)), Vec::new());
}

/// Guards against calls of plain services limited by slots of models, or not limited at all.
#[test]
fn services_are_limited_by_ceiling_only() {
    let view = view(&[], &[("small", 0, Some(2))]);
    let mut controller = AdmissionController::new(AdmissionSettings::default());
    let outcomes: Vec<bool> = (0..3)
        .map(|number| {
            let mut query = query(number, "small", "", 5, Timestamp(9_000));
            query.target = RequestTarget::Service("stock".parse().expect("valid name"));
            let outcome = controller.admit(&query, &view, Timestamp(1));
            outcome == AdmitOutcome::Admitted
        })
        .collect();
    assert_eq!(outcomes, [true, true, false]);
}
