//! Lookup of routes, allowed regions of keyed services, and weighted distribution among
//! backends.

use std::collections::BTreeSet;
use std::rc::Rc;

use pistachiomoor::gateway::adapter;
use pistachiomoor::gateway::catalog::{Catalog, Distribution, Distributions};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn backends(weights: &[f64]) -> Vec<adapter::Backend> {
    let weights = weights.iter().enumerate();
    let backend = |(index, &weight)| adapter::Backend {
        service: format!("s{index}").as_str().into(),
        weight,
    };
    weights.map(backend).collect()
}

/// Returns a route to `s0` that is named by its host and prefix.
fn route(host: &str, prefix: &str, regions: &[&str]) -> adapter::Route {
    adapter::Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: adapter::RequestKind::Idempotent,
        backends: backends(&[1.0]),
        timeout_ms: None,
        objective_ms: 200,
        attempts: 2,
        priority: 0,
        regions: regions.iter().map(|&region| region.into()).collect(),
    }
}

fn service(name: &str, keyed: bool) -> adapter::Service {
    adapter::Service {
        name: name.into(),
        health: "/health".into(),
        connections: 8,
        warmup_ms: 4_000,
        cold_rate: 5.3,
        keyed,
        key_warmup_ms: 2_000,
    }
}

fn catalog(routes: Vec<adapter::Route>) -> Catalog {
    Catalog::new(adapter::Revision {
        version: 7,
        routes,
        services: vec![service("s1", false), service("s0", true)],
        limits: adapter::Limits::default(),
        skipped: Default::default(),
    })
}

fn found(catalog: &Catalog, host: &str, path: &str) -> Option<String> {
    let route = catalog.resolve(host, path)?;
    Some(route.name.to_string())
}

/// Guards against a shorter prefix that hides a longer one, and against a prefix
/// that ends within a path segment.
#[test]
fn resolve_longest_prefix() {
    let prefixes = ["/", "/a/", "/a/b/c/"];
    let catalog = catalog(prefixes.map(|p| route("shop", p, &[])).into());
    for (path, prefix) in [
        ("/", "/"),
        ("/x", "/"),
        ("/a", "/"),
        ("/ab/c", "/"),
        ("/a/", "/a/"),
        ("/a/b/c", "/a/"),
        ("/a/b/cd/e", "/a/"),
        ("/a/b/c/", "/a/b/c/"),
        ("/a/b/c/d/e/f", "/a/b/c/"),
        ("//a/b/c/", "/"),
        ("/é/a/", "/"),
    ] {
        let expected = Some(format!("shop{prefix}"));
        assert_eq!(found(&catalog, "shop", path), expected, "{path}");
    }
    for path in ["", "a/b", "*"] {
        assert_eq!(found(&catalog, "shop", path), None, "{path}");
    }
}

/// Guards against the root route of one host that serves another, and against hosts that
/// don't match because they differ in case or have a port.
#[test]
fn resolve_host() {
    let routes = vec![
        route("Shop.example", "/", &[]),
        route("other", "/a/", &[]),
        route("[::1]", "/", &[]),
    ];
    let catalog = catalog(routes);
    for host in ["shop.example", "SHOP.example:8080", "shop.example:"] {
        let name = found(&catalog, host, "/a/b");
        assert_eq!(name.as_deref(), Some("Shop.example/"), "{host}");
    }
    assert_eq!(found(&catalog, "[::1]:80", "/").as_deref(), Some("[::1]/"));
    assert_eq!(found(&catalog, "other", "/b"), None);
    for host in ["", "[::2]:80", "shop", "shop.example.org"] {
        assert_eq!(found(&catalog, host, "/"), None, "{host}");
    }
}

/// Guards against a lookup that differs from a linear search when there are many routes.
#[test]
fn resolve_many() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut path = |segments| {
        let segment = |_| format!("/{}", rng.random_range(0..4));
        (0..segments).map(segment).collect::<String>()
    };
    let host = |n: usize| format!("h{}", n % 3);
    let prefix = |n: usize, path: String| route(&host(n), &format!("{path}/"), &[]);
    let routes: Vec<_> = (0..500).map(|n| prefix(n, path(1 + n % 5))).collect();
    let paths: Vec<_> = (0..500).map(|n| path(1 + n % 8)).collect();
    let catalog = catalog(routes.clone());
    for (n, path) in paths.iter().enumerate() {
        let fits = |r: &&adapter::Route| *r.host == *host(n) && path.starts_with(&*r.prefix);
        let longest = routes.iter().filter(fits).max_by_key(|r| r.prefix.len());
        let expected = longest.map(|r| r.name.to_string());
        assert_eq!(found(&catalog, &host(n), path), expected, "{path}");
    }
}

/// Guards against parts of a revision that are lost in the index.
#[test]
fn new_keeps_revision() {
    let catalog = catalog(vec![route("shop", "/", &[])]);
    assert_eq!(catalog.version(), 7);
    assert_eq!(catalog.limits(), adapter::Limits::default());
    let names: Vec<_> = catalog.services().map(|s| s.name.as_str()).collect();
    assert_eq!(names, ["s0", "s1"]);
    assert!(catalog.service(&"s0".into()).unwrap().keyed);
    assert!(catalog.service(&"s2".into()).is_none());
}

