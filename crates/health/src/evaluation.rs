//! What contradicting sources show of a VM at one moment.

use std::fmt;

use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::units::Timestamp;

use crate::damping::Verdict;
use crate::event::WatcherNode;
use crate::record::VmRecord;

/// This node's place among the watchers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvaluationContext<'a> {
    /// All nodes, by key.
    pub(crate) nodes: &'a [WatcherNode],
    /// Index of this node.
    pub(crate) own: Option<u16>,
    /// Whether this node is cut off.
    pub(crate) cut_off: bool,
    /// The time.
    pub(crate) now: Timestamp,
}

/// Findings of the assigned watchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FindingTally {
    /// Assigned watchers that are not cut off, also those that have reported nothing.
    pub(crate) voters: u32,
    /// Assigned watchers that are cut off.
    pub(crate) cut_off: u32,
    /// Voters that get answers in time.
    pub(crate) answers: u32,
    /// Voters that get slow answers.
    pub(crate) slow: u32,
    /// Voters that miss it.
    pub(crate) missed: u32,
    /// Voters that take it for dead.
    pub(crate) gone: u32,
    /// Voters to which it said that it leaves.
    pub(crate) leaving: u32,
}

impl FindingTally {
    /// Whether voters contradict one another.
    pub(crate) fn disagrees(&self) -> bool {
        self.missed + self.gone > 0 && self.answers + self.slow > 0
    }

    fn add(&mut self, finding: Option<ProbeFinding>, cut_off: bool) {
        if cut_off {
            self.cut_off += 1;
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
            self.cut_off
        )
    }
}

/// Counts the findings of a VM's watchers.
pub(crate) fn tally(record: &VmRecord, context: &EvaluationContext<'_>) -> FindingTally {
    let mut tally = FindingTally::default();
    for &index in &record.watchers {
        if Some(index) == context.own {
            let finding = record.probe.as_ref().and_then(|probe| probe.finding);
            tally.add(finding, context.cut_off);
            continue;
        }
        let node = &context.nodes[usize::from(index)].node;
        let stored = record.findings.iter().find(|stored| stored.node == *node);
        let finding = stored.map(|stored| stored.finding);
        tally.add(finding, stored.is_some_and(|stored| stored.cut_off));
    }
    tally
}

/// The verdict and its reason.
///
/// Death takes a majority of the watchers that are not cut off. A minority that misses the VM does
/// not stop it: when regions lose each other, every VM with a watcher on the other side would
/// otherwise stop serving. This node's own misses make the VM suspect here, where requests would
/// fail too.
pub(crate) fn evaluate(
    record: &VmRecord,
    context: &EvaluationContext<'_>,
) -> (Verdict, &'static str) {
    let tally = tally(record, context);
    if tally.gone * 2 > tally.voters {
        return (
            Verdict::Dead,
            "a majority of its watchers gets no answer for long",
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
            "at least half of the reporting watchers miss it",
        );
    }
    if !context.cut_off && own_probes_fail(record) {
        return (
            Verdict::Suspect,
            "this node gets no answer, others may get one",
        );
    }
    if record.requests.indicate_suspect(context.now) {
        return (Verdict::Suspect, "requests of this node failed in a row");
    }
    if tally.slow * 2 > tally.voters {
        return (
            Verdict::Slow,
            "a majority of its watchers gets slow answers",
        );
    }
    if answering > 0 {
        return (Verdict::Live, "its watchers get answers");
    }
    if record.requests.have_expired(context.now) {
        return (Verdict::Live, "no request has failed lately");
    }
    (Verdict::NoEvidence, "no watcher that counts has a finding")
}

fn leaving_verdict(
    record: &VmRecord,
    tally: &FindingTally,
    now: Timestamp,
) -> Option<(Verdict, &'static str)> {
    let damped = Verdict::Leaving { damped: true };
    if tally.leaving > 0 || record.reported_leaving(now) {
        return Some((damped, "its engine says that it leaves"));
    }
    if record.listed == Some(ListedState::Leaving) {
        return Some((damped, "the platform lists it as leaving"));
    }
    let undamped = Verdict::Leaving { damped: false };
    record.drained.then_some((undamped, "operators drain it"))
}

fn own_probes_fail(record: &VmRecord) -> bool {
    let finding = record.probe.as_ref().and_then(|probe| probe.finding);
    matches!(finding, Some(ProbeFinding::Missed | ProbeFinding::Gone))
}
