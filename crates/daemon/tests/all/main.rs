//! Tests of daemon modules that do not need a running daemon.

mod assembler;
mod connections;
