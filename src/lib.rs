//! Serving system for language models whose replicas span several VMs.
