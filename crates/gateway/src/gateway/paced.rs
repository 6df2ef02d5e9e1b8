//! Selection of a target by the predicted time to the first event, with the requests of lower ranks turned away first.
//!
//! Answers a load that exceeds what the targets can begin in time, for some seconds: a burst, the loss of a fabric domain,
//! or a group that has just opened and looks empty to all nodes at once.

use std::rc::Rc;

use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::units::Timestamp;

use super::RequestGateway;
use super::TargetClass;
use crate::arrivals::ArrivalRates;
use crate::choice::ChoiceInputs;
use crate::choice::PacedInputs;
use crate::choice::QueryWork;
use crate::choice::TargetChoice;
use crate::choice::TargetQuery;
use crate::choice::TargetRefusal;
use crate::cold_servers::ColdAdmission;
use crate::first_event::EnginePace;
use crate::request_rank::RequestRank;
use crate::settings::PacingSettings;
use crate::shedding::CompetingRequests;
use crate::shedding::SmoothedShare;
use crate::shedding::account_share;
use crate::shedding::admission_share;
use crate::spread::BoundedLoad;
use crate::spread::TargetLoad;
use crate::spread::bounded_level;
use crate::spread::select_bounded;
use crate::target::RequestTarget;
use crate::target::update_average;
use crate::target_room::ClassRoom;
use crate::target_room::TargetUse;

/// Rank of requests whose callers come back after a refusal: they are late, and must not delay those that can be on time.
const RETRY_RANK: RequestRank = RequestRank {
    account: u32::MAX,
    route: u32::MAX,
};

/// Rate of a client account from which its part is told from that of others, in requests a second: three in the time of the
/// average. With fewer, the estimate would admit almost all accounts of a node of a large deployment.
const MIN_ACCOUNT_RATE: f64 = 0.6;

/// Targets among which a request is placed.
pub(super) struct PacedSelection {
    /// Targets that are neither excluded nor held back by a request limit.
    pub usable: Vec<Rc<RequestTarget>>,
    /// Number of targets that are held back.
    pub held: u32,
}

/// A target with what is known of its room.
struct PacedTarget {
    target: Rc<RequestTarget>,
    /// Its room is the number of requests that it can begin in time.
    load: BoundedLoad,
    /// Number of requests that it can begin with a delay that is worth it.
    late_room: f64,
    /// Requests in flight of all nodes, and of this one.
    requests: (u32, u32),
    /// Predicted time to the first event, in milliseconds.
    predicted_ms: f64,
    is_avoided: bool,
    is_near: bool,
    /// Whether the first event could arrive in time if no other request were there.
    can_be_on_time: bool,
}

/// What the selection knows of the nodes and of the requests that they send.
struct NodeFacts {
    /// Time until this node knows of a request of a peer, in milliseconds.
    age_ms: f64,
    /// Number of the other live nodes, and of those in this node's failure domain.
    others: f64,
    near_others: f64,
}

impl NodeFacts {
    /// Requests that the other nodes send until this node knows of them, if `rate` is this node's rate.
    fn unseen(&self, rate: f64) -> f64 {
        rate * self.others * self.age_ms / 1000.0
    }
}

impl RequestGateway {
    /// Sets the failure domain of this node, whose targets are preferred while they have room; `None` for no preference.
    pub fn set_near_domain(&mut self, domain: Option<FailureDomainId>) {
        self.near_domain = domain;
    }

    /// Records the arrival of a request, for the rates by which requests are admitted.
    pub fn record_arrival(&mut self, query: &TargetQuery<'_>, now: Timestamp) {
        let (Some(work), Some(_)) = (&query.work, &self.settings.pacing) else {
            return;
        };
        let class = (query.service.clone(), query.model.cloned());
        let rank = effective_rank(query, work);
        let arrivals = self.arrivals.entry(class.clone()).or_default();
        arrivals.record(rank, work.account, now);
        let prompt = f64::from(work.prompt_tokens.max(1));
        update_average(self.mean_prompts.entry(class).or_insert(prompt), prompt);
    }

    fn node_facts(&self, pacing: &PacingSettings, peers: &PeerTable, now: Timestamp) -> NodeFacts {
        let (mut others, mut near_others) = (0.0, 0.0);
        for record in peers.live(now) {
            others += 1.0;
            if self.near_domain.as_ref() == Some(&record.heartbeat.failure_domain) {
                near_others += 1.0;
            }
        }
        let age = peers.mean_age(now).as_millis() + pacing.send_delay.as_millis();
        NodeFacts {
            age_ms: age as f64,
            others,
            near_others,
        }
    }

