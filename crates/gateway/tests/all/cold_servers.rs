//! Simulation of many nodes that send requests to a cold backend server.
//!
//! Load: more requests than the backend server bears while it is cold, at all nodes at the same time, as after the return
//! of a whole failure domain.

use std::ops::Range;

use jaysaddle_gateway::cold_servers::ColdAdmission;
use jaysaddle_gateway::cold_servers::ColdServers;
use jaysaddle_gateway::cold_servers::ColdSettings;
use jaysaddle_gateway::cold_servers::OwnerPlan;
use jaysaddle_gateway::node_ranks::NodeRanks;
use jaysaddle_gateway::random::XorshiftRng;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use quickcheck::quickcheck;

/// Requests that a cold backend server may get in one second.
const BOUND: f64 = 26.0;
/// Part of the bound that is to be used while there is work for it.
const MIN_USED_PART: f64 = 0.6;
/// Interval at which the nodes update what they know of each other.
const HEARTBEAT_MS: u64 = 200;
/// Requests that each node could send in a second.
const WORK_PER_SECOND: u64 = 20;
/// Age up to which nodes learn at different times that the backend server is cold. Until then it gets nothing, because it
/// has just opened its group.
const MAX_NOTICE_MS: u64 = 1500;
const SERVER: ServerNumber = ServerNumber(7);

struct ColdNode {
    id: NodeId,
    cold: ColdServers,
    ranks: NodeRanks,
    /// When it learns that the backend server exists and is cold; `None` once it has.
    notice: Option<u64>,
    /// Offset of its clock.
    offset: u64,
    is_down: bool,
}

/// What happens besides the steady load. All times are in milliseconds.
#[derive(Clone, Debug, Default)]
struct ColdScenario {
    nodes: usize,
    /// Time at which every second node restarts without any knowledge.
    restart: Option<u64>,
    /// Time at which the first third of the nodes is lost for good.
    loss: Option<u64>,
    /// Time at which the two halves of the nodes do not hear each other.
    cut: Range<u64>,
    /// Time in the middle at which the backend server is warm.
    warm: Range<u64>,
}

const WARM_UP_MS: u64 = 4000;
const END_MS: u64 = 14_000;

fn new_node(number: usize) -> ColdNode {
    let id = NodeId::new(format!("node-{number}"));
    ColdNode {
        ranks: NodeRanks::new(id.clone()),
        id,
        cold: ColdServers::default(),
        notice: None,
        offset: (number as u64 % 5) * 3_600_000,
        is_down: false,
    }
}

impl ColdScenario {
    fn is_cut(&self, one: usize, other: usize, now: u64) -> bool {
        let half = self.nodes / 2;
        self.cut.contains(&now) && (one < half) != (other < half)
    }

    /// Runs the scenario and returns the times of all requests to the backend server.
    fn run(&self, seed: u64) -> Vec<u64> {
        let mut random = XorshiftRng::new(seed);
        let mut nodes: Vec<ColdNode> = (0..self.nodes).map(new_node).collect();
        for node in &mut nodes {
            node.notice = Some(WARM_UP_MS + random.below(MAX_NOTICE_MS as usize) as u64);
        }
        // A node that has restarted knows the others again after a heartbeat of each.
        let mut knows_from = vec![0; self.nodes];
        let mut sends = Vec::new();
        for now in 0..END_MS {
            if self.restart == Some(now) {
                for number in (0..self.nodes).step_by(2) {
                    nodes[number] = new_node(number);
                    nodes[number].notice = Some(now + random.below(500) as u64);
                    knows_from[number] = now + HEARTBEAT_MS * 3;
                }
            }
            if self.loss == Some(now) {
                for node in nodes.iter_mut().take(self.nodes / 3) {
                    node.is_down = true;
                }
            }
            if self.warm.end == now && now > 0 {
                for node in &mut nodes {
                    node.notice = Some(now);
                }
            }
            let ids: Vec<NodeId> = nodes.iter().map(|node| node.id.clone()).collect();
            let down: Vec<bool> = nodes.iter().map(|node| node.is_down).collect();
            for (number, node) in nodes.iter_mut().enumerate() {
                if node.is_down {
                    continue;
                }
                let clock = Timestamp(now + node.offset);
                if node.notice.take_if(|notice| now >= *notice).is_some() {
                    let left = if self.warm.start > now {
                        self.warm.start - now
                    } else {
                        END_MS - now
                    };
                    let until = clock + TimeSpan(left);
                    node.cold.record(SERVER, until, BOUND, None);
                }
                if (now + number as u64 * 7).is_multiple_of(HEARTBEAT_MS) {
                    let knows_others = now >= knows_from[number];
                    let others = (0..self.nodes).filter(|other| *other != number && knows_others);
                    let live = others
                        .clone()
                        .filter(|other| !down[*other] && !self.is_cut(number, *other, now))
                        .count();
                    node.ranks.set_members(others.map(|other| &ids[other]));
                    node.cold.update(&mut node.ranks, live + 1, clock);
                }
                let has_work = random.below(1000) < WORK_PER_SECOND as usize;
                let is_known = node.notice.is_none() && now >= WARM_UP_MS;
                let is_cold = !self.warm.contains(&now);
                if has_work && is_known && is_cold {
                    let admission = node.cold.admission(SERVER, clock);
                    if admission == ColdAdmission::Admitted {
                        node.cold.record_send(SERVER, clock);
                        sends.push(now);
                    }
                }
            }
        }
        sends
    }
}

