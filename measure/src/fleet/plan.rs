//! What a deployment consists of.

use serde_json::{Value, json};

/// A target to start.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name.
    pub name: String,
    /// Service.
    pub service: &'static str,
    /// Failure domain.
    pub domain: &'static str,
    /// Requests that it serves at a time.
    pub slots: usize,
    /// Time of a request, in milliseconds.
    pub service_ms: f64,
    /// Further arguments of the stand-in.
    pub args: Vec<&'static str>,
    /// Whether it checks fences and grants.
    pub checks: bool,
}

impl Target {
    /// Returns a target with 4 slots that checks grants.
    pub fn new(name: String, service: &'static str, domain: &'static str) -> Self {
        Self {
            name,
            service,
            domain,
            slots: 4,
            service_ms: 2.0,
            args: Vec::new(),
            checks: true,
        }
    }
}

/// A deployment to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Failure domains and their regions.
    pub domains: Vec<(&'static str, &'static str)>,
    /// Daemons by their failure domains.
    pub daemons: Vec<&'static str>,
    /// Targets.
    pub targets: Vec<Target>,
    /// Services; each is reached by its name as path prefix.
    pub services: Vec<Value>,
    /// Policy of the daemons.
    pub policy: Value,
    /// Whether daemons outside the first region reach the log, and all daemons
    /// the targets, through relays that count bytes.
    pub relays: bool,
}

impl Plan {
    /// Returns the failure domains of the Skyfuel deployment, with two daemons each.
    pub fn skyfuel() -> Self {
        let domains = vec![
            ("bkk-dmk", "bkk"),
            ("bkk-suv", "bkk"),
            ("hkt-apt", "hkt"),
            ("hkt-usm", "hkt"),
        ];
        let daemons = domains.iter().flat_map(|(domain, _)| [*domain, *domain]);
        Self {
            daemons: daemons.collect(),
            domains,
            targets: Vec::new(),
            services: Vec::new(),
            policy: json!({}),
            relays: false,
        }
    }

    /// Adds `count` targets, spread over the failure domains.
    pub fn add(&mut self, count: usize, service: &'static str, change: impl Fn(&mut Target)) {
        for index in 0..count {
            let domain = self.domains[index % self.domains.len()].0;
            let name = format!("{service}-{:02}", index + 1);
            let mut target = Target::new(name, service, domain);
            change(&mut target);
            self.targets.push(target);
        }
    }

    /// Adds a service of 4,096 shards if it is keyed.
    pub fn serve(&mut self, name: &str, kind: &str) {
        self.services.push(json!({ "name": name, "kind": kind }));
    }
}
