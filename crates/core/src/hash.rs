//! Hash functions that give the same result in all processes.

/// Hashes a name with FNV-1a followed by [`mix`]; the result is the same in all processes.
pub fn hash_name(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Mixes the bits of a number so that similar inputs give dissimilar outputs (the SplitMix64 finalizer).
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