/// Most requests in any span of one second.
fn most_in_a_second(sends: &[u64]) -> usize {
    let counts = sends.iter().enumerate().map(|(first, start)| {
        let later = sends[first..].iter();
        later.take_while(|time| **time <= start + 1000).count()
    });
    counts.max().unwrap_or(0)
}

fn sizes() -> [usize; 4] {
    [7, 31, 68, 320]
}

/// Guards against a sum of all nodes above what a cold backend server bears, and against one that is served far less than
/// it bears although there is work for it.
#[test]
fn sum_over_all_nodes_stays_within_the_bound_and_uses_most_of_it() {
    for nodes in sizes() {
        let scenario = ColdScenario {
            nodes,
            ..ColdScenario::default()
        };
        let sends = scenario.run(1);
        let most = most_in_a_second(&sends);
        assert!(most as f64 <= BOUND, "{nodes} nodes: {most}");
        let steady = sends.iter().filter(|time| **time >= 8000).count();
        let used = steady as f64 / ((END_MS - 8000) as f64 / 1000.0) / BOUND;
        assert!(used >= MIN_USED_PART, "{nodes} nodes use {used:.2}");
    }
}

/// Guards against nodes that have just restarted, know no others and take the whole bound for themselves.
#[test]
fn restarted_nodes_keep_to_the_bound() {
    for nodes in sizes() {
        let scenario = ColdScenario {
            nodes,
            restart: Some(9000),
            ..ColdScenario::default()
        };
        let most = most_in_a_second(&scenario.run(2));
        assert!(most as f64 <= BOUND, "{nodes} nodes: {most}");
    }
}

/// Guards against halves of the nodes that do not hear each other and each use the whole bound.
#[test]
fn halves_that_do_not_hear_each_other_keep_to_the_bound_together() {
    for nodes in sizes() {
        let scenario = ColdScenario {
            nodes,
            cut: 7000..12_000,
            ..ColdScenario::default()
        };
        let most = most_in_a_second(&scenario.run(3));
        assert!(most as f64 <= BOUND, "{nodes} nodes: {most}");
    }
}

/// Guards against the loss of a third of the nodes, whose shares others must not take at once, and against a backend
/// server that turns cold again.
#[test]
fn lost_nodes_and_a_second_cold_time_keep_to_the_bound() {
    for nodes in sizes() {
        let scenario = ColdScenario {
            nodes,
            loss: Some(7000),
            warm: 8000..10_000,
            ..ColdScenario::default()
        };
        let sends = scenario.run(4);
        let most = most_in_a_second(&sends);
        assert!(most as f64 <= BOUND, "{nodes} nodes: {most}");
        assert!(sends.iter().any(|time| *time > 10_500));
    }
}

quickcheck! {
    /// Guards against plans whose sum exceeds the bound, or that count more owners than there are nodes.
    fn plans_stay_within_the_bound(requests: u16, nodes: u16) -> bool {
        let bound = f64::from(requests);
        let plan = OwnerPlan::new(bound, usize::from(nodes), &ColdSettings::default());
        f64::from(plan.total()) <= bound && plan.owners <= usize::from(nodes)
    }
}
