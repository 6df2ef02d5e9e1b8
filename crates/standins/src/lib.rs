//! Stand-ins for the platform, engines, services and the weight store.
