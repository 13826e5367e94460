//! Rows of the platform's store in the format of their writers.

use serde_json::{json, Value};
use sorreldeck_platform::store::Row;

/// Returns a row with a value.
pub fn row(key: &str, value: &Value, version: u64) -> Row {
    Row {
        key: key.to_owned(),
        value: Some(value.to_string().into_bytes()),
        version,
    }
}

/// Returns a deleted row.
pub fn deleted(key: &str, version: u64) -> Row {
    Row {
        key: key.to_owned(),
        value: None,
        version,
    }
}

/// Returns the registration of an upstream in a state.
pub fn upstream(state: &str) -> Value {
    json!({"service": "engines", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 8,
        "state": state, "cold-left-ms": 0, "sequence": 1})
}

/// Returns a configuration without routes.
pub fn config(revision: u64) -> Value {
    json!({"version": revision, "routes": [], "services": [], "tenants": [],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
}