/// Guards against keys that may be placed outside the regions of one of the routes.
#[test]
fn allowed_regions_intersection() {
    let allowed = |routes: &[&[&str]], name: &str| {
        let routes = routes.iter().enumerate();
        let route = |(n, regions): (usize, &&[&str])| route("shop", &format!("/{n}/"), regions);
        catalog(routes.map(route).collect()).allowed_regions(&name.into())
    };
    let set = |names: &[&str]| {
        let names = names.iter().map(|&name| name.into());
        Some(names.collect::<BTreeSet<_>>())
    };
    assert_eq!(allowed(&[], "s0"), None);
    assert_eq!(allowed(&[&[], &[]], "s0"), None);
    assert_eq!(allowed(&[&["a", "b"], &[]], "s0"), set(&["a", "b"]));
    assert_eq!(allowed(&[&["a", "b"], &["c", "b"]], "s0"), set(&["b"]));
    assert_eq!(allowed(&[&["a"], &["b"], &["a"]], "s0"), set(&[]));
    assert_eq!(allowed(&[&["a"]], "s2"), None, "unknown service");
}

/// Guards against restrictions of a service without keys, or by routes to another service.
#[test]
fn allowed_regions_other_service() {
    let mut both = route("shop", "/", &["a"]);
    both.backends = backends(&[1.0, 1.0]);
    let mut other = route("shop", "/b/", &["b"]);
    other.backends = backends(&[0.0, 1.0]).split_off(1);
    let catalog = catalog(vec![both, other]);
    let only = BTreeSet::from(["a".into()]);
    assert_eq!(catalog.allowed_regions(&"s0".into()), Some(only));
    assert_eq!(catalog.allowed_regions(&"s1".into()), None);
}

/// Checks after each request that every backend's count is within one of its share.
fn check_split(weights: &[f64], requests: usize) {
    let mut distribution = Distribution::new(&backends(weights));
    let total: f64 = weights.iter().sum();
    let mut counts = vec![0.0; weights.len()];
    for n in 1..=requests {
        counts[distribution.pick().unwrap()] += 1.0;
        for (count, weight) in counts.iter().zip(weights) {
            let share = n as f64 * weight / total;
            let distance: f64 = count - share;
            assert!(
                distance.abs() < 1.0 + 1e-9,
                "{n} of {weights:?}: {counts:?}"
            );
        }
    }
}

/// Guards against a backend whose count differs from its share by more than one request at
/// any time, and against requests to a backend of weight 0.
#[test]
fn split_within_one() {
    check_split(&[1.0], 10);
    check_split(&[0.0, 3.0, 0.0, 1.0], 1_000);
    check_split(&[95.0, 5.0], 1_000);
    check_split(&[0.1, 0.2, 0.7], 1_000);
    let mut rng = StdRng::seed_from_u64(2);
    for _ in 0..200 {
        let count = rng.random_range(2..40);
        // Few heavy and many light backends are hardest to keep within the bound.
        let weight = |_| f64::from(rng.random_range(1_u32..30)).powi(3);
        check_split(&(0..count).map(weight).collect::<Vec<_>>(), 500);
    }
}

/// Guards against a request to a backend without a valid weight, and against weights that
/// are negative, infinite or not a number.
#[test]
fn split_no_weight() {
    let pick = |weights: &[f64]| Distribution::new(&backends(weights)).pick();
    assert_eq!(pick(&[]), None);
    assert_eq!(pick(&[0.0, 0.0]), None);
    assert_eq!(pick(&[f64::NAN, -1.0, f64::INFINITY]), None);
    assert_eq!(pick(&[f64::NAN, 2.0]), Some(1));
    assert_eq!(pick(&[0.0, f64::MAX, f64::MAX]), Some(1));
}

/// Guards against a distribution that is reset by each version, and against one that is not
/// reset when the weights change.
#[test]
fn splits_reset() {
    let weighted = |weights: &[f64]| {
        let backends = backends(weights);
        Rc::new(adapter::Route {
            backends,
            ..route("shop", "/", &[])
        })
    };
    let mut distributions = Distributions::new();
    let mut pick = |route: &Rc<adapter::Route>| {
        let backend = distributions.pick(route).unwrap();
        backend.service.to_string()
    };
    let first = weighted(&[1.0, 1.0]);
    assert_eq!(pick(&first), "s0");
    let again = weighted(&[1.0, 1.0]);
    assert_eq!(pick(&again), "s1", "the same backends in a new version");
    assert_eq!(pick(&again), "s0");
    let other = weighted(&[2.0, 1.0]);
    assert_eq!(pick(&other), "s0", "other weights");
    let named = Rc::new(adapter::Route {
        name: "other".into(),
        ..(*first).clone()
    });
    assert_eq!(pick(&named), "s0", "another route");
    let mut rest = [pick(&other), pick(&other)];
    rest.sort_unstable();
    assert_eq!(rest, ["s0", "s1"], "one third of three requests");
}

/// Guards against distributions that are kept for routes that no longer exist, and against
/// those of existing routes that are dropped.
#[test]
fn splits_retain() {
    let catalog = catalog(vec![route("shop", "/", &[])]);
    let kept = Rc::new(adapter::Route {
        backends: backends(&[1.0, 1.0]),
        ..route("shop", "/", &[])
    });
    let dropped = Rc::new(adapter::Route {
        name: "other".into(),
        ..(*kept).clone()
    });
    let mut distributions = Distributions::new();
    for route in [&kept, &dropped] {
        assert_eq!(distributions.pick(route).unwrap().service.as_str(), "s0");
    }
    distributions.retain(&catalog);
    assert_eq!(distributions.pick(&kept).unwrap().service.as_str(), "s1");
    assert_eq!(distributions.pick(&dropped).unwrap().service.as_str(), "s0");
}
