//! Selection of a target for each request.

use std::rc::Rc;

use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use super::RequestGateway;
use super::TargetClass;
use super::paced::PacedSelection;
use super::request_limits::limited_requests;
use crate::choice::ChoiceInputs;
use crate::choice::TargetChoice;
use crate::choice::TargetQuery;
use crate::choice::TargetRefusal;
use crate::limit_shares::LimitAdmission;
use crate::spread::TargetLoad;
use crate::spread::select_target;
use crate::target::RequestTarget;

/// Minimum capacity of a target by its request limit, because a capacity must be above zero.
const MIN_CAPACITY: f64 = 0.05;

/// Preference among the targets that accept a request. Targets with the lowest rank are eligible; fields are compared
/// in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TargetRank {
    is_avoided: bool,
    is_late: bool,
    /// Whether there is no need to learn if a request limit is still in force.
    is_routine: bool,
}

/// A target that is neither excluded nor held back by a request limit.
#[derive(Clone, Copy)]
struct UsableTarget<'a> {
    target: &'a Rc<RequestTarget>,
    /// Whether the target is preferred, to learn if its request limit is still in force.
    is_recheck: bool,
}

/// A target that accepts a request.
struct TargetCandidate<'a> {
    target: &'a Rc<RequestTarget>,
    rank: TargetRank,
    load: TargetLoad,
    inputs: ChoiceInputs,
}

/// What the selection knows of all targets of a service and model.
struct ClassFacts {
    /// Mean duration of a request, in milliseconds.
    duration: f64,
    /// Time that the request may wait for a slot, in milliseconds.
    max_wait: f64,
    /// Shortest average pause between two chunks of a response, in milliseconds; infinite before the first sample.
    min_pause: f64,
    /// Mean age of the peers' heartbeats.
    peer_age: TimeSpan,
    /// Requests of the peers in flight at all targets that are not excluded.
    peer_requests: f64,
}

impl RequestGateway {
    /// Selects a target for a request. The caller of this method reports the attempt through [`Self::record_start`],
    /// [`Self::record_progress`] and [`Self::record_end`].
    ///
    /// # Errors
    ///
    /// Fails if no target serves the service and model, or if all targets are full, limited, closed or already tried.
    pub fn choose(
        &mut self,
        query: &TargetQuery<'_>,
        peers: &PeerTable,
        now: Timestamp,
    ) -> Result<TargetChoice, TargetRefusal> {
        self.update_shares(peers, now);
        // Plain services have no models; a model named by the caller is ignored.
        let has_models = self
            .index
            .as_ref()
            .is_some_and(|index| index.config().engine(query.service).is_some());
        let model = query.model.filter(|_| has_models);
        let class = (query.service.clone(), model.cloned());
        let targets = self.targets.get(&class).map_or(&[][..], Vec::as_slice);
        let is_evacuated =
            |target: &Rc<RequestTarget>| self.evacuated.contains(&target.failure_domain);
        if targets.iter().all(is_evacuated) {
            return Err(TargetRefusal::NoTarget);
        }
        if self.settings.pacing.is_some() {
            let (usable, held) = self.usable_targets(targets, query, peers, now);
            let usable = usable.into_iter().map(|usable| usable.target.clone());
            let usable = PacedSelection {
                usable: usable.collect(),
                held: u32::try_from(held.len()).unwrap_or(u32::MAX),
            };
            if let Some(choice) = self.choose_paced(&class, &usable, query, peers, now) {
                return choice;
            }
        }
        self.choose_by_count(&class, query, peers, now)
    }

    /// Selects a target by the number of requests in flight.
    fn choose_by_count(
        &mut self,
        class: &TargetClass,
        query: &TargetQuery<'_>,
        peers: &PeerTable,
        now: Timestamp,
    ) -> Result<TargetChoice, TargetRefusal> {
        let targets = self.targets.get(class).map_or(&[][..], Vec::as_slice);
        let (usable, held) = self.usable_targets(targets, query, peers, now);
        let held_count = u32::try_from(held.len()).unwrap_or(u32::MAX);
        if let (true, Some(wait)) = (usable.is_empty(), held.into_iter().min()) {
            return Err(TargetRefusal::Limited { wait });
        }
        let facts = self.class_facts(class, &usable, query, peers, now);
        let mut candidates: Vec<TargetCandidate<'_>> = usable
            .into_iter()
            .filter_map(|usable| self.candidate(usable, &facts, query, peers, now))
            .collect();
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let best_rank = candidates.iter().map(|candidate| candidate.rank).min();
        candidates.retain(|candidate| Some(candidate.rank) == best_rank);
        // By Little's law, peers with this many requests in flight send as many again in the time of one request.
        let unseen = facts.peer_requests * facts.peer_age.as_millis() as f64 / facts.duration;
        let loads: Vec<TargetLoad> = candidates.iter().map(|candidate| candidate.load).collect();
        let candidate = select_target(&loads, unseen, &mut self.random)
            .and_then(|position| candidates.get(position))
            .ok_or(TargetRefusal::Full)?;
        Ok(TargetChoice {
            target: candidate.target.clone(),
            is_late: candidate.rank.is_late || query.is_caller_retry,
            inputs: ChoiceInputs {
                candidates: count,
                held: held_count,
                ..candidate.inputs
            },
        })
    }

