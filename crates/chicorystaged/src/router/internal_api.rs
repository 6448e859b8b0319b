use chicorystage_api::peer::{RPC_PATH, RouterRpcServer};
use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, ResponseBody};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::router::handle::RouterHandle;
use crate::router::internal_rpc::InternalRpc;
use crate::rpc_server::RpcServer;
use crate::web;

/// HTTP handler of the internal RPC, which other routers and agents call.
#[derive(Debug)]
pub(crate) struct InternalApi {
    rpc: RpcServer,
}

impl InternalApi {
    pub(crate) fn new(handle: RouterHandle) -> Self {
        let rpc = RpcServer::new(InternalRpc::new(handle).into_rpc().into());
        Self { rpc }
    }
}

impl Handler for InternalApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            match request.uri().path() {
                RPC_PATH => self.rpc.call(request).await,
                _ => web::text(StatusCode::NOT_FOUND, "not found\n"),
            }
        })
    }
}
