//! Random runs of several controllers. The store must stay consistent, and the engines must agree
//! with it in the end.

use jaysaddle_types::inventory::FencingSupport;
use jaysaddle_types::placement::GroupIntent;

use crate::cluster::ClusterRun;
use crate::random::check_runs;

/// Number of steps with faults; 40 s of simulated time.
const FAULT_STEPS: u32 = 160;

/// Number of steps without faults in which the system must converge; 40 s of simulated time.
const RECOVERY_STEPS: u32 = 160;

/// Guards, at every step, against a VM in two groups in the store, a generation that is used
/// twice, a write of an earlier holder after orders of a later one, a second write without
/// reading back one with an unknown outcome, and an order that does not match the store. Guards,
/// after the faults, against engines that do not follow the store and against unmet demand
/// although all VMs are live.
fn cluster_run(seed: u64, fencing: Option<FencingSupport>) -> Result<(), String> {
    let mut run = ClusterRun::new(seed, fencing);
    for step in 0..FAULT_STEPS + RECOVERY_STEPS {
        if step == FAULT_STEPS {
            run.end_faults();
        }
        run.step();
        if let Some(error) = run.errors.first() {
            return Err(format!("step {step}: {error}"));
        }
    }
    check_agreement(&run)
}

fn check_agreement(run: &ClusterRun) -> Result<(), String> {
    let records = run.records();
    for engine in run.engines.values() {
        let record = records
            .iter()
            .find(|group| group.members.contains(&engine.vm));
        let stored = record.map(|group| (&group.id, group.generation, &group.members));
        let reported = engine
            .group
            .as_ref()
            .map(|group| (group, engine.generation, &engine.members));
        if stored != reported {
            return Err(format!(
                "engine {} follows {reported:?}, the store has {stored:?}",
                engine.vm
            ));
        }
    }
    let serving = |model: &str| {
        records
            .iter()
            .filter(|group| group.model.as_str() == model && group.intent == GroupIntent::Serve)
            .count()
    };
    if (serving("chat"), serving("draft")) != (3, 2) || records.len() != 5 {
        return Err(format!("demand is not met after the faults: {records:?}"));
    }
    Ok(())
}

#[test]
fn engines_that_enforce_fencing_agree_with_the_store() {
    check_runs(
        "engines_that_enforce_fencing_agree_with_the_store",
        300,
        |seed| cluster_run(seed, Some(FencingSupport::Enforced)),
    );
}

#[test]
fn engines_that_ignore_fencing_agree_with_the_store() {
    check_runs(
        "engines_that_ignore_fencing_agree_with_the_store",
        300,
        |seed| cluster_run(seed, Some(FencingSupport::Ignored)),
    );
}

#[test]
fn mixed_engines_agree_with_the_store() {
    check_runs("mixed_engines_agree_with_the_store", 300, |seed| {
        cluster_run(seed, None)
    });
}
