//! Periodic work: probes, suspicion timeouts, partition healing, anti-entropy and removal of old
//! records.

use std::net::SocketAddr;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::event::MembershipEffect;
use crate::probe::PendingProbe;
use crate::probe::ProbePhase;
use crate::tracker::MembershipTracker;

/// Time between two ticks above which this node was paused, so that expected messages may have
/// arrived but not been read yet.
const PAUSE_THRESHOLD: TimeSpan = TimeSpan::from_secs(2);

/// Interval between pushes of new rumors; several pushes a second disseminate a rumor to 320 nodes
/// within a few seconds.
const PUSH_INTERVAL: TimeSpan = TimeSpan::from_millis(200);

/// Interval between probes of lost nodes and seeds, normally and while many nodes are lost, which
/// indicates a partition.
const HEAL_INTERVAL: TimeSpan = TimeSpan::from_secs(10);
const PARTITION_HEAL_INTERVAL: TimeSpan = TimeSpan::from_secs(3);

/// Share of reachable peers, in permille, below which a partition is assumed.
const PARTITION_PERMILLE: u32 = 800;

/// Interval between removals of expired records.
const PURGE_INTERVAL: TimeSpan = TimeSpan::from_secs(5);

/// Number of seeds contacted at a time while there is no live peer.
const JOIN_FANOUT: usize = 3;

/// Time after the start during which a node syncs more often. When many nodes start together, their
/// claims may exceed the byte budget of rumors.
const JOIN_PERIOD: TimeSpan = TimeSpan::from_secs(20);
const JOIN_SYNC_INTERVAL: TimeSpan = TimeSpan::from_secs(2);

/// When each periodic action is due.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimerTable {
    /// Time of the first tick.
    pub(crate) started: Option<Timestamp>,
    pub(crate) last_tick: Timestamp,
    pub(crate) next_probe: Timestamp,
    pub(crate) next_sync: Timestamp,
    next_push: Timestamp,
    next_heal: Timestamp,
    next_purge: Timestamp,
}

