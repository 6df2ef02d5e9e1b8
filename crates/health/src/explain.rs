//! Human-readable explanation of the evidence about a VM.

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::evaluation::tally;
use crate::record::VmRecord;
use crate::tracker::HealthTracker;

impl HealthTracker {
    /// Explains the state of a VM in plain sentences: each source of evidence with its age, and
    /// the resulting state.
    ///
    /// Ages are relative to the time of the last processed event.
    pub fn explain(&self, vm: &VmId) -> Vec<CompactString> {
        let now = self.last_step.unwrap_or_default();
        let record = match self.records.get(vm) {
            Some(record) if record.target.is_some() => record,
            _ => return vec![format_compact!("VM {vm} is not in the inventory.")],
        };
        let mut lines = vec![format_compact!(
            "VM {vm} has been {:?} for {}: {}.",
            record.damped.state,
            now.since(record.damped.since),
            if record.reason.is_empty() {
                "no evidence available yet"
            } else {
                record.reason
            }
        )];
        self.explain_probes(record, now, &mut lines);
        self.explain_peers(record, now, &mut lines);
        self.explain_other_sources(record, now, &mut lines);
        self.explain_state(record, now, &mut lines);
        lines
    }

    fn explain_probes(&self, record: &VmRecord, now: Timestamp, lines: &mut Vec<CompactString>) {
        let Some(probe) = &record.probe else {
            lines.push("This node does not probe it; other nodes watch it.".into());
            return;
        };
        match (probe.answered_at, probe.latency) {
            (Some(at), Some(latency)) => lines.push(format_compact!(
                "Own probe: last response {} ago, latency {latency}.",
                now.since(at)
            )),
            _ => lines.push("Own probe: no response yet.".into()),
        }
        if let Some((failure, at)) = probe.failure {
            lines.push(format_compact!(
                "Own probe: last failure ({failure:?}) {} ago; {} consecutive failures.",
                now.since(at),
                probe.misses
            ));
        }
        if let Some(finding) = probe.finding {
            lines.push(format_compact!(
                "Own finding: {} for {}.",
                finding_text(finding),
                now.since(probe.finding_since)
            ));
        }
    }

    fn explain_peers(&self, record: &VmRecord, now: Timestamp, lines: &mut Vec<CompactString>) {
        for &index in &record.watchers {
            let node = &self.nodes[usize::from(index)].node;
            if *node == self.own {
                continue;
            }
            let name = node_text(node);
            let Some(stored) = record.findings.iter().find(|stored| stored.node == *node) else {
                lines.push(format_compact!("Watcher {name}: no finding received."));
                continue;
            };
            let suffix = if stored.isolated {
                "; ignored because the watcher is isolated"
            } else {
                ""
            };
            lines.push(format_compact!(
                "Watcher {name}: {}, received {} ago{suffix}.",
                finding_text(stored.finding),
                now.since(stored.received_at)
            ));
        }
    }

    fn explain_other_sources(
        &self,
        record: &VmRecord,
        now: Timestamp,
        lines: &mut Vec<CompactString>,
    ) {
        lines.push(match (self.listed_at, record.listed) {
            (None, _) => "Platform list: not received yet.".into(),
            (Some(at), state) => format_compact!(
                "Platform list: {}, received {} ago.",
                match state {
                    Some(ListedState::Live) => "live",
                    Some(ListedState::Leaving) => "leaving",
                    None => "absent, which alone is no evidence",
                },
                now.since(at)
            ),
        });
        if let Some((report, at)) = &record.report {
            let leaving = if report.leaving {
                ", reports that it is leaving"
            } else {
                ""
            };
            lines.push(format_compact!(
                "Engine report: {:?} of generation {}{leaving}, received {} ago.",
                report.role,
                report.generation,
                now.since(*at)
            ));
        }
        if record.requests.count > 0 {
            lines.push(format_compact!(
                "Requests of this node: {} consecutive failures, the last {} ago.",
                record.requests.count,
                now.since(record.requests.last)
            ));
        }
        if record.drained {
            lines.push("It is drained by operators.".into());
        }
    }

    fn explain_state(&self, record: &VmRecord, now: Timestamp, lines: &mut Vec<CompactString>) {
        if self.is_isolated() {
            lines.push("This node is isolated; its own findings are ignored.".into());
        }
        if tally(record, &self.context(now)).disagrees() {
            lines.push("Its watchers disagree.".into());
        }
        if let Some(until) = record.damped.damped_until(&self.settings) {
            lines.push(format_compact!(
                "It has recovered {} times; it is used again in {} if it stays healthy.",
                record.damped.flaps,
                until.since(now)
            ));
        }
        let state = record.damped.state;
        lines.push(match (state.may_serve(), state.may_be_placed()) {
            (true, true) => "Its group may serve, and it may be assigned to a group.".into(),
            (true, false) if state == VmState::Unknown => {
                "Its group may serve; it is not assigned to a group until there is evidence.".into()
            }
            (true, false) => "Its group may serve; it is not assigned to a new group.".into(),
            _ => "Its group accepts no new requests, and it is not assigned to a group.".into(),
        });
    }
}

fn node_text(node: &NodeKey) -> CompactString {
    format_compact!("{}/{}", node.id, node.incarnation)
}

fn finding_text(finding: ProbeFinding) -> &'static str {
    match finding {
        ProbeFinding::Answers => "responds in time",
        ProbeFinding::Slow => "responds slowly",
        ProbeFinding::Missed => "fails probes",
        ProbeFinding::Gone => "gone",
        ProbeFinding::Leaving => "reports that it is leaving",
    }
}
