//! Tests of admission.

mod budget;
mod floors;
mod sequences;
mod shares;
mod shedding;
mod support;
