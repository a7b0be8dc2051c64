//! Rendezvous (highest random weight) hashing: VMs agree on a choice without coordination, and few
//! choices change when a member joins or leaves.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a member for a key; the members with the highest weights are chosen.
pub fn weight(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}

/// The `count` members with the highest weights for the key, highest first.
pub fn top<'a, T: Copy>(
    key: u64,
    members: impl Iterator<Item = (T, &'a str)>,
    count: usize,
) -> Vec<T> {
    let mut weighed: Vec<(u64, T)> =
        members.map(|(item, name)| (weight(key, name), item)).collect();
    weighed.sort_unstable_by_key(|&(weight, _)| std::cmp::Reverse(weight));
    weighed.truncate(count);
    weighed.into_iter().map(|(_, item)| item).collect()
}
