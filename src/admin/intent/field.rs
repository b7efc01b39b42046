//! Fields of the objects in an intent, each checked on its own.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use crate::admin::intent;
use crate::finding::Findings;
use crate::model;
use crate::state;

/// A field of an object in an intent.
pub(super) struct Field {
    name: &'static str,
    required: bool,
    /// What the field must hold.
    expected: &'static str,
    accepts: fn(&Value) -> bool,
}

const fn field(
    name: &'static str,
    required: bool,
    expected: &'static str,
    accepts: fn(&Value) -> bool,
) -> Field {
    Field {
        name,
        required,
        expected,
        accepts,
    }
}

const NAME: Field = field("name", true, "a name as text", is_text);
const STANDING_EXPECTED: &str = "\"in\" or \"out\"";
const REGIONS: Field = field(
    "regions",
    false,
    "a list of names of regions",
    accepts::<Vec<model::RegionName>>,
);

/// Fields of a service.
pub(super) const SERVICE: &[Field] = &[
    NAME,
    field(
        "kind",
        true,
        "\"shared\" or \"keyed\"",
        accepts::<state::Kind>,
    ),
    field("shards", false, "a whole number", accepts::<u32>),
    field(
        "timeout_ms",
        false,
        "a time in whole milliseconds",
        accepts::<u64>,
    ),
    field(
        "max_timeout",
        false,
        "a time in whole milliseconds",
        accepts::<u64>,
    ),
    field("max_body", false, "a size in bytes", accepts::<u64>),
    field(
        "slo_ms",
        false,
        "a time in whole milliseconds",
        accepts::<u64>,
    ),
    field("slo_ppm", false, "a share in millionths", accepts::<u32>),
];

/// Fields of a route.
pub(super) const ROUTE: &[Field] = &[
    field("prefix", true, "a path prefix as text", is_text),
    field("service", true, "the name of a service", is_text),
    REGIONS,
];

/// Fields of a tenant.
pub(super) const TENANT: &[Field] = &[
    field(
        "name",
        true,
        "the tenant's name as text, as callers send it",
        is_text,
    ),
    REGIONS,
    field(
        "standing",
        false,
        STANDING_EXPECTED,
        accepts::<state::Standing>,
    ),
];

/// Fields of a failure domain.
pub(super) const DOMAIN: &[Field] = &[
    NAME,
    field("region", true, "the name of a region", is_text),
    field(
        "standing",
        false,
        STANDING_EXPECTED,
        accepts::<state::Standing>,
    ),
];

/// Fields of a target.
pub(super) const TARGET: &[Field] = &[
    NAME,
    field("service", true, "the name of a service", is_text),
    field("domain", true, "the name of a failure domain", is_text),
    field(
        "address",
        true,
        "an IP number and a port",
        accepts::<SocketAddr>,
    ),
    field("concurrency", true, "a whole number", accepts::<u32>),
    field("checks", false, "true or false", accepts::<bool>),
    field(
        "standing",
        false,
        STANDING_EXPECTED,
        accepts::<state::Standing>,
    ),
];

/// Fields of a change of standing.
pub(super) const STANDING: &[Field] = &[
    NAME,
    field(
        "standing",
        true,
        STANDING_EXPECTED,
        accepts::<state::Standing>,
    ),
];

fn accepts<T: DeserializeOwned>(value: &Value) -> bool {
    T::deserialize(value.clone()).is_ok()
}

fn is_text(value: &Value) -> bool {
    value.as_str().is_some_and(|text| !text.is_empty())
}

/// Returns an object whose fields are all known and accepted.
pub(super) fn object(value: &Value, fields: &[Field], findings: &mut Findings) -> Option<Value> {
    let before = findings.0.len();
    let Some(object) = value.as_object() else {
        findings.add("", "an object", kind(value));
        return None;
    };
    check(object, fields, findings);
    (findings.0.len() == before).then(|| value.clone())
}

fn check(object: &Map<String, Value>, fields: &[Field], findings: &mut Findings) {
    for field in fields {
        let place = format!("/{}", field.name);
        match object.get(field.name) {
            None if field.required => findings.add(place, field.expected, "no such field"),
            Some(value) if !(field.accepts)(value) => {
                findings.add(place, field.expected, value.to_string());
            }
            _ => {}
        }
    }
    for key in object.keys() {
        if !fields.iter().any(|field| field.name == key) {
            let names: Vec<_> = fields.iter().map(|field| field.name).collect();
            let expected = format!("one of the fields {}", names.join(", "));
            findings.add(format!("/{}", escape(key)), expected, "an unknown field");
        }
    }
}

/// Returns a name that is given as text.
pub(super) fn name(value: &Value, findings: &mut Findings) -> Option<Value> {
    if is_text(value) {
        return Some(value.clone());
    }
    findings.add("", "a name as text", value.to_string());
    None
}

/// Returns the hash of a tenant that is given by name.
pub(super) fn tenant(value: &Value, findings: &mut Findings) -> Option<Value> {
    let name = name(value, findings)?;
    name.as_str().map(|name| json!(intent::hash_of(name)))
}

/// Returns a daemon, given by its incarnation as 16 hexadecimal digits.
pub(super) fn daemon(value: &Value, findings: &mut Findings) -> Option<Value> {
    let digits = value.as_str().filter(|text| text.len() == 16);
    let number = digits.and_then(|text| u64::from_str_radix(text, 16).ok());
    if number.is_none() {
        let expected = "the daemon's incarnation, 16 hexadecimal digits as `status` shows them";
        findings.add("", expected, value.to_string());
    }
    number.map(|number| json!(number))
}

/// Says what kind of value was found.
pub(super) fn kind(value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Bool(_) | Value::Number(_) | Value::String(_) => value.to_string(),
        Value::Array(list) => format!("a list of {}", list.len()),
        Value::Object(object) => {
            let names: Vec<_> = object.keys().map(String::as_str).collect();
            format!("an object with fields [{}]", names.join(", "))
        }
    }
}

/// Writes a name as part of a JSON pointer.
pub(super) fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}
