//! Randomised runs of several reducers over small fakes of the store, the engines and the network.
//!
//! Each run has a seed and a schedule of faults: loss, delay and reordering of messages, pauses and
//! kills of nodes and VMs, partitions, store outages and answers that are lost after the write took
//! effect. The fakes assert the invariants as they act. A failing run prints its seed; run it again
//! with `JAYSADDLE_SEED=<seed> JAYSADDLE_RUNS=1`.

mod caller;
mod engine;
mod faults;
mod runs;
mod store;
mod world;
mod world_callers;
mod world_checks;
mod world_engines;
mod world_faults;
mod world_setup;
mod world_store;
