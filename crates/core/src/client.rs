//! A client of the admin API.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassmill_node::Problem;
use oxhttp::Client;
use oxhttp::model::{Body, Request, Response};
use serde::de::DeserializeOwned;

use crate::error::CliError;

/// Longest wait for one node; the admin port itself ends calls after 30 s.
const TIMEOUT: Duration = Duration::from_secs(35);

/// Asks the first of several nodes that answers.
pub(crate) struct AdminClient {
    /// Invariant: at least one.
    addresses: Vec<SocketAddr>,
    token: String,
}

impl AdminClient {
    pub(crate) fn new(addresses: Vec<SocketAddr>, token: String) -> AdminClient {
        AdminClient { addresses, token }
    }

    /// Asks for `path`.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.call("GET", path, "")
    }

    /// Sends `body` to `path`. The call may reach several nodes, one after the other.
    pub(crate) fn post<T: DeserializeOwned>(&self, path: &str, body: &str) -> Result<T, CliError> {
        self.call("POST", path, body)
    }

    fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<T, CliError> {
        let mut last = None;
        for address in &self.addresses {
            match self.call_one(*address, method, path, body) {
                Err(e @ CliError::NoAnswer { .. }) => last = Some(e),
                other => return other,
            }
        }
        Err(last.unwrap_or_else(|| CliError::Usage("no admin address".to_owned())))
    }

    fn call_one<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<T, CliError> {
        read(address, send(address, method, path, &self.token, body)?)
    }
}

/// The text that a node's admin port answers with.
pub(crate) fn get_text(address: SocketAddr, path: &str, token: &str) -> Result<String, CliError> {
    let answer = send(address, "GET", path, token, "")?;
    answer
        .into_body()
        .to_string()
        .map_err(|e| no_answer(address, &e))
}

/// Asks the callers' port of a node, with a tenant's token.
pub(crate) fn get_from_entry<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    token: &str,
) -> Result<T, CliError> {
    read(address, send(address, "GET", path, token, "")?)
}

fn read<T: DeserializeOwned>(address: SocketAddr, answer: Response<Body>) -> Result<T, CliError> {
    let nonsense = |e: serde_json::Error| CliError::Nonsense {
        address: address.to_string(),
        why: e.to_string(),
    };
    let status = answer.status();
    let text = answer
        .into_body()
        .to_string()
        .map_err(|e| no_answer(address, &e))?;
    if status.is_success() {
        return serde_json::from_str(&text).map_err(nonsense);
    }
    // Problems of the callers' port have the same fields as those of the admin port.
    let problem: Problem = serde_json::from_str(&text).map_err(nonsense)?;
    Err(CliError::Refused(Box::new(problem)))
}

fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> Result<Response<Body>, CliError> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .body(body.to_owned())
        .map_err(|_| CliError::Usage("the token or a name isn't plain text".to_owned()))?;
    let client = Client::new().with_global_timeout(TIMEOUT);
    client.request(req).map_err(|e| no_answer(address, &e))
}

fn no_answer(address: SocketAddr, error: &std::io::Error) -> CliError {
    CliError::NoAnswer {
        address: address.to_string(),
        why: error.to_string(),
    }
}
