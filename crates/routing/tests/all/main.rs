//! Integration tests of the router.

mod herding;
mod presence;
mod services;
mod support;