    /// Selects a target by prediction; `None` if the settings do not ask for it, if the engine's figures are not known, or if
    /// no target could begin the request in time, whatever else is there.
    pub(super) fn choose_paced(
        &mut self,
        class: &TargetClass,
        selection: &PacedSelection,
        query: &TargetQuery<'_>,
        peers: &PeerTable,
        now: Timestamp,
    ) -> Option<Result<TargetChoice, TargetRefusal>> {
        let pacing = self.settings.pacing?;
        let facts = self.node_facts(&pacing, peers, now);
        let room = self.class_room(class, &selection.usable, query, &facts, now)?;
        let targets = selection.usable.iter();
        let targets: Vec<PacedTarget> = targets
            .map(|target| self.paced_target(target, &room, peers, now))
            .collect();
        let is_sound = |target: &PacedTarget| !target.is_avoided;
        if !targets
            .iter()
            .any(|target| is_sound(target) && target.can_be_on_time)
        {
            return None;
        }
        let targets: Vec<PacedTarget> = targets.into_iter().filter(is_sound).collect();
        let count = u32::try_from(targets.len()).unwrap_or(u32::MAX);
        let room: f64 = targets.iter().map(|target| target.load.room).sum();
        let late_room: f64 = targets.iter().map(|target| target.late_room).sum();
        let rates = self.arrivals.get(class).cloned().unwrap_or_default();
        let share = match self.admit(class, &rates, late_room, &facts, query, now) {
            Ok(share) => share,
            Err(refusal) => return Some(Err(refusal)),
        };
        let arrivals = 1.0 + facts.unseen(rates.total(now)).min(room);
        let position = self.select_paced(&targets, arrivals, &facts, &pacing)?;
        let chosen = &targets[position];
        Some(Ok(TargetChoice {
            target: chosen.target.clone(),
            is_late: query.is_caller_retry || chosen.load.room <= 0.0,
            inputs: ChoiceInputs {
                candidates: count,
                load: chosen.requests.0,
                own_load: chosen.requests.1,
                peer_age: peers.mean_age(now),
                slots: chosen.target.slots,
                limit: self.limit_inputs(&chosen.target, peers, now),
                held: selection.held,
                paced: Some(PacedInputs {
                    predicted_ms: chosen.predicted_ms as u32,
                    share_permille: (share * 1000.0) as u32,
                    room: room as u32,
                    is_near: chosen.is_near,
                }),
            },
        }))
    }

    /// Part of the slots that a request leaves to the ranks before it.
    fn slots_reserve(
        &self,
        class: &TargetClass,
        query: &TargetQuery<'_>,
        pacing: &PacingSettings,
        now: Timestamp,
    ) -> f64 {
        let (Some(work), Some(rates)) = (&query.work, self.arrivals.get(class)) else {
            return 0.0;
        };
        let before = rates.before(effective_rank(query, work), now);
        let part = before / rates.total(now).max(f64::MIN_POSITIVE);
        pacing.rank_reserve * (part / pacing.reserve_part).min(1.0)
    }

    /// Decides whether a request is admitted. Returns the part of the requests like it that is, 0 to 1.
    fn admit(
        &mut self,
        class: &TargetClass,
        rates: &ArrivalRates,
        room: f64,
        facts: &NodeFacts,
        query: &TargetQuery<'_>,
        now: Timestamp,
    ) -> Result<f64, TargetRefusal> {
        let (Some(work), Some(pacing)) = (&query.work, &self.settings.pacing) else {
            return Ok(1.0);
        };
        if query.has_started {
            return Ok(1.0);
        }
        let rank = effective_rank(query, work);
        let competing = CompetingRequests {
            room,
            before: facts.unseen(rates.before(rank, now)),
            same: 1.0 + facts.unseen(rates.of(rank, now)),
        };
        let share = admission_share(&competing, &pacing.shedding);
        let average = self.shares_by_rank.entry((class.clone(), rank));
        let average = average.or_insert(SmoothedShare::new(share, now));
        let average = average.update(share, &pacing.shedding, now);
        let share = fair_share(rates, (share, average), (rank, work), pacing, now);
        if self.random.fraction() < share {
            Ok(share)
        } else {
            Err(TargetRefusal::Crowded {
                share_permille: (share * 1000.0) as u32,
            })
        }
    }

    /// Targets in this node's failure domain, if their room suffices, or else all. Without any room, as for a request that
    /// has begun, the target with the shortest prediction is selected.
    fn select_paced(
        &mut self,
        targets: &[PacedTarget],
        arrivals: f64,
        facts: &NodeFacts,
        pacing: &PacingSettings,
    ) -> Option<usize> {
        let loads: Vec<BoundedLoad> = targets.iter().map(|target| target.load).collect();
        if self.near_domain.is_some() {
            let near: Vec<BoundedLoad> = targets
                .iter()
                .map(|target| BoundedLoad {
                    room: if target.is_near {
                        target.load.room
                    } else {
                        0.0
                    },
                    ..target.load
                })
                .collect();
            let part = (facts.near_others + 1.0) / (facts.others + 1.0);
            let near_arrivals = 1.0 + (arrivals - 1.0) * part;
            let level = bounded_level(&near, near_arrivals);
            if level.is_some_and(|level| level <= pacing.near_level) {
                return select_bounded(&near, near_arrivals, &mut self.random);
            }
        }
        select_bounded(&loads, arrivals, &mut self.random).or_else(|| {
            let positions = 0..targets.len();
            positions.min_by(|one, other| {
                let predicted = |position: &usize| targets[*position].predicted_ms;
                predicted(one).total_cmp(&predicted(other))
            })
        })
    }

