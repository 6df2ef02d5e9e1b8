//! Generates prompts: shared system prompts followed by conversations that grow.

use std::sync::Arc;

/// SplitMix64 pseudorandom number generator.
#[derive(Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    pub fn next_below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    fn next_unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn next_exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.next_unit()).ln() * mean
    }
}

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

const APPLICATIONS: u64 = 12;
const SYSTEM_BLOCKS: u64 = 16;
const BLOCKS_PER_TURN: u64 = 2;
const TURNS: usize = 8;
const CONVERSATIONS: usize = 400;
/// Percentage of requests that continue a conversation.
const CONTINUED_PERCENT: u64 = 65;

/// Generator of prompts and the conversations that it may continue.
pub struct Workload {
    pub random: Random,
    conversations: Vec<Vec<u64>>,
    started: u64,
}

impl Workload {
    pub fn new(seed: u64) -> Self {
        Self {
            random: Random(seed),
            conversations: Vec::new(),
            started: 0,
        }
    }

    /// Returns the block hashes of the next prompt; each hash covers the blocks before it.
    pub fn prompt(&mut self) -> Arc<[u64]> {
        let continued =
            self.random.next_below(100) < CONTINUED_PERCENT && !self.conversations.is_empty();
        let position = if continued {
            self.random.next_below(self.conversations.len() as u64) as usize
        } else {
            self.start_conversation()
        };
        let conversation = &mut self.conversations[position];
        let turns = conversation.len() as u64 - SYSTEM_BLOCKS;
        self.started += 1;
        for block in 0..BLOCKS_PER_TURN {
            let last = conversation.last().copied().unwrap_or_default();
            conversation.push(mix(last ^ (self.started << 8) ^ block));
        }
        let prompt = conversation.as_slice().into();
        if turns / BLOCKS_PER_TURN >= TURNS as u64 {
            self.conversations.swap_remove(position);
        }
        prompt
    }

    fn start_conversation(&mut self) -> usize {
        // The lower of two draws makes some applications much more frequent than others.
        let application = self
            .random
            .next_below(APPLICATIONS)
            .min(self.random.next_below(APPLICATIONS));
        let system = (0..SYSTEM_BLOCKS).map(|block| mix((application << 32) | (block + 1)));
        if self.conversations.len() >= CONVERSATIONS {
            let dropped = self.random.next_below(self.conversations.len() as u64) as usize;
            self.conversations.swap_remove(dropped);
        }
        self.conversations.push(system.collect());
        self.conversations.len() - 1
    }
}
