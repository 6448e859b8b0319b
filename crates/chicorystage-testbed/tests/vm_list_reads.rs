//! Conditional reads of the VM list: the list is transferred only after it has changed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{
    Handler, HttpClient, HttpServer, HttpVmList, ResponseBody, RunningServer,
};
use chicorystage_borders::vm_list::{VmEntry, VmList};
use chicorystage_testbed::standin::PlatformApi;
use googletest::prelude::*;
use http::header::ETAG;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};

const TIMEOUT_MS: u64 = 30_000;

/// A platform API that records the response status of each read of the VM list.
struct RecordingPlatform {
    platform: PlatformApi,
    sends_etags: bool,
    statuses: Mutex<Vec<StatusCode>>,
}

impl Handler for RecordingPlatform {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            let is_read = request.uri().path().starts_with("/vms/");
            let mut response = self.platform.handle(request).await;
            if is_read {
                self.statuses.lock().unwrap().push(response.status());
            }
            if !self.sends_etags {
                response.headers_mut().remove(ETAG);
            }
            response
        })
    }
}

struct World {
    recording: Arc<RecordingPlatform>,
    address: SocketAddr,
    list: HttpVmList,
    _server: RunningServer,
}

async fn start_world(sends_etags: bool) -> World {
    let recording = Arc::new(RecordingPlatform {
        platform: PlatformApi::new(),
        sends_etags,
        statuses: Mutex::default(),
    });
    let server = HttpServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = server.address();
    World {
        _server: server.start(Arc::clone(&recording) as Arc<dyn Handler>),
        recording,
        address,
        list: HttpVmList::new(address, TIMEOUT_MS),
    }
}

impl World {
    async fn put(&self, vm: &str) {
        let client = HttpClient::new(self.address, TIMEOUT_MS);
        let entry = json!({
            "id": vm, "address": "127.0.0.1:7000", "zone": "z", "group": "g", "state": "live",
        });
        client
            .post_json::<_, Value>("/control/vms", &entry)
            .await
            .unwrap();
    }

    async fn read(&self) -> Vec<String> {
        let vms: Vec<VmEntry> = self.list.read().await.unwrap();
        vms.iter().map(|vm| vm.id.to_string()).collect()
    }

    fn statuses(&self) -> Vec<u16> {
        let statuses = self.recording.statuses.lock().unwrap();
        statuses.iter().map(StatusCode::as_u16).collect()
    }
}

#[gtest]
#[tokio::test]
async fn an_unchanged_list_is_not_transferred_again() {
    let world = start_world(true).await;
    world.put("a").await;
    expect_that!(world.read().await, elements_are![eq("a")]);
    expect_that!(world.read().await, elements_are![eq("a")]);
    world.put("b").await;
    expect_that!(world.read().await, elements_are![eq("a"), eq("b")]);
    expect_that!(world.read().await, elements_are![eq("a"), eq("b")]);
    expect_that!(world.statuses(), eq(&vec![200, 304, 200, 304]));
}

#[gtest]
#[tokio::test]
async fn list_without_entity_tags_is_transferred_on_each_read() {
    let world = start_world(false).await;
    world.put("a").await;
    expect_that!(world.read().await, elements_are![eq("a")]);
    world.put("b").await;
    expect_that!(world.read().await, elements_are![eq("a"), eq("b")]);
    expect_that!(world.statuses(), eq(&vec![200, 200]));
}
