//! Benchmarks encoding and decoding of a frame that carries a body chunk of maximum size.

use std::hint::black_box;

use bytes::BytesMut;
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use tallybridge_wire::{BodyChunk, Frame, FrameCodec, Message, StreamId};
use tokio_util::codec::{Decoder, Encoder};

fn body_chunk(criterion: &mut Criterion) {
    let frame = Frame::new(
        StreamId(1),
        Message::Chunk(BodyChunk::new(&vec![7; BodyChunk::MAX_BYTES])),
    );
    let mut encoded = BytesMut::new();
    FrameCodec
        .encode(frame.clone(), &mut encoded)
        .expect("the frame encodes");
    let mut group = criterion.benchmark_group("body chunk");
    group.throughput(Throughput::Bytes(BodyChunk::MAX_BYTES as u64));
    group.bench_function("encode", |bencher| {
        bencher.iter(|| {
            let mut buffer = BytesMut::new();
            FrameCodec
                .encode(black_box(frame.clone()), &mut buffer)
                .expect("the frame encodes");
            buffer
        });
    });
    group.bench_function("decode", |bencher| {
        bencher.iter(|| {
            let mut buffer = black_box(encoded.clone());
            FrameCodec.decode(&mut buffer).expect("the frame decodes")
        });
    });
    group.finish();
}

criterion_group!(benches, body_chunk);
criterion_main!(benches);
