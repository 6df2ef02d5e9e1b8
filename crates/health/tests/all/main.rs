//! Tests of the health tracker.

mod events;
mod rules;
mod runs;
mod support;
