//! Intents: changes as operators write them, in a JSON file.
//!
//! An intent is a list of changes, or an object with such a list under
//! `changes`. Every field is read on its own, so that all faults of a file are
//! found at once. Tenants are given by name and hashed here; no later step
//! sees the name.

mod field;

use std::collections::BTreeMap;

use serde_json::{Map, Value, json};

use crate::finding::Findings;
use crate::model;
use crate::route;
use crate::state;

/// Changes read from an intent file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent {
    /// Changes, carried out together or not at all.
    pub changes: Vec<state::Change>,
    /// File, for the places of findings.
    file: String,
    /// JSON pointer to the list of changes.
    root: &'static str,
}

impl Intent {
    /// Reads an intent from the text of the file named `file`.
    ///
    /// # Errors
    /// Returns every finding with its file and line or JSON pointer.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let document: Value = serde_json::from_str(text).map_err(|error| {
            let place = format!("{file}:{}:{}", error.line(), error.column());
            findings.add(place, "a JSON document", error.to_string());
            std::mem::take(&mut findings)
        })?;
        let (root, list) = list(file, &document, &mut findings);
        let mut changes = Vec::with_capacity(list.len());
        for (i, value) in list.iter().enumerate() {
            match Item::new(value).and_then(state::Change::try_from) {
                Ok(change) => changes.push((i, change)),
                Err(found) => {
                    for finding in found.0 {
                        let place = format!("{file} {root}/{i}{}", finding.place);
                        findings.add(place, finding.expected, finding.found);
                    }
                }
            }
        }
        twice(file, root, &changes, &mut findings);
        let changes = changes.into_iter().map(|(_, change)| change);
        findings.into_result(Self {
            changes: changes.collect(),
            file: file.to_owned(),
            root,
        })
    }

    /// Gives findings of [`state::plan::make`] the file and the pointer that
    /// the intent has.
    pub fn place(&self, findings: Findings) -> Findings {
        let mut placed = Findings::default();
        for finding in findings.0 {
            let pointer = finding.place.strip_prefix("/changes");
            let pointer = pointer.unwrap_or(&finding.place);
            let place = format!("{} {}{pointer}", self.file, self.root);
            placed.add(place.trim_end(), finding.expected, finding.found);
        }
        placed
    }
}

/// Finds the list of changes, and the JSON pointer to it.
fn list<'v>(
    file: &str,
    document: &'v Value,
    findings: &mut Findings,
) -> (&'static str, &'v [Value]) {
    if let Value::Array(list) = document {
        return ("", list);
    }
    let object = document.as_object();
    let list = object.and_then(|object| object.get("changes")?.as_array());
    let Some(list) = list else {
        let expected = "a list of changes, or an object with such a list under `changes`";
        findings.add(file, expected, field::kind(document));
        return ("", &[]);
    };
    for key in object.into_iter().flat_map(Map::keys) {
        if key != "changes" {
            let place = format!("{file} /{}", field::escape(key));
            findings.add(place, "no field but `changes`", "an unknown field");
        }
    }
    ("/changes", list)
}

/// Finds objects that the intent changes twice: what happens in between could
/// be seen by no daemon, so that only the last change would count.
fn twice(file: &str, root: &str, changes: &[(usize, state::Change)], findings: &mut Findings) {
    let mut first = BTreeMap::new();
    for (i, change) in changes {
        let label = change.label();
        if let Some(before) = first.get(&label) {
            let expected = "one change for each object; use two intents, one after the other";
            let found = format!("another change of {label} at {root}/{before}");
            findings.add(format!("{file} {root}/{i}"), expected, found);
        }
        first.entry(label).or_insert(*i);
    }
}

/// One change as it stands in the file: an object with one field, whose name
/// says what is to be done.
struct Item<'v> {
    tag: &'v str,
    content: &'v Value,
}

impl<'v> Item<'v> {
    fn new(value: &'v Value) -> Result<Self, Findings> {
        let mut fields = value.as_object().into_iter().flatten();
        if let (Some((tag, content)), None) = (fields.next(), fields.next()) {
            return Ok(Self { tag, content });
        }
        let mut findings = Findings::default();
        let expected = "an object with one field, such as `put_target`";
        findings.add("", expected, field::kind(value));
        Err(findings)
    }
}

impl TryFrom<Item<'_>> for state::Change {
    type Error = Findings;

    fn try_from(item: Item<'_>) -> Result<Self, Findings> {
        let Item { tag, content } = item;
        let mut findings = Findings::default();
        let value = match tag {
            "put_service" => field::object(content, field::SERVICE, &mut findings),
            "put_route" => field::object(content, field::ROUTE, &mut findings),
            "put_tenant" => field::object(content, field::TENANT, &mut findings).map(hashed),
            "put_domain" => field::object(content, field::DOMAIN, &mut findings),
            "put_target" => field::object(content, field::TARGET, &mut findings),
            "set_domain" | "set_target" | "set_host" => standing(content, &mut findings),
            "remove_service" | "remove_route" | "remove_target" => {
                field::name(content, &mut findings)
            }
            "remove_tenant" => field::tenant(content, &mut findings),
            "host_lost" => field::daemon(content, &mut findings),
            _ => {
                let known = "put_, set_ or remove_ with service, route, tenant, domain, target \
                             or host, or host_lost";
                findings.add(
                    format!("/{}", field::escape(tag)),
                    known,
                    "an unknown change",
                );
                return Err(findings);
            }
        };
        let mut placed = Findings::default();
        for finding in findings.0 {
            let place = format!("/{tag}{}", finding.place);
            placed.add(place, finding.expected, finding.found);
        }
        let value = placed.into_result(value)?.unwrap_or(Value::Null);
        serde_json::from_value(json!({ tag: value })).map_err(|error| {
            let mut findings = Findings::default();
            findings.add(format!("/{tag}"), "a complete change", error.to_string());
            findings
        })
    }
}

/// Reads the name of an object and whether it takes part, as an object or a list.
fn standing(content: &Value, findings: &mut Findings) -> Option<Value> {
    if let Value::Array(list) = content
        && let [name, standing] = list.as_slice()
    {
        let object = Map::from_iter([
            ("name".to_owned(), name.clone()),
            ("standing".to_owned(), standing.clone()),
        ]);
        return standing_of(&Value::Object(object), findings);
    }
    standing_of(content, findings)
}

fn standing_of(content: &Value, findings: &mut Findings) -> Option<Value> {
    let object = field::object(content, field::STANDING, findings)?;
    Some(json!([object["name"], object["standing"]]))
}

/// Replaces a tenant's name by its hash.
fn hashed(mut tenant: Value) -> Value {
    let hash = tenant["name"].as_str().map(hash_of);
    tenant["name"] = json!(hash);
    tenant
}

/// Returns the hash under which a tenant is recorded.
fn hash_of(name: &str) -> model::KeyHash {
    route::tenant_hash(name.as_bytes())
}
