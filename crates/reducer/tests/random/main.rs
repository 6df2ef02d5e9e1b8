//! Randomized runs of several reducers with fakes of the store, the engines and the network.
//!
//! Each run has a seed and a schedule of faults: loss, delay and reordering of messages, pauses and
//! crashes of nodes and VMs, partitions, store outages, and responses that are lost after the write
//! took effect. The fakes check the invariants during the run. A failing run prints its seed;
//! reproduce it with `JAYSADDLE_SEED=<seed> JAYSADDLE_RUNS=1`.

mod caller;
mod engine;
mod faults;
mod runs;
mod simulation;
mod simulation_callers;
mod simulation_checks;
mod simulation_engines;
mod simulation_faults;
mod simulation_setup;
mod simulation_store;
mod store;
