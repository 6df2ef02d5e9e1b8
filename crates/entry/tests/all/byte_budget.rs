//! Limit on the memory of all responses.

use jaysaddle_entry::byte_budget::ByteBudget;
use jaysaddle_types::units::ByteCount;

const LIMIT: usize = 1 << 20;

fn budget() -> std::sync::Arc<ByteBudget> {
    ByteBudget::new(ByteCount(LIMIT as u64))
}

/// Guards against a single response that takes all memory, and against memory that is not given back.
#[test]
fn one_holder_takes_half_and_gives_it_back() {
    let budget = budget();
    let mut holder = budget.holder();
    assert_eq!(holder.resize(LIMIT / 2), Ok(()));
    assert!(holder.resize(LIMIT / 2 + 1).is_err());
    assert_eq!(budget.held(), ByteCount(LIMIT as u64 / 2));
    assert_eq!(holder.resize(10), Ok(()));
    assert_eq!(budget.held(), ByteCount(10));
    drop(holder);
    assert_eq!(budget.held(), ByteCount(0));
}

/// Guards against small responses that fail because many large ones take all memory.
#[test]
fn many_large_holders_leave_room_for_small_ones() {
    const COUNT: usize = 20;
    const STEP: usize = 1 << 10;
    let budget = budget();
    let mut holders: Vec<_> = (0..COUNT).map(|_| (budget.holder(), 0)).collect();
    let mut has_grown = true;
    while has_grown {
        has_grown = false;
        for (holder, bytes) in &mut holders {
            if holder.resize(*bytes + STEP).is_ok() {
                *bytes += STEP;
                has_grown = true;
            }
        }
    }
    let free = LIMIT - usize::try_from(budget.held().0).expect("fits in usize");
    assert!(free >= LIMIT / (COUNT + 1), "{free} bytes are free");
    assert_eq!(budget.holder().resize(free / 2), Ok(()));
}
