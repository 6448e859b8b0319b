//! HTTP clients and the HTTP server behind the borders.
//!
//! Short calls go through a pooled client. A pooled connection may have gone
//! silent for good, so a call that runs out of time drops the whole pool.
//! Streams that carry an answer get a connection of their own: opening it
//! tells for certain whether the other side was reached, and losing it
//! concerns one answer only.

mod body;
mod http_client;
mod http_engine;
mod http_object_store;
mod http_service;
mod http_table;
mod http_vm_list;
mod json_lines;
mod rpc_agent_link;
mod rpc_clients;
mod rpc_router_link;
mod server;
mod stream_client;

pub use body::{ResponseBody, channel_body, empty_body, full_body};
pub use http_client::HttpClient;
pub use http_engine::HttpEngine;
pub use http_object_store::HttpObjectStore;
pub use http_service::HttpService;
pub use http_table::HttpTable;
pub use http_vm_list::HttpVmList;
pub use json_lines::JsonLines;
pub use rpc_agent_link::RpcAgentLink;
pub use rpc_router_link::RpcRouterLink;
pub use server::{Handler, HttpServer, RunningServer};
