//! A model engine in memory.

mod batch;
mod config;
mod fake_engine;
mod fault;
mod generation;
mod lagging_reports;
mod report;
mod state;
mod stream;

pub use config::FakeEngineConfig;
pub use fake_engine::FakeEngine;
pub use fault::EngineFault;
pub use report::EngineReport;
