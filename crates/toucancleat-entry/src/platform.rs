//! A client of the platform's services; see docs/PROTOCOLS.md, "Platform".

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::engine::retry_after_ms;
use crate::error::Error;
use crate::http::{HttpCall, HttpClient};

/// Timeout of a write to the platform, after which its outcome is unknown, and of the head and
/// each further part of the reply to a read.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a read, as long as its reply makes progress.
const READ_TIMEOUT_MS: u64 = 30_000;
/// Bound on the size of a reply.
const REPLY_MAX_BYTES: usize = 64 * 1_024 * 1_024;
/// Delay before a retry if the platform's rejection gives none.
const RETRY_AFTER_MS: u64 = 1_000;

/// A client of the table, the object store and the host list.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: HttpClient,
    address: SocketAddr,
}

/// A condition on the version of a row; `None` requires that the row doesn't exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Condition {
    /// Table of the row.
    pub table: String,
    /// Name of the row.
    pub row: String,
    /// Version that the row must have.
    pub version: Option<u64>,
}

/// A new value of a row; `None` deletes it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Write {
    /// Table of the row.
    pub table: String,
    /// Name of the row.
    pub row: String,
    /// New value.
    pub value: Option<Value>,
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the row.
    pub row: String,
    /// Version; `None` if the row doesn't exist.
    #[serde(default)]
    pub version: Option<u64>,
    /// Value.
    #[serde(default)]
    pub value: Value,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum TransactionReply {
    /// All writes were applied.
    Applied {
        /// Version of each written row.
        versions: Vec<u64>,
    },
    /// Nothing was applied, since a condition failed.
    Conflict {
        /// The current rows whose condition failed.
        rows: Vec<Row>,
    },
    /// Nothing was applied, since the table accepts no work at the moment.
    Rejected {
        /// Delay in milliseconds before a retry.
        retry_after_ms: u64,
    },
    /// Nothing was applied, since no connection could be opened.
    Unreachable,
    /// The writes may have been applied, or may be applied later.
    Unknown,
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// `entry` or `target`.
    pub role: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Address at which other entry hosts connect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Address at which operators connect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator_address: Option<SocketAddr>,
    /// Address of a target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct Versions {
    versions: Vec<u64>,
}

#[derive(Deserialize)]
struct Conflicts {
    conflicts: Vec<Row>,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<ListedHost>,
}

