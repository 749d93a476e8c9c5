//! Tests that membership datagrams are decoded as they were encoded and that damaged datagrams are
//! rejected.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use tallybridge_core::{InstanceId, NodeId};
use tallybridge_wire::{
    DIGEST_BUCKETS, Datagram, DatagramError, GossipHeader, GossipMessage, MAX_DATAGRAM_BYTES,
    ShortText, WirePlacement, WireUpdate, decode_datagram, encode_datagram,
};

fn node() -> impl Strategy<Value = NodeId> {
    (any::<std::net::IpAddr>(), any::<u16>(), any::<u64>()).prop_map(|(ip, port, instance)| {
        NodeId {
            address: (ip, port).into(),
            instance: InstanceId(instance),
        }
    })
}

fn header() -> impl Strategy<Value = GossipHeader> {
    (node(), any::<u32>(), any::<bool>(), any::<[u64; 3]>()).prop_map(
        |(sender, incarnation, leaving, [revision, partition_epoch, table_digest])| GossipHeader {
            sender: sender.into(),
            incarnation,
            leaving: u8::from(leaving),
            revision,
            partition_epoch,
            table_digest,
        },
    )
}

fn message() -> impl Strategy<Value = GossipMessage> {
    let buckets = proptest::collection::vec(any::<u32>(), DIGEST_BUCKETS);
    prop_oneof![
        any::<u32>().prop_map(|sequence| GossipMessage::Ping { sequence }),
        any::<u32>().prop_map(|sequence| GossipMessage::Ack { sequence }),
        any::<u32>().prop_map(|sequence| GossipMessage::Nack { sequence }),
        (any::<u32>(), node()).prop_map(|(sequence, node)| GossipMessage::PingRequest {
            sequence,
            target: node.address.into(),
        }),
        (any::<u32>(), node(), any::<u32>()).prop_map(|(sequence, node, incarnation)| {
            GossipMessage::IndirectAck {
                sequence,
                responder: node.into(),
                incarnation,
                leaving: 1,
            }
        }),
        Just(GossipMessage::Gossip),
        buckets.prop_map(|buckets| GossipMessage::TableCompare { buckets }),
        (any::<u64>(), any::<u64>()).prop_map(|(first, last)| GossipMessage::TableRange {
            first,
            last,
            answer_wanted: 1,
        }),
    ]
}

fn placement() -> impl Strategy<Value = WirePlacement> {
    proptest::array::uniform4("[a-z0-9-]{0,12}").prop_map(|[service, region, zone, rack]| {
        WirePlacement {
            service: ShortText::new(&service),
            region: ShortText::new(&region),
            zone: ShortText::new(&zone),
            rack: ShortText::new(&rack),
        }
    })
}

fn update() -> impl Strategy<Value = WireUpdate> {
    let placement = proptest::option::of(placement());
    (node(), any::<u32>(), 0..4u8, any::<u32>(), placement).prop_map(
        |(node, incarnation, health, reporter, placement)| {
            WireUpdate::new(node, incarnation, health, true, reporter, placement)
        },
    )
}

fn datagram() -> impl Strategy<Value = Datagram> {
    let updates = proptest::collection::vec(update(), 0..8);
    (header(), message(), updates)
        .prop_map(|(header, message, updates)| Datagram::new(header, message, updates))
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0xda7a),
        ..Config::default()
    })]

    #[test]
    fn decodes_encoded_datagram(datagram in datagram()) {
        let bytes = encode_datagram(&datagram).expect("the datagram fits");
        prop_assert_eq!(bytes.len(), datagram.encoded_len());
        prop_assert_eq!(decode_datagram(&bytes), Ok(datagram));
    }

    #[test]
    fn rejects_datagram_with_flipped_bit(datagram in datagram(), position in any::<prop::sample::Index>()) {
        let mut bytes = encode_datagram(&datagram).expect("the datagram fits");
        let bit = position.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(decode_datagram(&bytes).is_err());
    }

    #[test]
    fn rejects_truncated_datagram(datagram in datagram(), position in any::<prop::sample::Index>()) {
        let bytes = encode_datagram(&datagram).expect("the datagram fits");
        let length = position.index(bytes.len());
        prop_assert!(decode_datagram(&bytes[..length]).is_err());
    }

    #[test]
    fn reencodes_any_decodable_payload(payload in any::<Vec<u8>>()) {
        let mut bytes = vec![tallybridge_wire::PROTOCOL_VERSION];
        bytes.extend(crc32fast::hash(&payload).to_be_bytes());
        bytes.extend(payload);
        if let Ok(datagram) = decode_datagram(&bytes) {
            prop_assert_eq!(encode_datagram(&datagram), Ok(bytes));
        }
    }
}

#[test]
fn rejects_oversized_datagram() {
    let text = ShortText::new(&"x".repeat(300));
    let node = NodeId {
        address: ([127, 0, 0, 1], 1).into(),
        instance: InstanceId(1),
    };
    let placement = WirePlacement {
        service: text.clone(),
        region: text.clone(),
        zone: text.clone(),
        rack: text,
    };
    let update = WireUpdate::new(node, 1, 0, false, 0, Some(placement));
    let header = GossipHeader {
        sender: node.into(),
        incarnation: 1,
        leaving: 0,
        revision: 0,
        partition_epoch: 0,
        table_digest: 0,
    };
    let datagram = Datagram::new(header, GossipMessage::Gossip, vec![update.clone(), update]);
    let length = datagram.encoded_len();
    assert!(length > MAX_DATAGRAM_BYTES);
    let expected = Err(DatagramError::TooLarge(length));
    assert_eq!(encode_datagram(&datagram), expected);
}
