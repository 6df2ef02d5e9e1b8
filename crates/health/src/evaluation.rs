//! Combines the evidence from all sources into a verdict about a VM.

use std::fmt;

use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::units::Timestamp;

use crate::damping::Verdict;
use crate::event::WatcherNode;
use crate::record::VmRecord;

/// State of this node that an evaluation depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvaluationContext<'a> {
    /// All nodes, sorted by key; watcher indexes refer to this list.
    pub(crate) nodes: &'a [WatcherNode],
    /// Index of this node, absent if it is not in the list.
    pub(crate) own_index: Option<u16>,
    /// Whether this node is isolated, in which case its own findings are ignored.
    pub(crate) isolated: bool,
    /// Time of the evaluation.
    pub(crate) now: Timestamp,
}

/// Number of assigned watchers by finding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FindingTally {
    /// Assigned watchers that are not isolated, including those that have not reported yet.
    pub(crate) voters: u32,
    /// Assigned watchers that are isolated.
    pub(crate) isolated: u32,
    /// Voters whose probes are answered in time.
    pub(crate) answers: u32,
    /// Voters whose probes are answered slowly.
    pub(crate) slow: u32,
    /// Voters whose recent probes were not answered.
    pub(crate) missed: u32,
    /// Voters that consider the VM dead.
    pub(crate) gone: u32,
    /// Voters to which the VM reported that it is leaving.
    pub(crate) leaving: u32,
}

impl FindingTally {
    /// Returns whether some voters reach the VM and others do not.
    pub(crate) fn disagrees(&self) -> bool {
        self.missed + self.gone > 0 && self.answers + self.slow > 0
    }

    fn add(&mut self, finding: Option<ProbeFinding>, isolated: bool) {
        if isolated {
            self.isolated += 1;
            return;
        }
        self.voters += 1;
        match finding {
            None => {}
            Some(ProbeFinding::Answers) => self.answers += 1,
            Some(ProbeFinding::Slow) => self.slow += 1,
            Some(ProbeFinding::Missed) => self.missed += 1,
            Some(ProbeFinding::Gone) => self.gone += 1,
            Some(ProbeFinding::Leaving) => self.leaving += 1,
        }
    }
}

impl fmt::Display for FindingTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "voters={} answers={} slow={} missed={} gone={} leaving={} cut_off={}",
            self.voters,
            self.answers,
            self.slow,
            self.missed,
            self.gone,
            self.leaving,
            self.isolated
        )
    }
}

/// Counts the findings of a VM's assigned watchers.
pub(crate) fn tally(record: &VmRecord, context: &EvaluationContext<'_>) -> FindingTally {
    let mut tally = FindingTally::default();
    for &index in &record.watchers {
        if Some(index) == context.own_index {
            let finding = record.probe.as_ref().and_then(|probe| probe.finding);
            tally.add(finding, context.isolated);
            continue;
        }
        let node = &context.nodes[usize::from(index)].node;
        let stored = record.findings.iter().find(|stored| stored.node == *node);
        let finding = stored.map(|stored| stored.finding);
        tally.add(finding, stored.is_some_and(|stored| stored.isolated));
    }
    tally
}

/// Returns the verdict on a VM and the reason for it.
///
/// A VM is dead only if a majority of its watchers that are not isolated consider it dead. Failed
/// probes of a minority do not stop it: after a partition between regions, every VM with a watcher
/// on the other side would otherwise stop serving. Failed probes of this node make the VM suspect
/// on this node only, because requests from here would fail too.
pub(crate) fn evaluate(
    record: &VmRecord,
    context: &EvaluationContext<'_>,
) -> (Verdict, &'static str) {
    let tally = tally(record, context);
    if tally.gone * 2 > tally.voters {
        return (
            Verdict::Dead,
            "a majority of its watchers considers it dead",
        );
    }
    if let Some(leaving) = leaving_verdict(record, &tally, context.now) {
        return leaving;
    }
    let missing = tally.missed + tally.gone;
    let answering = tally.answers + tally.slow;
    if missing > 0 && (missing * 2 >= tally.voters || answering == 0) {
        return (
            Verdict::Suspect,
            "probes of at least half of the reporting watchers fail",
        );
    }
    if !context.isolated && own_probes_fail(record) {
        return (
            Verdict::Suspect,
            "probes of this node fail; other watchers may reach it",
        );
    }
    if record.requests.indicate_suspect(context.now) {
        return (Verdict::Suspect, "consecutive requests of this node failed");
    }
    if tally.slow * 2 > tally.voters {
        return (
            Verdict::Slow,
            "a majority of its watchers measures slow responses",
        );
    }
    if answering > 0 {
        return (Verdict::Live, "its watchers receive responses");
    }
    if record.requests.have_expired(context.now) {
        return (Verdict::Live, "no recent request has failed");
    }
    (Verdict::NoEvidence, "no connected watcher has a finding")
}

fn leaving_verdict(
    record: &VmRecord,
    tally: &FindingTally,
    now: Timestamp,
) -> Option<(Verdict, &'static str)> {
    let damped = Verdict::Leaving { damped: true };
    if tally.leaving > 0 || record.reported_leaving(now) {
        return Some((damped, "its engine reports that it is leaving"));
    }
    if record.listed == Some(ListedState::Leaving) {
        return Some((damped, "the platform lists it as leaving"));
    }
    let undamped = Verdict::Leaving { damped: false };
    record
        .drained
        .then_some((undamped, "it is drained by operators"))
}

fn own_probes_fail(record: &VmRecord) -> bool {
    let finding = record.probe.as_ref().and_then(|probe| probe.finding);
    matches!(finding, Some(ProbeFinding::Missed | ProbeFinding::Gone))
}
