//! Tests of routing.

mod herding;
mod presence;
mod services;
mod support;
