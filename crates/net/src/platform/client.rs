//! The platform behind HTTP and JSON.

use super::{Answer, Commit, Instance, Result, Row, Transaction, Trouble};
use crate::http::{self, Reply};
use serde::de::DeserializeOwned;
use serde::Serialize;
use sorreldeck::wire::Header;
use sorreldeck::Verdict;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a call may take before its outcome counts as unknown.
const TIMEOUT: Duration = Duration::from_secs(5);
/// How long a rating may take.
const RATING_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Clone)]
pub(super) struct Client {
    address: SocketAddr,
    http: http::Client,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            http: http::Client::default(),
        }
    }

    async fn send(
        &self,
        limit: Duration,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Reply> {
        let headers = [Header::new("content-type", "application/json")];
        let reply = self
            .http
            .call_within(limit, self.address, method, path, &headers, body)
            .await;
        let reply = reply.map_err(|trouble| match trouble.verdict {
            Verdict::NotRun => Trouble::Down(trouble.message),
            Verdict::MayHaveRun | Verdict::Ran => Trouble::Unknown(trouble.message),
        })?;
        match reply.status {
            200 | 404 => Ok(reply),
            503 => Err(Trouble::Down(reply.text())),
            504 => Err(Trouble::Unknown(reply.text())),
            _ => Err(Trouble::Refused(reply.text())),
        }
    }

    async fn ask<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        read(&self.send(TIMEOUT, "GET", path, Vec::new()).await?)
    }

    async fn tell<T: DeserializeOwned>(
        &self,
        limit: Duration,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        let body = serde_json::to_vec(body).map_err(|e| Trouble::Refused(e.to_string()))?;
        read(&self.send(limit, "POST", path, body).await?)
    }

    pub async fn get(&self, key: &str) -> Result<Option<Row>> {
        self.ask(&format!("/table/row/{key}")).await
    }

    pub async fn list(&self, prefix: &str) -> Result<BTreeMap<String, Row>> {
        self.ask(&format!("/table/list/{prefix}")).await
    }

    pub async fn commit(&self, transaction: &Transaction) -> Result<Commit> {
        self.tell(TIMEOUT, "/table/commit", transaction).await
    }

    pub async fn put_object(&self, name: &str, data: Vec<u8>) -> Result<()> {
        let path = format!("/objects/{name}");
        self.send(TIMEOUT, "PUT", &path, data).await.map(drop)
    }

    pub async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>> {
        let path = format!("/objects/{name}");
        let reply = self.send(TIMEOUT, "GET", &path, Vec::new()).await?;
        Ok((reply.status == 200).then_some(reply.body))
    }

    pub async fn list_objects(&self, prefix: &str) -> Result<Vec<String>> {
        self.ask(&format!("/object-names/{prefix}")).await
    }

    pub async fn instances(&self) -> Result<Vec<Instance>> {
        self.ask("/instances").await
    }

    pub async fn rate(&self, answer: &Answer) -> Result<f64> {
        self.tell(RATING_TIMEOUT, "/rate", answer).await
    }
}

fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T> {
    // A row that is not there is `null`, so every good reply is JSON.
    serde_json::from_slice(&reply.body)
        .map_err(|e| Trouble::Unknown(format!("the reply is no JSON: {e}")))
}
