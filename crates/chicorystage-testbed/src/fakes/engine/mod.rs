//! An in-memory fake of a model engine.
//!
//! The fake executes orders (commands to load or unload a model or an adapter, or
//! to raise the fencing token) and generates completions in a batch with a limited
//! number of slots. It keeps streams for resumption, reports its load with a lag,
//! and injects the faults of [`EngineFault`].

mod batch;
mod config;
mod delayed_reports;
mod fake_engine;
mod fault;
mod generation;
mod report;
mod state;
mod stream;

pub use config::FakeEngineConfig;
pub use fake_engine::FakeEngine;
pub use fault::EngineFault;
pub use report::EngineReport;
