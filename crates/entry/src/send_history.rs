//! What has been sent of a request: targets, runs and the last choice. Attempts that are under way at the same time share it.

use std::cell::Cell;
use std::cell::RefCell;

use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::ChoiceInputs;
use jaysaddle_gateway::choice::TargetChoice;
use jaysaddle_gateway::target::TargetNumber;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::units::TimeSpan;

use crate::node::EntryNode;

/// Logged fields of the last target selection and its inputs.
#[derive(Clone, Debug)]
pub struct ChoiceFields {
    pub backend: VmId,
    pub group: Option<GroupKey>,
    pub is_late: bool,
    pub inputs: ChoiceInputs,
    pub table_age: TimeSpan,
}

/// Sends of one request.
///
/// # Invariants
///
/// - A send that may run the request counts in `runs` from its start, so that attempts at the same time keep the route's limit
///   together.
#[derive(Debug, Default)]
pub struct SendHistory {
    /// Selected targets, in order, with repetitions.
    choices: RefCell<Vec<(TargetNumber, ChoiceFields)>>,
    /// Target whose response is forwarded; `None` before the first response.
    forwarded: Cell<Option<TargetNumber>>,
    runs: Cell<u32>,
}

impl SendHistory {
    /// Targets to which the request was sent, in order, with repetitions.
    pub fn tried(&self) -> Vec<TargetNumber> {
        let choices = self.choices.borrow();
        choices.iter().map(|(number, _)| *number).collect()
    }

    /// Number of sends, refused ones included.
    pub fn sends(&self) -> usize {
        self.choices.borrow().len()
    }

    /// Number of sends that may have run the request, or may still run it.
    pub fn runs(&self) -> u32 {
        self.runs.get()
    }

    /// Selection of the target whose response is forwarded, or the last one; `None` before the first one.
    pub fn logged_choice(&self) -> Option<ChoiceFields> {
        let choices = self.choices.borrow();
        let forwarded = self.forwarded.get();
        let mut matching = choices.iter().rev();
        let choice = matching.find(|(number, _)| Some(*number) == forwarded);
        let choice = choice.or(choices.last());
        choice.map(|(_, fields)| fields.clone())
    }

    /// Records the selection of a target.
    pub fn record_choice(&self, node: &EntryNode, choice: &TargetChoice) {
        let fields = ChoiceFields {
            backend: choice.target.backend.clone(),
            group: choice.target.group.clone(),
            is_late: choice.is_late,
            inputs: choice.inputs,
            table_age: node.table_age(clock::now()),
        };
        let mut choices = self.choices.borrow_mut();
        choices.push((choice.target.number, fields));
    }

    /// Records the target whose response is forwarded.
    pub fn record_forwarded(&self, number: TargetNumber) {
        self.forwarded.set(Some(number));
    }

    /// Counts a send that may run the request.
    pub fn begin_run(&self) {
        self.runs.set(self.runs.get() + 1);
    }

    /// Takes back a send whose target has not run the request.
    pub fn cancel_run(&self) {
        self.runs.set(self.runs.get() - 1);
    }
}
