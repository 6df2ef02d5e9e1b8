//! Stand-ins for the platform, engines, services and the weight store, with fault injection.
//!
//! They are used by tests and benchmarks and run as ordinary processes on the loopback interface.

pub mod engine;
pub mod http;
pub mod platform;
pub mod service;
pub mod text;
pub mod weights;

pub use engine::EngineSettings;
pub use engine::EngineSpeed;
pub use engine::EngineStandin;
pub use platform::PlatformSettings;
pub use platform::PlatformStandin;
pub use service::ServiceSettings;
pub use service::ServiceStandin;
pub use text::expected_text;
pub use weights::WeightSettings;
pub use weights::WeightStandin;
