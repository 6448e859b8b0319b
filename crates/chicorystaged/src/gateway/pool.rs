//! Idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;

use chicorystage_api::name::EndpointId;

use crate::gateway::connection::Connection;

/// Idle connections kept for one endpoint.
const IDLE_MAX: usize = 16;
/// Idle time after which a connection is no longer used, in milliseconds.
const IDLE_MS: u64 = 2_000;
/// Time before an endpoint closes an idle connection at which it is no longer used, in milliseconds.
const CLOSE_MARGIN_MS: u64 = 1_000;

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<EndpointId, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until_ms: u64,
}

impl Pool {
    /// Takes the connection that was used last, if one is open.
    pub fn take(&self, now_ms: u64, endpoint: &EndpointId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_endpoint = idle.get_mut(endpoint)?;
        while let Some(idle) = of_endpoint.pop() {
            if now_ms < idle.until_ms && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was received whole.
    ///
    /// `idle_timeout_ms` is when the endpoint closes it, where it said so.
    pub fn put(
        &self,
        now_ms: u64,
        endpoint: &EndpointId,
        connection: Connection,
        idle_timeout_ms: Option<u64>,
    ) {
        let kept_ms = idle_timeout_ms.map_or(IDLE_MS, |timeout_ms| {
            timeout_ms.saturating_sub(CLOSE_MARGIN_MS).min(IDLE_MS)
        });
        if kept_ms == 0 || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let of_endpoint = idle.entry(endpoint.clone()).or_default();
        if of_endpoint.len() < IDLE_MAX {
            of_endpoint.push(Idle {
                connection,
                until_ms: now_ms + kept_ms,
            });
        }
    }

    /// Closes connections that have been idle too long.
    pub fn sweep(&self, now_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        for of_endpoint in idle.values_mut() {
            of_endpoint
                .retain(|idle| now_ms < idle.until_ms && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, of_endpoint| !of_endpoint.is_empty());
    }
}
