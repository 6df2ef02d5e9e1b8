//! Prompts: shared system prompts followed by conversations that grow.

use std::sync::Arc;

/// SplitMix64.
#[derive(Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.unit()).ln() * mean
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
/// Requests out of 100 that continue a conversation.
const CONTINUED: u64 = 65;

/// Conversations that are open.
pub struct Workload {
    pub random: Random,
    open: Vec<Vec<u64>>,
    started: u64,
}

impl Workload {
    pub fn new(seed: u64) -> Self {
        Self {
            random: Random(seed),
            open: Vec::new(),
            started: 0,
        }
    }

    /// Hashes of the next prompt's blocks, each covering those before it.
    pub fn prompt(&mut self) -> Arc<[u64]> {
        let continued = self.random.below(100) < CONTINUED && !self.open.is_empty();
        let position = if continued {
            self.random.below(self.open.len() as u64) as usize
        } else {
            self.start()
        };
        let conversation = &mut self.open[position];
        let turns = conversation.len() as u64 - SYSTEM_BLOCKS;
        self.started += 1;
        for block in 0..BLOCKS_PER_TURN {
            let last = conversation.last().copied().unwrap_or_default();
            conversation.push(mix(last ^ (self.started << 8) ^ block));
        }
        let prompt = conversation.as_slice().into();
        if turns / BLOCKS_PER_TURN >= TURNS as u64 {
            self.open.swap_remove(position);
        }
        prompt
    }

    fn start(&mut self) -> usize {
        // The lower of two draws: some applications are used much more than others.
        let application = self
            .random
            .below(APPLICATIONS)
            .min(self.random.below(APPLICATIONS));
        let system = (0..SYSTEM_BLOCKS).map(|block| mix((application << 32) | (block + 1)));
        if self.open.len() >= CONVERSATIONS {
            let oldest = self.random.below(self.open.len() as u64) as usize;
            self.open.swap_remove(oldest);
        }
        self.open.push(system.collect());
        self.open.len() - 1
    }
}
