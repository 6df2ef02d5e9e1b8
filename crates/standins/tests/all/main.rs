//! Tests of the stand-ins over HTTP, as the daemon uses them.

mod closing;
