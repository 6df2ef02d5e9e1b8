//! Tests of the fleet state.
