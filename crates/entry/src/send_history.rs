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
/// - A send that may run the request counts in `runs` from the moment at which it begins, so that attempts at the same time
///   keep the route's limit together.
#[derive(Debug, Default)]
pub struct SendHistory {
    /// Targets to which the request was sent, in order, with repetitions.
    tried: RefCell<Vec<TargetNumber>>,
    runs: Cell<u32>,
    choice: RefCell<Option<ChoiceFields>>,
}

impl SendHistory {
    /// Targets to which the request was sent, in order, with repetitions.
    pub fn tried(&self) -> Vec<TargetNumber> {
        self.tried.borrow().clone()
    }

    /// Number of sends, refused ones included.
    pub fn sends(&self) -> usize {
        self.tried.borrow().len()
    }

    /// Number of sends that may have run the request, or may still run it.
    pub fn runs(&self) -> u32 {
        self.runs.get()
    }

    /// Last target selection; `None` before the first one.
    pub fn last_choice(&self) -> Option<ChoiceFields> {
        self.choice.borrow().clone()
    }

    /// Records the selection of a target.
    pub fn record_choice(&self, node: &EntryNode, choice: &TargetChoice) {
        self.tried.borrow_mut().push(choice.target.number);
        *self.choice.borrow_mut() = Some(ChoiceFields {
            backend: choice.target.backend.clone(),
            group: choice.target.group.clone(),
            is_late: choice.is_late,
            inputs: choice.inputs,
            table_age: node.table_age(clock::now()),
        });
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
