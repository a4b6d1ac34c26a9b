//! Hashes that are the same in all processes.

/// Returns a hash of a name that is the same in all processes (FNV-1a, then mixed).
pub fn hash_name(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Mixes a number so that similar inputs give unlike outputs (the finalizer of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
