use std::net::SocketAddr;

use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::http::HttpClient;
use crate::table::{CommitOutcome, Row, ScanPage, Table, Transaction};
use crate::{BorderError, BorderErrorKind, BoxFuture};

/// Client of the platform's transactional table over HTTP and JSON.
#[derive(Debug)]
pub struct HttpTable {
    client: HttpClient,
}

impl HttpTable {
    /// Creates a client; `timeout_ms` bounds each call but the transfer of a page of rows.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
        }
    }
}

impl Table for HttpTable {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, BorderError>> {
        Box::pin(async move {
            let path = format!("/table/v1/row?key={}", percent_encode(key));
            self.client.get_json(&path).await
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> BoxFuture<'a, Result<ScanPage, BorderError>> {
        Box::pin(async move {
            let mut path = format!(
                "/table/v1/scan?prefix={}&limit={limit}",
                percent_encode(prefix)
            );
            if let Some(after) = after {
                path.push_str("&after=");
                path.push_str(&percent_encode(after));
            }
            let page = self.client.transfer_json(&path).await?;
            page.ok_or_else(|| {
                BorderError::new(BorderErrorKind::Rejected, "the table has no scan endpoint")
            })
        })
    }

    fn commit(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<CommitOutcome, BorderError>> {
        Box::pin(async move {
            self.client
                .post_json("/table/v1/transaction", &transaction)
                .await
        })
    }
}

/// Percent-encodes text for use in a path segment or a query value.
pub(crate) fn percent_encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}
