//! Messages between daemons; sockets are tested over loopback.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use crossbeam::channel;
use pistachiomoor::lease;
use pistachiomoor::model;
use pistachiomoor::peer;
use pistachiomoor::token;
use serde::Serialize;

const ACK_TIMEOUT: Duration = Duration::from_secs(10);

fn heartbeat(leases: u64) -> lease::Heartbeat {
    lease::Heartbeat {
        from: model::Incarnation(u64::MAX - 1),
        to: model::Incarnation(u64::MAX - 2),
        sequence: 100_000,
        seen: model::Offset(5_000_000),
        leases: (0..leases)
            .map(|n| model::Offset(4_000_000 + 300 * n))
            .collect(),
        spans: (0..leases).map(|n| 1_000 + 3_000 * n).collect(),
    }
}

fn ack(heartbeat: &lease::Heartbeat) -> lease::Ack {
    lease::Ack {
        from: heartbeat.to,
        to: heartbeat.from,
        sequence: heartbeat.sequence,
        seen: heartbeat.seen,
        leases: heartbeat.leases.clone(),
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

#[test]
fn datagram_round_trip() {
    // Fails if a field is lost or swapped on the wire.
    let heartbeat = heartbeat(3);
    let ack = peer::Datagram::Ack(ack(&heartbeat));
    for datagram in [peer::Datagram::Heartbeat(heartbeat), ack] {
        let bytes = datagram.encode().unwrap();
        assert_eq!(peer::Datagram::decode(&bytes).unwrap(), datagram);
    }
}

#[test]
fn datagram_size() {
    // Fails if 10 heartbeats and 10 acknowledgements per second for 10 targets
    // exceed the limit of 3 KB/s, IP and UDP headers of 28 bytes included.
    let heartbeat = heartbeat(10);
    let answer = peer::Datagram::Ack(ack(&heartbeat)).encode().unwrap();
    let beat = peer::Datagram::Heartbeat(heartbeat).encode().unwrap();
    let bytes_per_second = 10 * (beat.len() + 28) + 10 * (answer.len() + 28);
    assert!(bytes_per_second <= 3_000, "{bytes_per_second} bytes/s");
}

#[test]
fn datagram_equal_spans() {
    // Fails if equal spans are encoded once per lease or are lost on the wire.
    let mut equal = heartbeat(160);
    equal.spans = vec![2_000; 160];
    let mut none = equal.clone();
    none.spans.clear();
    let [equal, none] = [equal, none].map(peer::Datagram::Heartbeat);
    let bytes = equal.encode().unwrap();
    assert_eq!(peer::Datagram::decode(&bytes).unwrap(), equal);
    assert!(bytes.len() <= none.encode().unwrap().len() + 8);
}

#[test]
fn datagram_other_version() {
    // Fails if an unknown or missing field makes a datagram malformed.
    #[derive(Serialize)]
    enum Wire {
        #[serde(rename = "hb")]
        Heartbeat(Message),
    }
    #[derive(Serialize)]
    struct Message {
        from: u64,
        to: u64,
        seq: u64,
        colour: Vec<&'static str>,
    }
    let message = Message {
        from: 1,
        to: 2,
        seq: 3,
        colour: vec!["red"],
    };
    let bytes = rmp_serde::to_vec_named(&Wire::Heartbeat(message)).unwrap();
    let Ok(peer::Datagram::Heartbeat(read)) = peer::Datagram::decode(&bytes) else {
        panic!("not decoded");
    };
    assert_eq!((read.sequence, read.leases.len()), (3, 0));
    assert!(read.spans.is_empty());
}

#[test]
fn datagram_offset_overflow() {
    // Fails if an offset beyond 64 bits wraps around or panics.
    let mut heartbeat = heartbeat(2);
    heartbeat.leases = vec![model::Offset(9), model::Offset(3)];
    let bytes = peer::Datagram::Heartbeat(heartbeat).encode().unwrap();
    let error = peer::Datagram::decode(&bytes).unwrap_err();
    assert!(matches!(error, peer::Error::Invalid(_)), "{error}");
}

#[test]
fn datagrams_loopback() {
    // Fails if heartbeats are not sent or answered, or a malformed datagram ends the thread.
    let token = token::Token::new();
    let answer = |_, datagram| match datagram {
        peer::Datagram::Heartbeat(heartbeat) => Some(peer::Datagram::Ack(ack(&heartbeat))),
        peer::Datagram::Ack(_) => None,
    };
    let backup = peer::Datagrams::start(loopback(), token.child(), answer, Vec::new).unwrap();
    let to = backup.address();
    let garbage = UdpSocket::bind(loopback()).unwrap();
    garbage.send_to(b"\xc1 not a message", to).unwrap();
    garbage.send_to(&[], to).unwrap();
    let (sender, acks) = channel::unbounded();
    let receive = move |from, datagram| {
        let _ = sender.send((from, datagram));
        None
    };
    let tick = move || vec![(to, peer::Datagram::Heartbeat(heartbeat(10)))];
    let holder = peer::Datagrams::start(loopback(), token.child(), receive, tick).unwrap();
    let (from, datagram) = acks.recv_timeout(ACK_TIMEOUT).unwrap();
    assert_eq!(from, to);
    assert_eq!(datagram, peer::Datagram::Ack(ack(&heartbeat(10))));
    token.cancel();
    assert_eq!(holder.counts().failed, 0);
    let (sent, received) = (holder.join().unwrap(), backup.join().unwrap());
    assert!(sent.sent >= 1 && sent.sent_bytes >= sent.sent);
    assert!(received.received_bytes >= 50 && received.sent >= 1);
    assert_eq!((received.malformed, received.failed), (2, 0));
}

#[test]
fn messages_other_version() {
    // Fails if a message of an older or newer daemon can't be decoded.
    #[derive(Serialize)]
    struct Other {
        from: u64,
        to: u64,
        next: u64,
        snapshot: peer::Blob,
        colour: Option<&'static str>,
    }
    let other = Other {
        from: 1,
        to: 2,
        next: 7,
        snapshot: peer::Blob(vec![0xff; 3]),
        colour: Some("red"),
    };
    let bytes = peer::encode(&other).unwrap();
    let handover: peer::Handover = peer::decode(&bytes).unwrap();
    assert_eq!(
        (handover.next, handover.leases.len()),
        (model::Offset(7), 0)
    );
    let state: peer::StateReply = peer::decode(&bytes).unwrap();
    assert_eq!((state.least, state.snapshot), (0, other.snapshot));
    let records: peer::RecordsReply = peer::decode(&bytes).unwrap();
    assert_eq!((records.first, records.records), (model::Offset(0), vec![]));
    assert!(peer::decode::<peer::Handover>(b"\x93").is_err());
}

#[test]
fn records_reply_gap() {
    // Fails if a gap between records is not detected, or bytes are encoded as a list of numbers.
    let record = |offset| peer::Record {
        offset: model::Offset(offset),
        data: peer::Blob(vec![0xff; 1_000]),
    };
    let mut reply = peer::RecordsReply {
        from: model::Incarnation(1),
        first: model::Offset(0),
        next: model::Offset(9),
        records: vec![record(7), record(8)],
    };
    let bytes = peer::encode(&reply).unwrap();
    assert!(bytes.len() < 2_100, "{} bytes", bytes.len());
    assert_eq!(peer::decode::<peer::RecordsReply>(&bytes).unwrap(), reply);
    assert_eq!(reply.records_from(model::Offset(7)).unwrap().len(), 2);
    assert!(reply.records_from(model::Offset(6)).is_err());
    reply.next = model::Offset(8);
    assert!(reply.records_from(model::Offset(7)).is_err());
}
