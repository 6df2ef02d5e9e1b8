//! Reassembly of a completion from chunks that are reordered, duplicated or missing.

use jaysaddle_daemon::assembler::ChunkAssembler;
use jaysaddle_daemon::assembler::ChunkOutcome;
use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::engine::TokenChunk;
use jaysaddle_types::ids::RequestId;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 20_261_203;
const RUNS: u64 = 5_000;

fn request() -> RequestId {
    RequestId::new("entry-1.1.1")
}

fn chunk(offset: u32, tokens: u32) -> TokenChunk {
    let text: String = (offset..offset + tokens)
        .map(|token| format!(" {token}"))
        .collect();
    TokenChunk {
        request_id: request(),
        attempt: 1,
        offset,
        tokens,
        text: text.into(),
        ..TokenChunk::default()
    }
}

/// Chunks of a completion with the given sizes; the last one has the end marker.
fn chunks_of(sizes: &[u8]) -> Vec<TokenChunk> {
    let mut offset = 0;
    let mut chunks: Vec<TokenChunk> = sizes
        .iter()
        .map(|size| {
            let tokens = 1 + u32::from(size % 4);
            let chunk = chunk(offset, tokens);
            offset += tokens;
            chunk
        })
        .collect();
    if let Some(last) = chunks.last_mut() {
        last.finish = Some(FinishReason::Length);
    }
    chunks
}

fn complete_text(sizes: &[u8]) -> String {
    chunks_of(sizes)
        .iter()
        .map(|chunk| chunk.text.to_string())
        .collect()
}

fn check(property: fn(Vec<u8>, Vec<u8>) -> bool) {
    println!("seed {SEED}, {RUNS} runs");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(RUNS)
        .quickcheck(property);
}

/// Guards against wrong or truncated text when chunks are reordered, duplicated and mixed with
/// chunks of other requests or attempts.
#[test]
fn response_is_complete_in_any_order() {
    fn property(sizes: Vec<u8>, order: Vec<u8>) -> bool {
        if sizes.is_empty() {
            return true;
        }
        let mut chunks = chunks_of(&sizes);
        for (index, pick) in order.iter().enumerate() {
            let count = chunks.len();
            chunks.swap(index % count, usize::from(*pick) % count);
            let again = chunks[usize::from(*pick) % chunks.len()].clone();
            chunks.push(again);
            let mut unrelated = chunk(u32::from(*pick), 1);
            unrelated.request_id = RequestId::new("entry-1.1.2");
            chunks.push(unrelated);
            let mut late = chunk(u32::from(*pick), 1);
            late.attempt = 2;
            chunks.push(late);
        }
        let mut assembler = ChunkAssembler::new(request(), 1);
        let mut forwarded = String::new();
        for chunk in chunks {
            match assembler.push(chunk) {
                ChunkOutcome::Text(text) => forwarded.push_str(&text),
                ChunkOutcome::Unrelated => {}
                ChunkOutcome::Inconsistent => return false,
            }
        }
        assembler.finish() == Some(FinishReason::Length)
            && assembler.text() == complete_text(&sizes)
            && forwarded == complete_text(&sizes)
    }
    check(property);
}

/// Guards against a completion reported as complete although a chunk is missing.
#[test]
fn response_with_missing_chunk_is_incomplete() {
    fn property(sizes: Vec<u8>, picks: Vec<u8>) -> bool {
        let Some(pick) = picks.first() else {
            return true;
        };
        if sizes.is_empty() {
            return true;
        }
        let mut chunks = chunks_of(&sizes);
        chunks.remove(usize::from(*pick) % sizes.len());
        let mut assembler = ChunkAssembler::new(request(), 1);
        for chunk in chunks {
            assembler.push(chunk);
        }
        assembler.finish().is_none()
    }
    check(property);
}

/// Guards against duplicated or truncated text after a stream is resumed at its offset.
#[test]
fn resumed_response_is_complete() {
    fn property(sizes: Vec<u8>, picks: Vec<u8>) -> bool {
        if sizes.is_empty() {
            return true;
        }
        let mut assembler = ChunkAssembler::new(request(), 1);
        for pick in picks {
            let chunks = chunks_of(&sizes);
            let taken = usize::from(pick) % chunks.len();
            let from = assembler.tokens();
            for chunk in chunks
                .into_iter()
                .filter(|chunk| chunk.offset >= from)
                .take(taken)
            {
                assembler.push(chunk);
            }
            assembler.resume();
        }
        let from = assembler.tokens();
        for chunk in chunks_of(&sizes)
            .into_iter()
            .filter(|chunk| chunk.offset + chunk.tokens > from)
        {
            assembler.push(chunk);
        }
        // A stream resumed after the last token delivers only the end marker.
        if assembler.finish().is_none() {
            let mut end = chunk(assembler.tokens(), 0);
            end.finish = Some(FinishReason::Length);
            assembler.push(end);
        }
        assembler.finish().is_some() && assembler.text() == complete_text(&sizes)
    }
    check(property);
}

/// Guards against taking the end of another completion for the end of this one, and against accepting
/// an end marker that contradicts an earlier one.
#[test]
fn conflicting_end_marker_is_inconsistent() {
    let mut assembler = ChunkAssembler::new(request(), 1);
    let mut end = chunk(0, 4);
    end.finish = Some(FinishReason::Stop);
    assert_eq!(
        assembler.push(end),
        ChunkOutcome::Text(" 0 1 2 3".to_owned())
    );
    let mut other = chunk(4, 2);
    other.finish = Some(FinishReason::Stop);
    assert_eq!(assembler.push(other), ChunkOutcome::Inconsistent);
}