    /// Targets that are neither excluded nor held back by a request limit, and the times until the limits of the latter
    /// allow a request.
    fn usable_targets<'a>(
        &self,
        targets: &'a [Rc<RequestTarget>],
        query: &TargetQuery<'_>,
        peers: &PeerTable,
        now: Timestamp,
    ) -> (Vec<UsableTarget<'a>>, Vec<TimeSpan>) {
        let (mut usable, mut held) = (Vec::new(), Vec::new());
        for target in targets {
            if self.evacuated.contains(&target.failure_domain) {
                continue;
            }
            if self.is_excluded(target, query, peers) {
                continue;
            }
            match self.limit_admission(target.server, peers, now) {
                LimitAdmission::Admitted { is_recheck } => {
                    usable.push(UsableTarget { target, is_recheck });
                }
                LimitAdmission::Held { wait } => held.push(wait),
            }
        }
        (usable, held)
    }

    /// `targets` are those that may receive the request.
    fn class_facts(
        &self,
        class: &TargetClass,
        targets: &[UsableTarget<'_>],
        query: &TargetQuery<'_>,
        peers: &PeerTable,
        now: Timestamp,
    ) -> ClassFacts {
        let peer_requests = targets
            .iter()
            .map(|usable| peers.load_of(usable.target.number.0))
            .sum::<u32>();
        ClassFacts {
            duration: self.duration(class),
            max_wait: query.latency_target.as_millis() as f64 * self.settings.wait_share,
            min_pause: targets
                .iter()
                .filter_map(|usable| self.health.get(&usable.target.number))
                .map(|health| health.pause_ms)
                .filter(|pause| *pause > 0.0)
                .fold(f64::INFINITY, f64::min),
            peer_age: peers.mean_age(now),
            peer_requests: f64::from(peer_requests),
        }
    }

    /// Mean duration of a request, in milliseconds.
    pub(super) fn duration(&self, class: &TargetClass) -> f64 {
        let duration = self.durations.get(class).copied();
        duration.unwrap_or(self.settings.assumed_duration_ms)
    }

    fn in_flight(&self, target: &RequestTarget) -> u32 {
        let health = self.health.get(&target.number);
        health.map_or(0, |health| health.in_flight)
    }

    /// Whether a target must not receive the request: it is closed, this node uses its share of the connections, or the
    /// request was already sent to it.
    fn is_excluded(
        &self,
        target: &RequestTarget,
        query: &TargetQuery<'_>,
        peers: &PeerTable,
    ) -> bool {
        self.closed.contains(&target.number)
            || self.in_flight(target) >= self.connection_limit(target)
            || peers.is_closed(target.number.0)
            || query.tried.contains(&target.number)
    }

    /// The target with its rank and load; `None` if it does not admit the request.
    fn candidate<'a>(
        &self,
        usable: UsableTarget<'a>,
        facts: &ClassFacts,
        query: &TargetQuery<'_>,
        peers: &PeerTable,
        now: Timestamp,
    ) -> Option<TargetCandidate<'a>> {
        let UsableTarget { target, is_recheck } = usable;
        let health = self.health.get(&target.number);
        let (own_requests, own_late) =
            health.map_or((0, 0), |health| (health.in_flight, health.waiting_late));
        let requests = own_requests + peers.load_of(target.number.0);
        let total_load = f64::from(requests);
        let late_load = f64::from(own_late + peers.late_load_of(target.number.0));
        let on_time_load = (total_load - late_load).max(0.0);
        let slots = f64::from(target.slots);
        let is_late = on_time_load >= slots * (1.0 + facts.max_wait / facts.duration);
        // A late request in a slot delays requests that can still meet their latency target. One late request may be
        // queued, so that a slot is reused as soon as it becomes free.
        let is_full = if query.is_caller_retry {
            total_load > slots
        } else {
            is_late
        };
        if is_full && !query.has_started {
            return None;
        }
        let is_avoided = peers.is_stalled(target.number.0)
            || health.is_some_and(|health| {
                now < health.avoid_until
                    || self.has_stalled(target, health, self.settings.avoid_after, now)
            });
        let slowdown = health.map_or(1.0, |health| health.slowdown(facts.min_pause));
        let load = if is_late { total_load } else { on_time_load };
        let limit = self.limit_inputs(target, peers, now);
        let capacity = limit.map_or(slots, |inputs| {
            limited_requests(inputs.limit, facts.duration).clamp(MIN_CAPACITY, slots)
        });
        Some(TargetCandidate {
            target,
            rank: TargetRank {
                is_avoided,
                is_late,
                is_routine: !is_recheck,
            },
            load: TargetLoad {
                // A slow target does not rank equally with others while it is idle.
                requests: load + 1.0 - 1.0 / slowdown,
                capacity: capacity / slowdown,
            },
            inputs: ChoiceInputs {
                candidates: 0,
                load: requests,
                own_load: own_requests,
                peer_age: facts.peer_age,
                slots: target.slots,
                limit,
                held: 0,
                paced: None,
            },
        })
    }
}
