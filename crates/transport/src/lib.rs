//! Peer links between daemons.
