//! HTTP clients that implement the traits of this crate, and the HTTP server.
//!
//! Short calls use a client with pooled connections. A pooled connection can
//! be dead without an error, so a call that times out replaces the whole pool.
//! Each stream that carries a response uses a new connection. If that connection
//! cannot be opened, the request certainly was not delivered; if it is lost
//! later, only that one response is affected.

mod body;
mod body_framing;
mod body_sender;
mod call_limit;
mod flush_before_break;
mod http_client;
mod http_engine;
mod http_object_store;
mod http_service;
mod http_table;
mod http_vm_list;
mod interim_limit;
mod json_lines;
mod resettable_stream;
mod rpc_agent_link;
mod rpc_clients;
mod rpc_router_link;
mod server;
mod stream_client;
mod transfer_progress;

pub use body::{ResponseBody, empty_body, full_body};
pub use body_framing::BodyFraming;
pub use body_sender::{BodyAbandoned, BodySender, channel_body};
pub use flush_before_break::FlushBeforeBreak;
pub use http_client::HttpClient;
pub use http_engine::HttpEngine;
pub use http_object_store::HttpObjectStore;
pub use http_service::HttpService;
pub use http_table::HttpTable;
pub use http_vm_list::HttpVmList;
pub use interim_limit::InterimLimit;
pub use json_lines::JsonLines;
pub use resettable_stream::{Reset, ResettableStream};
pub use rpc_agent_link::RpcAgentLink;
pub use rpc_router_link::RpcRouterLink;
pub use server::{Handler, HttpServer, RunningServer};
pub use transfer_progress::TransferProgress;
