//! Validation of manifests and of versions built from pieces.

use std::sync::Arc;

use endivelanding::ResultCode::{
    self, ManifestDigestMismatch, ManifestDuplicateName, ManifestInheritanceCycle,
    ManifestMissingKind, ManifestMissingService, ManifestOutOfRange, ManifestSyntax,
    ManifestTooLarge, ManifestUnknownField, ManifestUnreachableService,
};
use endivelanding::manifest::{EncodedPiece, Manifest};
use endivelanding::version::{ContentDigest, VersionStamp};
use proptest::prelude::*;

const KIND: &str = r#"{"name":"price","idempotent":true,"weight":5,"deadline_ms":300,"long":false,"objective":0.999}"#;

fn valid() -> String {
    format!(
        r#"{{"number":7,"services":[
        {{"name":"base","protocol":"http1","slots":6,"connections":130,"kinds":[{KIND}]}},
        {{"name":"ratecard","inherits":"base","slots":8}}],
        "routes":[{{"method":"GET","prefix":"/price","service":"ratecard","kind":"price"}}]}}"#
    )
}

/// Guards against an invalid manifest being accepted, or refused with the wrong result code.
#[test]
fn bad_manifests_are_refused_with_their_code() {
    let route = r#"{"method":"GET","prefix":"/price","service":"ratecard","kind":"price"}"#;
    let cases: &[(&str, &str, ResultCode)] = &[
        ("\"number\":7", "\"number\":", ManifestSyntax),
        ("\"number\":7", "\"number\":\"7\"", ManifestSyntax),
        ("\"number\":7", "\"number\":7,\"number\":8", ManifestSyntax),
        ("\"number\":7,", "", ManifestSyntax),
        ("\"number\":7", "\"numbr\":7", ManifestUnknownField),
        ("\"slots\":8", "\"slot\":8", ManifestUnknownField),
        ("\"long\"", "\"longer\"", ManifestUnknownField),
        ("\"prefix\"", "\"path\"", ManifestUnknownField),
        (
            "\"service\":\"ratecard\"",
            "\"service\":\"none\"",
            ManifestMissingService,
        ),
        (
            "\"inherits\":\"base\"",
            "\"inherits\":\"none\"",
            ManifestMissingService,
        ),
        ("\"protocol\":\"http1\",", "", ManifestUnreachableService),
        (
            "\"protocol\":\"http1\"",
            "\"protocol\":\"h9\"",
            ManifestUnreachableService,
        ),
        ("\"slots\":6,", "", ManifestUnreachableService),
        ("\"connections\":130,", "", ManifestUnreachableService),
        (
            "\"base\",\"protocol\"",
            "\"base\",\"inherits\":\"ratecard\",\"protocol\"",
            ManifestInheritanceCycle,
        ),
        (
            "\"inherits\":\"base\"",
            "\"inherits\":\"ratecard\"",
            ManifestInheritanceCycle,
        ),
        (
            "\"name\":\"ratecard\"",
            "\"name\":\"base\"",
            ManifestDuplicateName,
        ),
        (KIND, &format!("{KIND},{KIND}"), ManifestDuplicateName),
        (route, &format!("{route},{route}"), ManifestDuplicateName),
        ("\"number\":7", "\"number\":0", ManifestOutOfRange),
        ("\"number\":7", "\"number\":-1", ManifestOutOfRange),
        (
            "\"number\":7",
            "\"number\":18446744073709551616",
            ManifestOutOfRange,
        ),
        ("\"number\":7", "\"number\":1e999", ManifestOutOfRange),
        ("\"slots\":8", "\"slots\":0", ManifestOutOfRange),
        ("\"slots\":8", "\"slots\":1025", ManifestOutOfRange),
        ("\"slots\":8", "\"slots\":1.5", ManifestOutOfRange),
        (
            "\"connections\":130",
            "\"connections\":65536",
            ManifestOutOfRange,
        ),
        ("\"weight\":5", "\"weight\":1001", ManifestOutOfRange),
        ("\"weight\":5", "\"weight\":4294967297", ManifestOutOfRange),
        (
            "\"deadline_ms\":300",
            "\"deadline_ms\":600001",
            ManifestOutOfRange,
        ),
        ("\"objective\":0.999", "\"objective\":1", ManifestOutOfRange),
        (
            "\"objective\":0.999",
            "\"objective\":0.4",
            ManifestOutOfRange,
        ),
        (
            "\"name\":\"ratecard\"",
            "\"name\":\"Rate Card\"",
            ManifestOutOfRange,
        ),
        ("\"GET\"", "\"get\"", ManifestOutOfRange),
        ("\"/price\"", "\"price\"", ManifestOutOfRange),
        ("\"/price\"", "\"/price/\"", ManifestOutOfRange),
        (
            "\"kind\":\"price\"",
            "\"kind\":\"none\"",
            ManifestMissingKind,
        ),
    ];
    assert!(Manifest::decode(valid().as_bytes()).is_ok());
    for (from, to, code) in cases {
        let text = valid().replacen(from, to, 1);
        assert_ne!(text, valid(), "{from} does not occur");
        let result = Manifest::decode(text.as_bytes()).map(|manifest| manifest.stamp());
        assert_eq!(
            result.map_err(|error| error.code()),
            Err(*code),
            "{from} -> {to}"
        );
    }
    let large = valid() + &" ".repeat(1024 * 1024);
    let result = Manifest::decode(large.as_bytes()).unwrap_err();
    assert_eq!(result.code(), ManifestTooLarge);
    let many: Vec<_> = (0..17)
        .map(|n| KIND.replace("price", &format!("k{n}")))
        .collect();
    let text = valid().replace(KIND, &many.join(","));
    assert_eq!(
        Manifest::decode(text.as_bytes()).unwrap_err().code(),
        ManifestOutOfRange
    );
}

