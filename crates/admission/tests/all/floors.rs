//! Account floors under a flood of requests from another account.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_admission::AdmissionController;
use jaysaddle_admission::AdmissionSettings;
use jaysaddle_admission::AdmitOutcome;
use jaysaddle_admission::QueueRelease;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::FleetView;

use crate::support::check;
use crate::support::query;
use crate::support::view;

const SLOTS: u32 = 40;
const FLOOR: u32 = 12;
const STEP_MS: u64 = 10;
const WARM_UP_MS: u64 = 4_000;
const BURST_MS: u64 = 1_700;
const END_MS: u64 = 14_000;
const FLOOR_WAIT_MS: u64 = 2_000;

/// SplitMix64 generator, so that a run depends only on its seed.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// Exponentially distributed hold time with the given mean.
    fn hold_time(&mut self, mean: u64) -> u64 {
        let unit = (self.next() >> 11) as f64 / (1_u64 << 53) as f64;
        (-(1.0 - unit).ln() * mean as f64) as u64 + 1
    }
}

#[derive(Default)]
struct Totals {
    /// Slot-milliseconds in use after the warm-up phase.
    used: u64,
    refused_within_floor: u32,
    longest_wait: u64,
    served_within_floor: u32,
}

struct FloodSimulation {
    controller: AdmissionController,
    view: FleetView,
    random: Random,
    mean_hold: u64,
    /// End time, request, and whether it belongs to the small account; ordered by end time.
    running: BTreeSet<(u64, RequestId, bool)>,
    waiting: BTreeMap<RequestId, (u64, bool)>,
    sent: usize,
    totals: Totals,
}

impl FloodSimulation {
    fn new(seed: u64, shortest_hold: u64, longest_hold: u64) -> Self {
        let mut random = Random(seed);
        let mean_hold = shortest_hold + random.next() % (longest_hold - shortest_hold);
        Self {
            controller: AdmissionController::new(AdmissionSettings::default()),
            view: view(&[("chat", SLOTS)], &[("small", FLOOR, None)]),
            random,
            mean_hold,
            running: BTreeSet::new(),
            waiting: BTreeMap::new(),
            sent: 0,
            totals: Totals::default(),
        }
    }

    fn run(mut self, end: u64) -> Totals {
        let mut now = 1_000;
        while now < end {
            self.end_requests(now);
            self.flood(now);
            self.small_account(now);
            let released = self.controller.tick(&self.view, Timestamp(now));
            self.handle_releases(released, now);
            if now >= WARM_UP_MS {
                self.totals.used += self.running.len() as u64 * STEP_MS;
            }
            now += STEP_MS;
        }
        self.totals
    }

    fn end_requests(&mut self, now: u64) {
        while let Some((end, request, small)) = self.running.first().cloned() {
            if end > now {
                break;
            }
            self.running.remove(&(end, request.clone(), small));
            let released = self
                .controller
                .release(&request, &self.view, Timestamp(now));
            self.handle_releases(released, now);
        }
    }

    /// Sends requests for five times the capacity, at the highest priority.
    fn flood(&mut self, now: u64) {
        let per_step = (5 * u64::from(SLOTS) * STEP_MS).div_ceil(self.mean_hold);
        for _ in 0..per_step {
            self.send("large", 9, now);
        }
    }

    /// Sends requests up to the floor at the lowest priority, in bursts with pauses in which the
    /// floor is lent out.
    ///
    /// Long requests are sent only at the start of a burst; otherwise a refused request would be
    /// sent and counted again in every step.
    fn small_account(&mut self, now: u64) {
        let phase = now % (2 * BURST_MS);
        let active = match self.mean_hold > BURST_MS {
            true => phase < STEP_MS,
            false => phase < BURST_MS,
        };
        if !active || now < WARM_UP_MS {
            return;
        }
        let running = self.running.iter().filter(|(_, _, small)| *small);
        let waiting = self.waiting.values().filter(|(_, small)| *small);
        for _ in running.count() + waiting.count()..FLOOR as usize {
            self.send("small", 0, now);
        }
    }

    fn send(&mut self, account: &str, priority: u8, now: u64) {
        self.sent += 1;
        let small = account == "small";
        let deadline = Timestamp(now + 30_000);
        let query = query(self.sent, account, "chat", priority, deadline);
        match self.controller.admit(&query, &self.view, Timestamp(now)) {
            AdmitOutcome::Admitted => self.start(query.request, small, now, now),
            AdmitOutcome::Queued => {
                self.waiting.insert(query.request, (now, small));
            }
            AdmitOutcome::Refused(_) => self.totals.refused_within_floor += u32::from(small),
        }
        let displaced = self.controller.displaced();
        self.handle_releases(displaced, now);
    }

    fn handle_releases(&mut self, releases: Vec<QueueRelease>, now: u64) {
        for release in releases {
            let (arrived, small) = self
                .waiting
                .remove(&release.request)
                .expect("only queued requests are released");
            match release.outcome {
                AdmitOutcome::Admitted => self.start(release.request, small, arrived, now),
                _ => self.totals.refused_within_floor += u32::from(small),
            }
        }
    }

    fn start(&mut self, request: RequestId, small: bool, arrived: u64, now: u64) {
        let end = now + self.random.hold_time(self.mean_hold);
        self.running.insert((end, request, small));
        if small {
            self.totals.served_within_floor += 1;
            self.totals.longest_wait = self.totals.longest_wait.max(now - arrived);
        }
    }
}

fn floors_hold(seed: u64) -> bool {
    let totals = FloodSimulation::new(seed, 200, 1_200).run(END_MS);
    assert!(totals.served_within_floor > 0);
    assert_eq!(totals.refused_within_floor, 0, "refused within the floor");
    let wait = totals.longest_wait;
    assert!(wait <= FLOOR_WAIT_MS, "waited {wait} ms within the floor");
    let possible = u64::from(SLOTS) * (END_MS - WARM_UP_MS);
    let permille = totals.used * 1000 / possible;
    assert!(permille >= 950, "{permille} thousandths of the slots used");
    true
}

/// Guards against a flood at the highest priority that takes slots within another account's floor,
/// and against floors guaranteed by leaving slots idle.
#[test]
fn flood_leaves_floors_of_other_accounts() {
    check(
        "flood_leaves_floors_of_other_accounts",
        100,
        100,
        floors_hold as fn(u64) -> bool,
    );
}

fn long_requests_leave_capacity(seed: u64) -> bool {
    let totals = FloodSimulation::new(seed, 8_000, 12_000).run(10 * END_MS);
    let (refused, served) = (totals.refused_within_floor, totals.served_within_floor);
    assert!(served > 0);
    assert!(refused * 20 <= served, "{refused} refused, {served} served");
    true
}

/// Guards against slots lent to long requests so that a floor cannot be granted within its time
/// limit. Hold times are random, so 95% of the requests must be served in time, not all.
#[test]
fn long_requests_leave_capacity_for_floors() {
    check(
        "long_requests_leave_capacity_for_floors",
        100,
        100,
        long_requests_leave_capacity as fn(u64) -> bool,
    );
}
