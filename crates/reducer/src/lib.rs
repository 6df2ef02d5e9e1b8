//! The reducer that composes control and traffic.
