//! Digests of requests: what they tell apart, and their text.

use pistachiomoor::gateway::quarantine::{Digest, Subject};

fn subject<'r>(uri: &'r http::Uri, body: &'r [u8]) -> Subject<'r> {
    Subject {
        method: &http::Method::GET,
        host: "api.example",
        uri,
        key: None,
        body,
    }
}

/// Guards against requests that count as the same although they differ in what targets run,
/// and against one that counts as another because of the form of its host.
#[test]
fn digest_fields() {
    let uri = http::Uri::from_static("/slots?day=1");
    let other_uri = http::Uri::from_static("/slots?day=2");
    let plain = subject(&uri, b"ab");
    let variants = [
        Subject {
            method: &http::Method::POST,
            ..plain
        },
        Subject {
            host: "api.example.org",
            ..plain
        },
        Subject {
            uri: &other_uri,
            ..plain
        },
        Subject {
            key: Some(0),
            ..plain
        },
        Subject {
            key: Some(1),
            ..plain
        },
        subject(&uri, b"abc"),
        subject(&uri, b""),
    ];
    let mut digests: Vec<_> = variants.iter().map(Subject::digest).collect();
    digests.push(plain.digest());
    digests.sort();
    digests.dedup();
    assert_eq!(digests.len(), variants.len() + 1);
    for host in ["API.example", "api.example:8080"] {
        assert_eq!(Subject { host, ..plain }.digest(), plain.digest());
    }
    let absolute = http::Uri::from_static("http://api.example/slots?day=1");
    assert_eq!(subject(&absolute, b"ab").digest(), plain.digest());
}

/// Guards against long bodies that differ in length, at their begin or at their end and
/// count as the same.
#[test]
fn digest_long_bodies() {
    let uri = http::Uri::from_static("/plans");
    let body = vec![7; 1 << 20];
    let plain = subject(&uri, &body).digest();
    for position in [0, 65_535, body.len() - 65_536, body.len() - 1] {
        let mut other = body.clone();
        other[position] = 8;
        assert_ne!(subject(&uri, &other).digest(), plain, "at {position}");
    }
    assert_ne!(subject(&uri, &body[1..]).digest(), plain);
}

/// Guards against a digest on a page that can't be given back to end its verdict.
#[test]
fn digest_text() {
    for digest in [Digest(0), Digest(0x00ab), Digest(u64::MAX)] {
        assert_eq!(digest.to_string().parse(), Ok(digest));
    }
    for text in [
        "",
        "ab",
        "+0000000000000ab",
        "000000000000000g",
        "00000000000000000",
    ] {
        assert!(text.parse::<Digest>().is_err(), "{text}");
    }
}
