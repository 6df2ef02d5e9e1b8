//! Random sequences of calls lose no slot, exceed no limit and answer each request once.

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
struct Tracked {
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
    running: BTreeMap<RequestId, Tracked>,
    waiting: BTreeMap<RequestId, Tracked>,
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

    fn run(&mut self, word: u64) {
        let pick = (word >> 8) as usize;
        match word % 16 {
            0 => self.now += pick as u64 % 700,
            1..=4 => {
                if let Some(request) = nth(&self.running, pick) {
                    self.running.remove(&request);
                    let released = self.controller.release(&request, &self.view, self.now());
                    self.take(released);
                    self.check_order();
                }
            }
            5 => {
                let released = self.controller.tick(&self.view, self.now());
                self.take(released);
                self.check_order();
                self.check_waits();
            }
            6 => {
                if let Some(request) = nth(&self.waiting, pick) {
                    self.controller.cancel(&request);
                    // It may have been displaced before; the caller has hung up either way.
                    self.waiting.remove(&request);
                }
            }
            7 => {
                if let Some(request) = nth(&self.running, pick) {
                    self.running.remove(&request);
                    self.controller.cancel(&request);
                }
            }
            8 => self.view.groups[pick % 2].slots = SlotCount((word >> 16) as u32 % 9),
            _ => self.admit(pick),
        }
    }

    fn admit(&mut self, pick: usize) {
        let tracked = Tracked {
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
        self.take(displaced);
    }

    fn take(&mut self, releases: Vec<QueueRelease>) {
        for release in releases {
            let tracked = self.waiting.remove(&release.request);
            match &release.outcome {
                AdmitOutcome::Admitted => {
                    let tracked = tracked.expect("only a waiting request is released");
                    assert!(self.now < tracked.deadline, "admitted after its deadline");
                    self.running.insert(release.request, tracked.clone());
                    self.check_limits(&tracked);
                }
                outcome => {
                    tracked.expect("only a waiting request is released");
                    refusal(outcome);
                }
            }
        }
    }

    fn slots(&self, model: usize) -> usize {
        self.view.groups[model].slots.0 as usize
    }

    fn in_use(&self, chosen: impl Fn(&Tracked) -> bool) -> usize {
        self.running.values().filter(|one| chosen(one)).count()
    }

    fn check_limits(&self, granted: &Tracked) {
        let at_model = self.in_use(|one| one.model == granted.model);
        assert!(at_model <= self.slots(granted.model), "slots exceeded");
        let of_account = self.in_use(|one| one.account == granted.account);
        let ceiling = ACCOUNTS[granted.account].2;
        let within = ceiling.is_none_or(|most| of_account <= most as usize);
        assert!(within, "ceiling exceeded");
    }

    /// After grants, a request within its floor waits only when its model has no free slot.
    fn check_order(&self) {
        for waiting in self.waiting.values() {
            let used = self.in_use(|one| one.account == waiting.account);
            let floor = ACCOUNTS[waiting.account].1 as usize;
            let free = self.in_use(|one| one.model == waiting.model) < self.slots(waiting.model);
            let kept_back = used < floor && free && self.now < waiting.deadline;
            assert!(!kept_back, "{waiting:?} waits within its floor");
        }
    }

    fn check_waits(&self) {
        for waiting in self.waiting.values() {
            assert!(self.now < waiting.deadline, "held past its deadline");
            assert!(self.now < waiting.arrived + FLOOR_WAIT_MS, "held too long");
        }
    }

    /// Ends everything; then all slots must be usable again.
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
        // Past the demand window, only slots in use would still be reported.
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

fn nth(requests: &BTreeMap<RequestId, Tracked>, pick: usize) -> Option<RequestId> {
    let position = pick.checked_rem(requests.len())?;
    requests.keys().nth(position).cloned()
}

fn run(words: Vec<u64>) -> bool {
    let mut scenario = Scenario::new();
    for word in words {
        scenario.run(word);
    }
    scenario.finish();
    true
}

/// Guards against leaked slots, exceeded limits, second answers, requests held past their deadline
/// and borrowers served before floors.
#[test]
fn random_sequences_keep_the_counts() {
    check(
        "random_sequences_keep_the_counts",
        300,
        1,
        run as fn(Vec<u64>) -> bool,
    );
}

/// Guards against one request that takes two slots.
#[test]
fn a_request_is_admitted_once() {
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

/// Guards against plain services that are limited by the slots of models, or by nothing.
#[test]
fn services_are_limited_by_the_ceiling_only() {
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
