package kcset

import "github.com/cespare/xxhash/v2"

// Owner returns the member with the highest rendezvous hash for key, or ""
// if there are no members. Removing a member only moves the keys it owned.
func Owner(key string, members []string) string {
	best, owner := uint64(0), ""
	for _, m := range members {
		h := RendezvousHash(key, m)
		if owner == "" || h > best || (h == best && m < owner) {
			best, owner = h, m
		}
	}
	return owner
}

// RendezvousHash returns the rendezvous hash of member for key.
func RendezvousHash(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Shard returns the index of the shard of key, from 0 to shards-1.
func Shard(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards))
}

// Mix is the finalizer of SplitMix64. It spreads the bits of x over the result.
func Mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
