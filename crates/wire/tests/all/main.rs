//! Tests of the framing.

mod codec;
