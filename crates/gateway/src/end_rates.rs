//! How often requests of a class meet the end of their backend server, whatever their content is.

use std::collections::HashMap;

use jaysaddle_types::content::ContentKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time over which requests are counted, in steps of [`STEP`].
const STEP: TimeSpan = TimeSpan(1000);
const STEPS: u64 = 10;
/// Time for which survivals tell that a class can be served at all, and the number of them.
const CONTRAST_TIME: TimeSpan = TimeSpan::from_secs(60);
const MIN_CONTRAST: u32 = 3;
/// Maximum number of classes. Callers name models, so the least recent class makes room for another.
const MAX_CLASSES: usize = 64;

/// Requests of one step.
#[derive(Clone, Copy, Debug, Default)]
struct StepCount {
    step: u64,
    ended: u32,
    survived: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    steps: [StepCount; STEPS as usize],
    latest: u64,
    /// Survivals since the last time without any for [`CONTRAST_TIME`].
    survived: u32,
    last_survived: Timestamp,
}

/// Counts by class over the last seconds.
#[derive(Debug, Default)]
pub struct EndRates {
    classes: HashMap<ContentKey, ClassCounts>,
}

impl EndRates {
    /// Counts a request whose backend server has ended, or has survived it.
    pub fn record(&mut self, class: ContentKey, has_ended: bool, now: Timestamp) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class) {
            let oldest = self.classes.iter().min_by_key(|(_, counts)| counts.latest);
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.classes.remove(&key);
            }
        }
        let step = now.0 / STEP.0;
        let counts = self.classes.entry(class).or_default();
        counts.latest = step;
        let slot = &mut counts.steps[(step % STEPS) as usize];
        if slot.step != step {
            *slot = StepCount {
                step,
                ..StepCount::default()
            };
        }
        slot.ended += u32::from(has_ended);
        slot.survived += u32::from(!has_ended);
        if !has_ended {
            let is_recent = now.since(counts.last_survived) < CONTRAST_TIME;
            counts.survived = if is_recent { counts.survived } else { 0 }.saturating_add(1);
            counts.last_survived = now;
        }
    }

    /// Whether requests of a class have been survived lately, so that its ends may have to do with their content.
    pub fn has_contrast(&self, class: ContentKey, now: Timestamp) -> bool {
        self.classes.get(&class).is_some_and(|counts| {
            counts.survived >= MIN_CONTRAST && now.since(counts.last_survived) < CONTRAST_TIME
        })
    }

    /// Estimated probability that a request meets the end of its backend server, above 0 and below 1.
    pub fn probability(&self, class: ContentKey, now: Timestamp) -> f64 {
        let step = now.0 / STEP.0;
        let counts = self.classes.get(&class).copied().unwrap_or_default();
        let recent = counts.steps.iter().filter(|slot| slot.step + STEPS > step);
        let (ended, survived) = recent.fold((0.0, 0.0), |(ended, survived), slot| {
            (
                ended + f64::from(slot.ended),
                survived + f64::from(slot.survived),
            )
        });
        // Laplace's rule of succession, for small counts.
        (ended + 1.0) / (ended + survived + 2.0)
    }
}