impl MembershipTracker {
    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.start_timers(now);
        self.compensate_pause(now);
        self.expire_probes(now);
        self.expire_suspicions(now);
        self.probe_next(now);
        self.heal_partition(now);
        self.sync_next(now);
        self.push_next(now);
        self.purge_expired(now);
    }

    fn start_timers(&mut self, now: Timestamp) {
        if self.timers.started.is_some() {
            return;
        }
        // Nodes that start together spread their periodic work over the interval.
        let spread = self.settings.sync_interval.as_millis() as usize;
        let offset = TimeSpan(self.random.next_below(spread) as u64);
        self.timers.started = Some(now);
        let own = self.own.clone();
        self.queue_claim(&own, now);
        self.timers.last_tick = now;
        self.timers.next_probe = now;
        self.timers.next_sync = now + offset;
        self.timers.next_heal = now + offset;
        self.timers.next_purge = now + PURGE_INTERVAL;
    }

    fn compensate_pause(&mut self, now: Timestamp) {
        let gap = now.since(self.timers.last_tick);
        self.timers.last_tick = now;
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.schedule.extend_deadlines(gap);
        for entry in self.peers.values_mut() {
            if entry.state == NodeState::Suspect {
                entry.since = entry.since + gap;
            }
        }
        self.timers.next_sync = now;
    }

    fn expire_probes(&mut self, now: Timestamp) {
        for probe in self.schedule.take_expired(now) {
            let target_live = self
                .peers
                .get(&probe.target)
                .is_some_and(|entry| entry.is_live());
            match probe.phase {
                _ if !target_live => {}
                ProbePhase::Direct => self.retry_probe(probe, now),
                ProbePhase::Retried => self.fail_probe(&probe, now),
            }
        }
    }

    /// Replaces the connection and probes again, directly and through other nodes: a connection may
    /// be stalled although the peer is healthy.
    fn retry_probe(&mut self, probe: PendingProbe, now: Timestamp) {
        self.effects
            .push(MembershipEffect::Reconnect { to: probe.address });
        self.send_ping(&probe.target, probe.nonce, true, now);
        let helpers = self.pick_live(self.settings.indirect_probes, Some(&probe.target));
        for helper in helpers {
            self.send_ping_request(&helper, probe.address, probe.nonce);
        }
        self.schedule.start(PendingProbe {
            phase: ProbePhase::Retried,
            deadline: now + self.settings.ping_timeout,
            ..probe
        });
    }

    fn fail_probe(&mut self, probe: &PendingProbe, now: Timestamp) {
        self.record_outcome(false);
        let suspected = self
            .peers
            .get(&probe.target)
            .is_some_and(|entry| entry.state == NodeState::Suspect);
        if !suspected {
            let reason = "no response over a new connection or through other nodes";
            self.declare_state(&probe.target, NodeState::Suspect, reason, now);
        }
    }

    pub(crate) fn record_outcome(&mut self, answered: bool) {
        let peers = self.peers.iter().count() - 1;
        self.schedule.record_outcome(answered, peers);
    }

    fn expire_suspicions(&mut self, now: Timestamp) {
        let span = self.settings.suspicion;
        let expired: Vec<NodeKey> = self
            .peers
            .iter()
            .filter(|(_, entry)| entry.state == NodeState::Suspect)
            .filter(|(_, entry)| now.since(entry.since) >= span)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.declare_state(
                &key,
                NodeState::Dead,
                "the suspicion was not refuted in time",
                now,
            );
        }
    }

    fn probe_next(&mut self, now: Timestamp) {
        if now < self.timers.next_probe {
            return;
        }
        self.timers.next_probe = now + self.settings.probe_interval;
        self.ping_suspects(now);
        let next = self.schedule.next(&self.peers, &self.own, &mut self.random);
        match next {
            Some(key) => self.start_probe(key, now),
            None => self.join(now),
        }
    }

    /// Pings the nodes that this node suspects, so that a live one can refute the suspicion in
    /// time. In a large cluster, a rumor alone takes most of the suspicion timeout to reach them.
    fn ping_suspects(&mut self, now: Timestamp) {
        let suspects: Vec<NodeKey> = self
            .peers
            .iter()
            .filter(|(_, entry)| entry.state == NodeState::Suspect)
            .filter(|(_, entry)| entry.reporter.as_ref() == Some(&self.own))
            .map(|(key, _)| key.clone())
            .collect();
        for key in suspects {
            let nonce = self.random.next_u64();
            self.send_ping(&key, nonce, true, now);
        }
    }

    fn start_probe(&mut self, key: NodeKey, now: Timestamp) {
        let Some(address) = self.address_of(&key) else {
            return;
        };
        // The existing connection to a node considered dead may itself have failed.
        let live = self.peers.get(&key).is_some_and(|entry| entry.is_live());
        if !live {
            self.effects
                .push(MembershipEffect::Reconnect { to: address });
        }
        let nonce = self.random.next_u64();
        self.send_ping(&key, nonce, !live, now);
        self.schedule.start(PendingProbe {
            nonce,
            target: key,
            address,
            phase: ProbePhase::Direct,
            deadline: now + self.settings.ping_timeout,
        });
    }

    /// Pings a few seeds with this node's claim; called while there is no live peer.
    fn join(&mut self, now: Timestamp) {
        let mut seeds = self.unused_addresses(self.seeds.clone());
        self.random.shuffle(&mut seeds);
        for seed in seeds.into_iter().take(JOIN_FANOUT) {
            self.send_unscheduled_ping(seed, None, now);
        }
    }

    /// Filters out the addresses of live nodes, including this node's own.
    fn unused_addresses(&self, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let used: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, entry)| entry.is_live())
            .map(|(_, entry)| entry.record.peers)
            .collect();
        addresses.retain(|address| !used.contains(address));
        addresses
    }

    /// Pings the address of one lost node or seed, so that the sides of a
    /// healed partition reconnect.
    fn heal_partition(&mut self, now: Timestamp) {
        if now < self.timers.next_heal {
            return;
        }
        let partitioned = self.reachable(now) < PARTITION_PERMILLE;
        let interval = if partitioned {
            PARTITION_HEAL_INTERVAL
        } else {
            HEAL_INTERVAL
        };
        self.timers.next_heal = now + interval;
        let lost = self.peers.iter().filter(|(_, entry)| entry.may_rejoin());
        let mut addresses: Vec<SocketAddr> = lost.map(|(_, entry)| entry.record.peers).collect();
        addresses.extend(self.lost_addresses.iter());
        addresses.extend(&self.seeds);
        let mut addresses = self.unused_addresses(addresses);
        if addresses.is_empty() {
            return;
        }
        let index = self.random.next_below(addresses.len());
        let address = addresses.swap_remove(index);
        let subject = self
            .peers
            .iter()
            .find(|(_, entry)| entry.may_rejoin() && entry.record.peers == address)
            .map(|(key, _)| key.clone());
        self.effects
            .push(MembershipEffect::Reconnect { to: address });
        self.send_unscheduled_ping(address, subject.as_ref(), now);
    }

    fn sync_next(&mut self, now: Timestamp) {
        if now < self.timers.next_sync {
            return;
        }
        if let Some(key) = self.pick_live(1, None).pop() {
            self.start_sync(&key, now);
        }
    }

    /// Returns the time until the next anti-entropy exchange.
    pub(crate) fn sync_interval(&self, now: Timestamp) -> TimeSpan {
        let started = self.timers.started.unwrap_or(now);
        if now.since(started) < JOIN_PERIOD {
            JOIN_SYNC_INTERVAL.min(self.settings.sync_interval)
        } else {
            self.settings.sync_interval
        }
    }

    fn push_next(&mut self, now: Timestamp) {
        if now < self.timers.next_push {
            return;
        }
        self.outbox.refresh(now);
        if !self.outbox.is_ready() {
            return;
        }
        self.timers.next_push = now + PUSH_INTERVAL;
        self.push_rumors();
    }

    fn purge_expired(&mut self, now: Timestamp) {
        if now < self.timers.next_purge {
            return;
        }
        self.timers.next_purge = now + PURGE_INTERVAL;
        self.lost_addresses.expire(now);
        let retention = self.settings.dead_retention;
        let expired: Vec<NodeKey> = self
            .peers
            .iter()
            .filter(|(_, entry)| !entry.is_live() && now.since(entry.since) >= retention)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.facts.remove(&key);
            if let Some(entry) = self.peers.remove(&key)
                && entry.may_rejoin()
            {
                self.lost_addresses.insert(entry.record.peers, now);
            }
        }
    }
}
