//! Tests of the health tracker.

mod events;
mod evidence;
mod rules;
mod runs;
mod support;
