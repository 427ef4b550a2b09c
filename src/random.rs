//! Random numbers and hashes. `Rng` is the only source of random numbers, seeded by the caller.

/// Random number generator: multiply-with-carry (Marsaglia, lag 1, 32 bits).
#[derive(Clone, Debug, Default)]
pub struct Rng(u64);

impl Rng {
    /// Mixes the seed, as the first draws of consecutive seeds in a fleet would be almost equal otherwise.
    pub fn new(seed: u64) -> Self {
        Rng((mix(seed ^ 0x9e37_79b9_7f4a_7c15) % 0x7fff_ffff_ffff) | 1)
    }

    /// A uniform number in [0, 1).
    pub fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }

    /// Draws an index with weights given as cumulative sums; past the end if there are none.
    pub fn pick(&mut self, sums: &[f64]) -> usize {
        let point = self.draw() * sums.last().copied().unwrap_or(0.0);
        sums.partition_point(|sum| *sum <= point)
    }

    /// A draw from Beta(a, b) with integer a and b: the a-th smallest of a + b - 1 uniform draws.
    pub fn beta(&mut self, a: usize, b: usize) -> f64 {
        let mut draws: Vec<f64> = (0..a + b - 1).map(|_| self.draw()).collect();
        draws.sort_by(f64::total_cmp);
        draws[a - 1]
    }
}

/// The cumulative sums of shares.
pub fn sums(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let add = |sum: &mut f64, share| {
        *sum += share;
        Some(*sum)
    };
    shares.scan(0.0, add).collect()
}

/// A hash of a name, the same at every node: FNV-1a, mixed once more so that similar names differ in all
/// bits.
pub fn hash(bytes: &[u8]) -> u64 {
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)))
}

/// Mixes all bits (the finaliser of splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number in (0, 1] derived from a hash.
pub fn unit(x: u64) -> f64 {
    ((mix(x) >> 11) + 1) as f64 / (1_u64 << 53) as f64
}