    /// What is known of all targets of a class for one request.
    fn class_room(
        &self,
        class: &TargetClass,
        usable: &[Rc<RequestTarget>],
        query: &TargetQuery<'_>,
        facts: &NodeFacts,
        now: Timestamp,
    ) -> Option<ClassRoom> {
        let pacing = self.settings.pacing?;
        let prompt = f64::from(query.work.as_ref()?.prompt_tokens);
        let profile = self.index.as_ref()?.config().engine(query.service)?;
        let pace = EnginePace::of(profile, class.1.as_ref()?)?;
        let bias = self.biases.get(class).copied().unwrap_or_default().ratio();
        let mean_prompt = self.mean_prompts.get(class).copied();
        let pauses = usable
            .iter()
            .filter_map(|target| self.health.get(&target.number));
        Some(ClassRoom {
            pace,
            bias,
            limit_ms: query.latency_target.as_millis() as f64 * pacing.on_time_part / bias,
            late_factor: pacing.late_factor,
            prompt,
            mean_prompt: mean_prompt.unwrap_or(prompt).max(1.0),
            duration: self.duration(class),
            slots_part: pacing.slots_part - self.slots_reserve(class, query, &pacing, now),
            read_part: pacing.read_part,
            min_pause: pauses
                .map(|health| health.pause_ms)
                .filter(|pause| *pause > 0.0)
                .fold(f64::INFINITY, f64::min),
            age_ms: facts.age_ms,
        })
    }

    fn paced_target(
        &self,
        target: &Rc<RequestTarget>,
        room: &ClassRoom,
        peers: &PeerTable,
        now: Timestamp,
    ) -> PacedTarget {
        let health = self.health.get(&target.number);
        let (own, own_unread) = health.map_or((0, 0), |health| (health.in_flight, health.unread));
        let all = own + peers.load_of(target.number.0);
        let slowdown = health.map_or(1.0, |health| health.slowdown(room.min_pause));
        let is_cold = self.cold.admission(target.server, now) == ColdAdmission::Admitted;
        let target_room = room.target_room(&TargetUse {
            slots: f64::from(target.slots),
            requests: f64::from(all),
            own_unread: f64::from(own_unread),
            peers_unread: f64::from(peers.unread_of(target.number.0)),
            slowdown,
            is_cold,
        });
        let is_avoided = peers.is_stalled(target.number.0)
            || health.is_some_and(|health| {
                now < health.avoid_until
                    || self.has_stalled(target, health, self.settings.avoid_after, now)
            });
        PacedTarget {
            target: target.clone(),
            load: BoundedLoad {
                load: TargetLoad {
                    // A slow target does not rank equally with others while it is idle.
                    requests: f64::from(all) + 1.0 - 1.0 / slowdown,
                    capacity: f64::from(target.slots) / slowdown,
                },
                room: target_room.in_time,
            },
            late_room: target_room.late,
            requests: (all, own),
            predicted_ms: target_room.predicted_ms,
            is_avoided,
            is_near: self.near_domain.as_ref() == Some(&target.failure_domain),
            can_be_on_time: target_room.can_be_on_time,
        }
    }
}

fn effective_rank(query: &TargetQuery<'_>, work: &QueryWork<'_>) -> RequestRank {
    if query.is_caller_retry {
        RETRY_RANK
    } else {
        work.rank
    }
}

/// Part of the requests of one client account that is admitted. `share` of its rank are now, and `average` lately. An account
/// that sends less than its part is not affected by what the others send, if enough of its requests come to this node.
fn fair_share(
    rates: &ArrivalRates,
    (share, average): (f64, f64),
    (rank, work): (RequestRank, &QueryWork<'_>),
    pacing: &PacingSettings,
    now: Timestamp,
) -> f64 {
    let Some(account) = work.account.filter(|_| share < 1.0 && average > 0.0) else {
        return share;
    };
    let (others, own) = rates.accounts(rank, account, now);
    if own < MIN_ACCOUNT_RATE {
        return share;
    }
    let fair = account_share(average, own, &others);
    if fair >= 1.0 {
        return 1.0;
    }
    (share * fair / average).clamp(pacing.shedding.min_share, 1.0)
}
