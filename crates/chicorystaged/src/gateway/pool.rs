//! Pool of idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use chicorystage_api::name::EndpointId;

use crate::gateway::connection::Connection;

/// Largest number of idle connections per endpoint.
const IDLE_MAX: usize = 16;
/// Idle time after which a connection is closed, in milliseconds.
const IDLE_MS: u64 = 2_000;
/// Time before an endpoint's own idle timeout at which a connection is no longer reused, in
/// milliseconds.
///
/// Without it a request could be sent while the endpoint closes the connection.
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
    /// Removes and returns the most recently used open connection but those with the given own
    /// addresses, if there is one.
    pub fn take(
        &self,
        now_ms: u64,
        endpoint: &EndpointId,
        except: &[SocketAddr],
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_endpoint = idle.get_mut(endpoint)?;
        of_endpoint.retain(|idle| now_ms < idle.until_ms && idle.connection.sender.is_ready());
        let newest = of_endpoint
            .iter()
            .rposition(|idle| !except.contains(&idle.connection.local))?;
        Some(of_endpoint.remove(newest).connection)
    }

    /// Adds a connection whose last answer was received whole; drops it where the pool is full.
    ///
    /// `idle_timeout_ms` is the endpoint's own idle timeout; `None` where it states none.
    pub fn put(
        &self,
        now_ms: u64,
        endpoint: &EndpointId,
        mut connection: Connection,
        idle_timeout_ms: Option<u64>,
    ) {
        let kept_ms = idle_timeout_ms.map_or(IDLE_MS, |timeout_ms| {
            timeout_ms.saturating_sub(CLOSE_MARGIN_MS).min(IDLE_MS)
        });
        if kept_ms == 0 || connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.idle.borrow_mut();
        let of_endpoint = idle.entry(endpoint.clone()).or_default();
        if of_endpoint.len() < IDLE_MAX {
            of_endpoint.push(Idle {
                connection,
                until_ms: now_ms + kept_ms,
            });
        }
    }

    /// Closes connections that have been idle too long or were closed by their endpoint.
    pub fn sweep(&self, now_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        for of_endpoint in idle.values_mut() {
            of_endpoint
                .retain(|idle| now_ms < idle.until_ms && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, of_endpoint| !of_endpoint.is_empty());
    }
}
