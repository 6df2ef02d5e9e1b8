//! Messages between daemons and their framing.
//!
//! The messages use `prost` derives, so the build needs no code generator. Field numbers are never
//! reused; a receiver skips unknown fields.

pub mod codec;
pub mod heartbeat;
pub mod key;
pub mod messages;

pub use codec::FrameCodec;
pub use codec::FrameError;
pub use key::ClusterKey;