/// Guards against a prefix matching part of a segment, or taking precedence over a longer one.
#[test]
fn longest_whole_segment_prefix_wins() {
    let more = r#""routes":[{"method":"GET","prefix":"/","service":"base","kind":"price"},
        {"method":"GET","prefix":"/price/old","service":"base","kind":"price"},"#;
    let manifest = Manifest::decode(valid().replace("\"routes\":[", more).as_bytes()).unwrap();
    let prefix = |method, path| {
        manifest
            .lookup(method, path)
            .map(|matched| matched.route.prefix.clone())
    };
    for (path, expected) in [
        ("/price", "/price"),
        ("/price/", "/price"),
        ("/price?x=/price/old", "/price"),
        ("/price/old/3", "/price/old"),
        ("/price/older", "/price"),
        ("/prices", "/"),
        ("/", "/"),
    ] {
        assert_eq!(prefix("GET", path).as_deref(), Some(expected), "{path}");
    }
    assert_eq!(prefix("POST", "/price"), None);
    assert_eq!(manifest.lookup("GET", "/price").unwrap().service.slots.0, 8);
}

/// Creates a manifest whose services have the given slots; a zero omits the service.
fn manifest_of(number: u64, slots: &[u32]) -> Manifest {
    let (mut services, mut routes) = (Vec::new(), Vec::new());
    for (n, slots) in slots.iter().enumerate().filter(|(_, slots)| **slots > 0) {
        services.push(format!(r#"{{"name":"s{n}","protocol":"http1","slots":{slots},"connections":9,"kinds":[{KIND}]}}"#));
        routes.push(format!(
            r#"{{"method":"GET","prefix":"/s{n}","service":"s{n}","kind":"price"}}"#
        ));
    }
    let text = format!(
        r#"{{"number":{number},"services":[{}],"routes":[{}]}}"#,
        services.join(","),
        routes.join(",")
    );
    Manifest::decode(text.as_bytes()).unwrap()
}

proptest! {
    /// Guards against panics of the decoder on corrupted or truncated input.
    #[test]
    fn decoder_never_panics(at in 0usize..400, byte in any::<u8>(), cut in 0usize..400) {
        let mut bytes = valid().into_bytes();
        let last = bytes.len() - 1;
        bytes[at.min(last)] = byte;
        let _ = Manifest::decode(&bytes);
        bytes.truncate(cut % last);
        prop_assert!(Manifest::decode(&bytes).is_err());
    }

    /// Guards against a delta that does not produce its target version.
    #[test]
    fn delta_round_trip(old in prop::collection::vec(0u32..4, 6), new in prop::collection::vec(0u32..4, 6)) {
        let (older, newer) = (manifest_of(1, &old), manifest_of(2, &new));
        let mut delta = older.delta_to(&newer);
        let result = older.apply_delta(&delta).unwrap();
        prop_assert_eq!(result.stamp(), newer.stamp());
        prop_assert_eq!(result.index(), newer.index());
        for (name, piece) in result.pieces() {
            let held = older.pieces().get(name);
            let same = held.is_some_and(|held| held.digest == piece.digest);
            prop_assert_eq!(same, held.is_some_and(|held| Arc::ptr_eq(held, piece)));
            let path = format!("/{name}/x");
            prop_assert!(result.lookup("GET", &path).is_some());
        }
        if let Some(blob) = delta.changed.first_mut() {
            *blob.bytes.last_mut().unwrap() ^= 1;
            prop_assert_eq!(older.apply_delta(&delta).unwrap_err().code(), ManifestDigestMismatch);
        }
    }

    /// Guards against a version order that differs between nodes.
    #[test]
    fn stamps_order_by_number_then_digest(a in any::<(u64, [u8; 16])>(), b in any::<(u64, [u8; 16])>()) {
        let stamp = |(number, digest)| VersionStamp { number, digest: ContentDigest(digest) };
        prop_assert_eq!(stamp(a).cmp(&stamp(b)), a.cmp(&b));
        let text: VersionStamp = stamp(a).to_string().parse().unwrap();
        prop_assert_eq!(text, stamp(a));
    }
}

/// Guards against accepting pieces that match the digest but do not form a valid version.
#[test]
fn pieces_are_validated_again() {
    let manifest = manifest_of(1, &[1, 1]);
    let pieces = manifest.pieces().values().map(|piece| {
        let mut piece = piece.piece.clone();
        piece.routes[0].prefix = "/same".into();
        Arc::new(EncodedPiece::encode(piece).unwrap())
    });
    let pieces: Vec<_> = pieces.collect();
    let entries = pieces
        .iter()
        .map(|piece| (piece.piece.service.name.clone(), piece.digest));
    let index = endivelanding::manifest::PieceIndex::new(entries.collect());
    let stamp = VersionStamp {
        number: 2,
        digest: index.digest(),
    };
    let result = Manifest::from_pieces(stamp, pieces).unwrap_err();
    assert_eq!(result.code(), ManifestDuplicateName);
}
