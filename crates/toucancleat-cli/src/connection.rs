//! Connects to the platform and to the operators' ports of the entry hosts.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::join_all;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, StatusCode};
use serde::de::DeserializeOwned;
use toucancleat_entry::http::{HttpCall, HttpClient};
use toucancleat_entry::platform::{ListedHost, PlatformClient};

use crate::error::Error;
use crate::options::{Connection, KEY_VARIABLE};

/// Time limit of one call to an operators' port.
const CALL_TIMEOUT_MS: u64 = 3_000;
/// Maximum size of a reply from an operators' port.
const REPLY_MAX_BYTES: usize = 256 * 1_024 * 1_024;
/// Role of the entry hosts in the host list.
const ENTRY_ROLE: &str = "entry";

/// The operators' port of one entry host.
#[derive(Clone, Debug)]
pub(crate) struct OperatorPort {
    /// The entry in the host list; `None` for an address from `--host-address`.
    pub listed: Option<ListedHost>,
    /// The address of the port.
    pub address: SocketAddr,
    operator_key: Option<String>,
    client: HttpClient,
}

impl Connection {
    /// Returns a client of the platform.
    ///
    /// # Errors
    ///
    /// Fails if its address is neither on the command line nor in the environment.
    pub(crate) fn platform(&self) -> Result<PlatformClient, Error> {
        let address = self.platform.ok_or_else(|| {
            let message = "expected --platform or TOUCANCLEAT_PLATFORM with an IP address and a \
                           port, such as 127.0.0.1:7900; found neither";
            Error::usage(message.to_owned())
        })?;
        Ok(PlatformClient::new(address))
    }

    /// Returns the operators' ports from `--host-address`, or else those of the host list.
    pub(crate) async fn hosts(&self) -> Result<Vec<OperatorPort>, Error> {
        if !self.host_address.is_empty() {
            let addresses = self.host_address.iter();
            return Ok(addresses
                .map(|address| self.operator_port(*address, None))
                .collect());
        }
        let listed = self.platform()?.list_hosts().await.map_err(|error| {
            Error::unreachable(format!(
                "could not read the host list: {error}; entry hosts can be given with \
                 --host-address"
            ))
        })?;
        let entry_hosts = listed.into_iter().filter(|host| host.role == ENTRY_ROLE);
        let ports = entry_hosts.filter_map(|host| Some((host.operator_address?, host)));
        let mut hosts: Vec<OperatorPort> = ports
            .map(|(address, host)| self.operator_port(address, Some(host)))
            .collect();
        hosts.sort_by_key(OperatorPort::label);
        Ok(hosts)
    }

    fn operator_port(
        &self,
        address: SocketAddr,
        listed: Option<ListedHost>,
    ) -> OperatorPort {
        OperatorPort {
            listed,
            address,
            operator_key: self
                .operator_key
                .clone()
                .or_else(|| std::env::var(KEY_VARIABLE).ok()),
            client: HttpClient::unpooled(),
        }
    }
}

impl OperatorPort {
    /// Returns the name from the host list, or else the address.
    pub fn label(&self) -> String {
        match &self.listed {
            Some(listed) => listed.name.clone(),
            None => self.address.to_string(),
        }
    }

    /// Returns true if the host may be in an availability zone; an address from
    /// `--host-address` may be in any.
    pub fn may_be_in_zone(&self, zone: &str) -> bool {
        self.listed
            .as_ref()
            .is_none_or(|listed| listed.zone == zone)
    }

    /// Sends a GET request to a path and decodes the JSON reply.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path).await
    }

    /// Sends a POST request with an empty body to a path and decodes the JSON reply.
    pub async fn post<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::POST, path).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
    ) -> Result<T, Error> {
        let failed =
            |detail: String| Error::unreachable(format!("{}: {detail}", self.label()));
        let mut headers = Vec::new();
        if let Some(key) = &self.operator_key {
            let value = HeaderValue::from_str(&format!("Bearer {key}"));
            let value = value.map_err(|_| {
                Error::usage("the operators' key isn't a valid header value".into())
            })?;
            headers.push((AUTHORIZATION, value));
        }
        let call = HttpCall {
            address: self.address,
            method,
            path,
            headers,
            body: Bytes::new(),
        };
        let reply = self
            .client
            .exchange(call, CALL_TIMEOUT_MS, REPLY_MAX_BYTES)
            .await;
        let reply = reply.map_err(|error| failed(error.to_string()))?;
        match reply.status() {
            StatusCode::OK => serde_json::from_slice(reply.body())
                .map_err(|error| failed(format!("could not decode the reply: {error}"))),
            StatusCode::UNAUTHORIZED => Err(failed(
                "expected the operators' key in --operator-key or TOUCANCLEAT_OPERATOR_KEY"
                    .to_owned(),
            )),
            status => Err(failed(format!("expected status 200, found {status}"))),
        }
    }
}

/// Sends a GET request for the same path to all hosts concurrently.
pub(crate) async fn get_all<T: DeserializeOwned>(
    hosts: &[OperatorPort],
    path: &str,
) -> Vec<Result<T, Error>> {
    join_all(hosts.iter().map(|host| host.get(path))).await
}
