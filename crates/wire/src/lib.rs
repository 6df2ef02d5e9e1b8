//! Messages between daemons and their framing.
//!
//! The messages are `prost` derives, so the build needs no generator. Field numbers are never
//! reused; a receiver skips fields that it does not know.

pub mod codec;
pub mod heartbeat;
pub mod key;
pub mod messages;

pub use codec::FrameCodec;
pub use codec::FrameError;
pub use key::ClusterKey;
