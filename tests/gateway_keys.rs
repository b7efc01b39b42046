//! Tests of the key table's encoding.

use std::collections::BTreeMap;

use pistachiomoor::gateway::adapter;
use pistachiomoor::gateway::keys;
use pistachiomoor::model;

fn owner(name: &str, birth: u64) -> keys::Owner {
    keys::Owner {
        target: name.into(),
        birth,
    }
}

/// Guards against accepting a table with gaps or overlaps from the log.
#[test]
fn decode_gap_and_overlap() {
    let run = |first, last| keys::Run {
        range: adapter::KeyRange { first, last },
        ..keys::Run::unowned()
    };
    let table = |runs| keys::Table {
        host: "h".into(),
        incarnation: model::Incarnation(1),
        services: BTreeMap::from([("s".into(), runs)]),
        quorums: Vec::new(),
    };
    let sound = table(vec![run(0, 99), run(100, u16::MAX)]);
    assert_eq!(keys::Table::decode(&sound.encode()), Ok(sound.clone()));
    assert_eq!(sound.run_of(&"s".into(), 100).unwrap().range.first, 100);
    for runs in [
        vec![],
        vec![run(0, 99), run(101, u16::MAX)],
        vec![run(0, 100), run(100, u16::MAX)],
        vec![run(0, 99)],
        vec![run(0, u16::MAX), run(0, u16::MAX)],
    ] {
        let bytes = table(runs).encode();
        assert!(keys::Table::decode(&bytes).is_err());
    }
    assert!(keys::Table::decode(b"x").is_err());
}

/// Guards against an encoding that repeats names of targets and fields, and against
/// owners that differ after decoding.
#[test]
fn encode_forty_runs() {
    let owner_at = |i: usize, age| {
        let name = format!("target-{:02}.zone-a", i % 12);
        Some(owner(&name, 1_790_000_000_000 + i as u64 % 12 * 977 - age))
    };
    let run = |i: usize| keys::Run {
        range: adapter::KeyRange {
            first: i as u16 * 1_600,
            last: if i == 39 {
                u16::MAX
            } else {
                i as u16 * 1_600 + 1_599
            },
        },
        owner: owner_at(i, 0),
        fence: 40_000 + i as u64,
        previous_owner: if i.is_multiple_of(8) {
            owner_at(i + 5, 0)
        } else {
            None
        },
    };
    let mut table = keys::Table {
        host: "host-1.zone-a".into(),
        incarnation: model::Incarnation(u64::MAX),
        services: BTreeMap::from([("service".into(), (0..40).map(run).collect())]),
        quorums: Vec::new(),
    };
    let bytes = table.encode();
    assert!(bytes.len() < 1_024, "{} bytes", bytes.len());
    assert_eq!(keys::Table::decode(&bytes), Ok(table.clone()));
    // An earlier incarnation of a target is another owner with the same name.
    let runs = table.services.get_mut(&"service".into()).unwrap();
    (runs[0].previous_owner, runs[1].owner) = (owner_at(0, 5), None);
    assert_eq!(keys::Table::decode(&table.encode()), Ok(table));
}

/// Guards against an owner index out of range that is decoded as "no owner".
#[test]
fn decode_index_out_of_range() {
    type Run = (u16, u16, Option<u32>, u64, Option<u32>);
    let table = |target: u32, run: Run| {
        let services = BTreeMap::from([("s", vec![run])]);
        let wire = ("h", 1_u64, vec!["a"], vec![(target, 1_u64)], services);
        keys::Table::decode(&rmp_serde::to_vec(&wire).unwrap())
    };
    let sound = table(0, (0, u16::MAX, Some(0), 1, None)).unwrap();
    let run = sound.run_of(&"s".into(), 7).unwrap();
    assert_eq!(run.owner, Some(owner("a", 1)));
    for (target, run, place) in [
        (1, (0, u16::MAX, None, 1, None), "/owners/0/target"),
        (0, (0, u16::MAX, Some(1), 1, None), "/services/s/0/owner"),
        (0, (0, u16::MAX, None, 1, Some(1)), "/services/s/0/prior"),
    ] {
        let findings = table(target, run).unwrap_err();
        let text = findings.to_string();
        assert!(
            text.contains(&format!(
                "table, {place}: expected an index below 1, found 1"
            )),
            "{text}"
        );
    }
}

/// Guards against a table that was decided on before the log was restored and counts as one
/// of the present era.
#[test]
fn record_offset_eras() {
    let at = |era, number| model::Offset::new(era, number).expect("an offset");
    let offset = |key: &str, offset| {
        keys::record_offset(&adapter::Record {
            offset,
            key: key.into(),
            value: None,
        })
    };
    assert_eq!(offset(&keys::record_key(2), at(2, 7)), at(2, 7));
    assert_eq!(offset(&keys::record_key(1), at(2, 7)), at(1, 7));
    assert_eq!(offset("table", at(2, 7)), at(0, 7));
    assert_eq!(offset("table.x", at(2, 7)), at(0, 7));
    assert_eq!(offset(&keys::record_key(3), at(2, 7)), at(2, 7));
}

/// Guards against lists of voters that are lost or taken for targets, and against a table that
/// processes of an earlier version can't decode, or that this one can't decode from them.
#[test]
fn decode_quorums() {
    type Run = (u16, u16, Option<u32>, u64, Option<u32>);
    type Earlier = (
        String,
        u64,
        Vec<String>,
        Vec<(u32, u64)>,
        BTreeMap<String, Vec<Run>>,
    );
    let voters = |hosts: &[&str]| hosts.iter().map(|host| (*host).into()).collect();
    let mut table = keys::Table {
        host: "h".into(),
        incarnation: model::Incarnation(1),
        services: BTreeMap::from([(
            "s".into(),
            vec![keys::Run {
                owner: Some(owner("a", 1)),
                ..keys::Run::unowned()
            }],
        )]),
        quorums: vec![voters(&["h", "a"]), voters(&[]), voters(&["b"])],
    };
    assert_eq!(keys::Table::decode(&table.encode()), Ok(table.clone()));
    let earlier: Earlier = rmp_serde::from_slice(&table.encode()).expect("the earlier layout");
    assert_eq!(earlier.2, ["a", "", "a", "h", "", "", "b"]);
    assert_eq!(earlier.3, [(0, 1)]);
    table.quorums = Vec::new();
    let (host, incarnation, _, owners, services) = earlier;
    let earlier: Earlier = (host, incarnation, vec!["a".to_owned()], owners, services);
    let bytes = rmp_serde::to_vec(&earlier).expect("plain fields");
    assert_eq!(keys::Table::decode(&bytes), Ok(table));
    let (host, incarnation, _, _, services) = earlier;
    let names = vec!["a".to_owned(), String::new(), "h".to_owned()];
    let voter: Earlier = (host, incarnation, names, vec![(2, 1)], services);
    let bytes = rmp_serde::to_vec(&voter).expect("plain fields");
    assert!(keys::Table::decode(&bytes).is_err(), "a voter as an owner");
}
