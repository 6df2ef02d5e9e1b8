//! Tests of the admission controller.

mod budget;
mod floors;
mod sequences;
mod shares;
mod shedding;
mod support;
