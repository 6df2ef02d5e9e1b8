//! Checks after each store write and at the end of a run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_types::ids::RequestId;

use crate::caller::CallEnd;
use crate::simulation::RunSummary;
use crate::simulation::Simulation;

impl Simulation {
    /// Checks that the stored placements assign no VM to two groups.
    pub(crate) fn check_store(&self) {
        let mut seen = BTreeMap::new();
        for document in self.store.placements() {
            for record in document.groups {
                for vm in record.members {
                    let other = seen.insert(vm.clone(), record.id.clone());
                    assert!(
                        other.is_none(),
                        "at {} {vm} is stored in {other:?} and {}; {:?}",
                        self.now,
                        record.id,
                        self.plan
                    );
                }
            }
        }
    }

    pub(crate) fn starts_of(&self, request: &RequestId) -> u32 {
        self.engines
            .iter()
            .filter_map(|engine| engine.starts.get(request.as_str()))
            .sum()
    }

    pub(crate) fn check_end(&self) -> RunSummary {
        let mut summary = RunSummary::default();
        for call in self.calls.values() {
            for request in &call.refused_as_not_run {
                assert_eq!(
                    self.starts_of(request),
                    0,
                    "{request} was refused as not run but has run; {:?}",
                    self.plan
                );
            }
            let starts: u32 = self
                .requests
                .iter()
                .filter(|(_, number)| **number == call.number)
                .map(|(request, _)| self.starts_of(request))
                .sum();
            if !call.idempotent && starts > 1 {
                summary.duplicate_runs += 1;
            }
            match call.end {
                Some(CallEnd::Answered) => summary.answered += 1,
                Some(CallEnd::MayHaveRun) => summary.may_have_run += 1,
                Some(CallEnd::NotRun) => summary.not_run += 1,
                Some(CallEnd::NoResponse) | None => summary.no_response += 1,
            }
        }
        assert_eq!(
            summary.duplicate_runs, 0,
            "non-idempotent calls ran more than once; {:?}",
            self.plan
        );
        self.check_recovered();
        summary
    }

    /// Checks that, after all faults have ended, every node has the latest rules and at least two
    /// groups are complete.
    pub(crate) fn check_recovered(&self) {
        let expected = self.store.config_version("rules");
        for (node, state) in self.nodes.iter().enumerate() {
            if state.reducer.is_some() {
                assert_eq!(
                    state.rules_version, expected,
                    "n{node} does not have the stored version of the rules; {:?}",
                    self.plan
                );
            }
        }
        let documents = self.store.placements();
        let groups: Vec<_> = documents
            .iter()
            .flat_map(|document| &document.groups)
            .collect();
        let mut complete = BTreeSet::new();
        for record in groups {
            let is_complete = record.members.iter().all(|member| {
                self.engines.iter().any(|engine| {
                    engine.vm == *member
                        && engine.is_responsive(self.now)
                        && engine.assignment.as_ref().is_some_and(|assignment| {
                            assignment.group == record.id
                                && assignment.generation == record.generation
                        })
                })
            });
            if is_complete {
                complete.insert(record.id.clone());
            }
        }
        assert!(
            complete.len() >= 2,
            "{} groups are complete at the end; {documents:?}; {:?}",
            complete.len(),
            self.plan
        );
    }
}
