//! Which endpoint holds which models, and the orders that bring it about.
//!
//! One router at a time plans for all engines. A [`DemandBook`] gathers what
//! callers ask for at every router. An [`OrderBook`] holds one
//! [`EngineRecord`] for each engine: what it holds, which order is under way,
//! and which copies of weights it keeps on disk and in memory. The
//! [`plan`](OrderBook::plan) compares the two.
//!
//! # Safety of orders
//!
//! An engine counts the orders that it accepted and refuses one whose expected
//! count differs. Each order names the count it expects, and an engine has one
//! order under way at most, so an order that was given without an answer either
//! has raised the count or never will once another was accepted. Until one of
//! the two is known nothing else is ordered there and its memory stays reserved.
//!
//! # What is worth a place
//!
//! A model is worth its request rate, more where callers expect an answer
//! within a second, since they are gone before a load from disk is done.
//! Callers with an objective of seconds can wait for a load from disk, so
//! their models give way first. A second replica is worth what the
//! first cannot carry.

mod adapter_ref;
mod book_settings;
mod demand_book;
mod engine_record;
mod engine_report;
mod load_source;
mod model_demand;
mod order;
mod order_book;
mod order_kind;
mod order_reply;
mod placement;
mod plan_table;
mod sent;
mod store_pace;
mod underway;
mod worth;

pub use adapter_ref::AdapterRef;
pub use book_settings::BookSettings;
pub use demand_book::DemandBook;
pub use engine_record::EngineRecord;
pub use engine_report::EngineReport;
pub use load_source::LoadSource;
pub use model_demand::ModelDemand;
pub use order::Order;
pub use order_book::OrderBook;
pub use order_kind::OrderKind;
pub use order_reply::OrderReply;
pub use sent::Sent;
pub use store_pace::StorePace;
pub use underway::Underway;
