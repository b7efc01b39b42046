//! Resolution of requests: routes, keys, bindings and timeouts.

use std::net::SocketAddr;

use pistachiomoor::model;
use pistachiomoor::route::{self, Refused, Resolved, Table};
use pistachiomoor::state::{self, Kind, Standing};

fn service(name: &str, kind: Kind) -> state::Service {
    let service = serde_json::json!({"name": name, "kind": kind, "max_timeout": 5_000});
    serde_json::from_value(service).unwrap()
}

fn regions(names: &[&str]) -> Vec<model::RegionName> {
    names.iter().map(|&name| name.into()).collect()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn add_host(state: &mut state::State, id: u64, domain: &str, gone: Option<state::Reason>) {
    let host = state::Host {
        name: format!("h{id}").as_str().into(),
        domain: domain.into(),
        peer: address(9_000 + id as u16),
        caller: address(8_000 + id as u16),
        since: model::Offset(id),
        gone,
        silent: None,
    };
    state.hosts.insert(model::Incarnation(id), host);
}

fn state() -> state::State {
    let mut state = state::State::default();
    let config = state.config_mut();
    for (name, kind) in [
        ("records", Kind::Keyed),
        ("orders", Kind::Shared),
        ("web", Kind::Shared),
    ] {
        config.services.insert(name.into(), service(name, kind));
    }
    for (prefix, name, bound) in [
        ("/", "web", &[][..]),
        ("/records", "records", &[]),
        ("/records/hkt", "records", &["hkt"]),
        ("/orders/bkk/", "orders", &["bkk"]),
        ("/both", "orders", &["hkt", "bkk"]),
    ] {
        let route = state::Route {
            prefix: prefix.to_owned(),
            service: name.into(),
            regions: regions(bound),
        };
        config.routes.insert(prefix.to_owned(), route);
    }
    for (name, bound) in [("thai", "bkk"), ("island", "hkt")] {
        let name = route::tenant_hash(name.as_bytes());
        let regions = regions(&[bound]);
        config.tenants.insert(
            name,
            state::Tenant {
                name,
                regions,
                standing: state::Standing::In,
            },
        );
    }
    for (name, region, standing) in [
        ("bkk-dmk", "bkk", Standing::In),
        ("hkt-apt", "hkt", Standing::In),
        ("hkt-usm", "hkt", Standing::Out),
    ] {
        let (name, region) = (model::DomainName::from(name), region.into());
        let domain = state::Domain {
            name: name.clone(),
            region,
            standing,
        };
        config.domains.insert(name, domain);
    }
    config.hosts_out.insert("h4".into());
    add_host(&mut state, 1, "bkk-dmk", None);
    add_host(&mut state, 2, "hkt-apt", None);
    add_host(&mut state, 3, "hkt-apt", Some(state::Reason::Left));
    add_host(&mut state, 4, "hkt-apt", None);
    add_host(&mut state, 5, "hkt-usm", None);
    state
}

fn resolve(path: &str, headers: &[(&'static str, &str)]) -> Result<Resolved, Refused> {
    let mut map = http::HeaderMap::new();
    for (name, value) in headers {
        map.append(*name, value.parse().unwrap());
    }
    Table::new(&state(), &"bkk".into()).resolve(path, &map)
}

fn group(path: &str, headers: &[(&'static str, &str)]) -> String {
    resolve(path, headers).unwrap().group.to_string()
}

fn key(name: &str) -> Option<model::KeyHash> {
    Some(model::KeyHash::of(&"records".into(), name.as_bytes()))
}

#[test]
fn resolve_longest_prefix_at_segment_boundary() {
    let headers = [("key", "k")];
    for (path, expected) in [
        ("/", "web"),
        ("/other/x", "web"),
        ("/recordsx/1", "web"),
        ("/records/1", "records"),
        ("/records", "records"),
        ("/%72ecords/1", "records"),
        ("/orders", "web"),
        ("/orders/bkk", "orders@bkk"),
        ("/orders/bkk/1/2", "orders@bkk"),
        ("/orders/bkk1", "web"),
        ("/both/1", "orders@bkk@hkt"),
    ] {
        assert_eq!(group(path, &headers), expected, "{path}");
    }
}

#[test]
fn resolve_ambiguous_path_is_refused() {
    for path in [
        "",
        "records",
        "//records/1",
        "/records//1",
        "/records/../orders",
        "/records/%2e%2E/orders",
        "/./records/1",
        "/records/%",
        "/records/%4",
        "/records/%zz",
        "/records/%+1",
        "/records/a%00b",
        "/records%5C1",
        "/records\\1",
        "/orders%2Fbkk/1",
        "/records%2fhkt",
    ] {
        assert_eq!(resolve(path, &[]).unwrap_err(), Refused::BadPath, "{path}");
    }
}

#[test]
fn resolve_key_from_header_or_segment() {
    for (path, headers, expected) in [
        ("/records/ab", &[][..], "ab"),
        ("/records/ab/more", &[], "ab"),
        ("/records/a%62", &[], "ab"),
        ("/records/a%2Fb", &[], "a/b"),
        ("/records/a%252Fb", &[], "a%2Fb"),
        ("/records/%C3%A5", &[], "å"),
        ("/records/x", &[("key", "ab")], "ab"),
        ("/records", &[("key", "a%62")], "a%62"),
    ] {
        assert_eq!(resolve(path, headers).unwrap().key, key(expected), "{path}");
    }
    assert_eq!(resolve("/orders/bkk/ab", &[]).unwrap().key, None);
}

#[test]
fn resolve_missing_key_is_refused() {
    for (path, headers) in [
        ("/records", &[][..]),
        ("/records/", &[]),
        ("/records/x", &[("key", "")]),
    ] {
        let refused = resolve(path, headers).unwrap_err();
        assert_eq!(refused, Refused::MissingKey, "{path}");
    }
}

#[test]
fn resolve_repeated_or_empty_header_is_refused() {
    for (name, values) in [
        ("key", &["a", "b"][..]),
        ("tenant", &["thai", "island"]),
        ("tenant", &[""]),
        ("request-timeout-ms", &["1", "2"]),
    ] {
        let headers: Vec<_> = values.iter().map(|value| (name, *value)).collect();
        let refused = resolve("/records/x", &headers).unwrap_err();
        assert_eq!(refused, Refused::BadHeader(name));
    }
}

#[test]
fn resolve_home_is_intersection_of_bindings() {
    for (path, tenant, expected) in [
        ("/both/1", "thai", "orders@bkk"),
        ("/other", "thai", "web@bkk"),
        ("/orders/bkk/1", "thai", "orders@bkk"),
        ("/other", "unbound", "web"),
    ] {
        assert_eq!(group(path, &[("tenant", tenant)]), expected, "{path}");
    }
    let refused = resolve("/orders/bkk/1", &[("tenant", "island")]);
    assert_eq!(refused.unwrap_err(), Refused::NoHome);
}

#[test]
fn resolve_wrong_region_names_up_daemons() {
    let addresses = [address(8_002)];
    for (path, headers) in [
        ("/records/hkt/1", &[][..]),
        ("/both/1", &[("tenant", "island")]),
        ("/records/1", &[("tenant", "island")]),
    ] {
        match resolve(path, headers) {
            Err(Refused::WrongRegion { addresses: found }) => assert_eq!(*found, addresses),
            other => panic!("{path}: expected a wrong region, found {other:?}"),
        }
    }
}

#[test]
fn resolve_timeout_table() {
    let bad = || Err(Refused::BadHeader("request-timeout-ms"));
    for (value, expected) in [
        ("1", Ok(1)),
        ("0250", Ok(250)),
        ("5000", Ok(5_000)),
        ("5001", Ok(5_000)),
        ("99999999999999999999999999", Ok(5_000)),
        ("0", bad()),
        ("-1", bad()),
        ("+1", bad()),
        ("1.5", bad()),
        ("1 s", bad()),
        ("", bad()),
    ] {
        let resolved = resolve("/other", &[("request-timeout-ms", value)]);
        assert_eq!(
            resolved.map(|resolved| resolved.timeout),
            expected,
            "{value:?}"
        );
    }
    assert_eq!(resolve("/other", &[]).unwrap().timeout, 2_000);
}

#[test]
fn resolve_without_route_is_refused() {
    let table = Table::new(&state::State::default(), &"bkk".into());
    let refused = table.resolve("/other", &http::HeaderMap::new());
    assert_eq!(refused.unwrap_err(), Refused::NoRoute);
}

#[test]
fn resolve_tenant_hash_is_zero_without_tenant() {
    let hash = |headers: &[(&'static str, &str)]| resolve("/other", headers).unwrap().tenant;
    assert_eq!(hash(&[]), 0);
    assert_eq!(hash(&[("tenant", "thai")]), route::tenant_hash(b"thai").0);
}

#[test]
fn is_idempotent_table() {
    for (method, expected) in [
        ("GET", true),
        ("HEAD", true),
        ("OPTIONS", true),
        ("PUT", true),
        ("DELETE", true),
        ("POST", false),
        ("PATCH", false),
        ("CONNECT", false),
        ("get", false),
    ] {
        let method = method.parse().unwrap();
        assert_eq!(route::is_idempotent(&method), expected, "{method}");
    }
}