impl PlatformClient {
    /// Creates a client of the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        PlatformClient {
            client: HttpClient::pooled(),
            address,
        }
    }

    /// Applies all writes atomically if every condition holds, and none otherwise.
    pub async fn commit_transaction(
        &self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> TransactionReply {
        #[derive(Serialize)]
        struct Body<'a> {
            conditions: &'a [Condition],
            writes: &'a [Write],
        }
        let body = to_json(&Body { conditions, writes });
        let call = self.json_call(Method::POST, "/v1/table/transact", body);
        match self
            .client
            .exchange(call, CALL_TIMEOUT_MS, REPLY_MAX_BYTES)
            .await
        {
            Ok(reply) => read_transact_reply(&reply),
            Err(error) if error.is_not_sent() => TransactionReply::Unreachable,
            Err(_) => TransactionReply::Unknown,
        }
    }

    /// Reads rows by name; rows that don't exist are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if the table gives no valid reply.
    pub async fn get_rows(
        &self,
        table: &str,
        rows: &[String],
    ) -> Result<Vec<Row>, Error> {
        let body = serde_json::json!({ "table": table, "rows": rows });
        let call = self.json_call(Method::POST, "/v1/table/get", to_json(&body));
        let reply: Rows = self.json_reply("table get", call).await?;
        Ok(reply.rows)
    }

    /// Reads up to `limit` rows whose names begin with `prefix` and sort after `after`,
    /// in the order of their names.
    ///
    /// # Errors
    ///
    /// Returns an error if the table gives no valid reply.
    pub async fn scan_rows(
        &self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<Row>, Error> {
        let body = serde_json::json!({
            "table": table, "prefix": prefix, "after": after, "limit": limit
        });
        let call = self.json_call(Method::POST, "/v1/table/scan", to_json(&body));
        let reply: Rows = self.json_reply("table scan", call).await?;
        Ok(reply.rows)
    }

    /// Stores an object whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the object store doesn't confirm the write.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), Error> {
        let path = format!("/v1/objects/{name}");
        let call = self.json_call(Method::PUT, &path, body);
        self.success("object put", call).await.map(|_| ())
    }

    /// Reads an object; returns `None` if none has that name.
    ///
    /// # Errors
    ///
    /// Returns an error if the object store gives no valid reply.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let path = format!("/v1/objects/{name}");
        let call = self.json_call(Method::GET, &path, Bytes::new());
        let reply = self.reply("object get", call).await?;
        match reply.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => Ok(Some(reply.into_body())),
            status => Err(Error::platform("object get", format!("replied {status}"))),
        }
    }

    /// Reads the host list, which may be outdated.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no valid reply.
    pub async fn list_hosts(&self) -> Result<Vec<ListedHost>, Error> {
        let call = self.json_call(Method::GET, "/v1/hosts", Bytes::new());
        let reply: Hosts = self.json_reply("host list", call).await?;
        Ok(reply.hosts)
    }

    /// Adds a host to the list, or replaces its entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't confirm the change.
    pub async fn put_host(&self, host: &ListedHost) -> Result<(), Error> {
        let path = format!("/v1/hosts/{}", host.name);
        let call = self.json_call(Method::PUT, &path, to_json(host));
        self.success("host list put", call).await.map(|_| ())
    }

    /// Removes a host from the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't confirm the change.
    pub async fn delete_host(&self, name: &str) -> Result<(), Error> {
        let path = format!("/v1/hosts/{name}");
        let call = self.json_call(Method::DELETE, &path, Bytes::new());
        self.success("host list delete", call).await.map(|_| ())
    }

    fn json_call<'a>(&self, method: Method, path: &'a str, body: Bytes) -> HttpCall<'a> {
        let json = HeaderValue::from_static("application/json");
        let headers = vec![(CONTENT_TYPE, json)];
        HttpCall {
            address: self.address,
            method,
            path,
            headers,
            body,
        }
    }

    async fn reply(
        &self,
        operation: &'static str,
        call: HttpCall<'_>,
    ) -> Result<http::Response<Bytes>, Error> {
        self.client
            .exchange_in_parts(call, CALL_TIMEOUT_MS, READ_TIMEOUT_MS, REPLY_MAX_BYTES)
            .await
            .map_err(|error| Error::platform(operation, error.to_string()))
    }

    async fn success(
        &self,
        operation: &'static str,
        call: HttpCall<'_>,
    ) -> Result<Bytes, Error> {
        let reply = self.reply(operation, call).await?;
        if !reply.status().is_success() {
            return Err(Error::platform(
                operation,
                format!("replied {}", reply.status()),
            ));
        }
        Ok(reply.into_body())
    }

    async fn json_reply<T: DeserializeOwned>(
        &self,
        operation: &'static str,
        call: HttpCall<'_>,
    ) -> Result<T, Error> {
        let body = self.success(operation, call).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::platform(operation, error.to_string()))
    }
}

fn read_transact_reply(reply: &http::Response<Bytes>) -> TransactionReply {
    let body = reply.body();
    match reply.status() {
        StatusCode::OK => match serde_json::from_slice::<Versions>(body) {
            Ok(found) => TransactionReply::Applied {
                versions: found.versions,
            },
            Err(_) => TransactionReply::Unknown,
        },
        StatusCode::CONFLICT => match serde_json::from_slice::<Conflicts>(body) {
            Ok(found) => TransactionReply::Conflict {
                rows: found.conflicts,
            },
            Err(_) => TransactionReply::Unknown,
        },
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            let retry_after_ms =
                retry_after_ms(reply.headers()).unwrap_or(RETRY_AFTER_MS);
            TransactionReply::Rejected { retry_after_ms }
        }
        _ => TransactionReply::Unknown,
    }
}

fn to_json<T: Serialize>(value: &T) -> Bytes {
    let bytes = serde_json::to_vec(value).expect("rows and hosts have string keys");
    Bytes::from(bytes)
}
