//! Tests of the health tracker.

mod rules;
mod runs;
mod support;
