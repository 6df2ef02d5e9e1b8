//! Tests of the daemon's parts that need no process.

mod assembler;
