package kcprefix

import "github.com/kingcuprail/kingcuprail/internal/kcset"

// Ranking holds the members with the highest rendezvous hashes for a key, the
// highest first. All instances that know the same members get the same order.
type Ranking[M any] struct {
	key     uint64
	size    int
	hashes  [MaxHolders]uint64
	members []M
}

// Reset starts a ranking of up to size members, at most MaxHolders.
func (r *Ranking[M]) Reset(key uint64, size int) {
	r.key, r.size, r.members = key, min(size, MaxHolders), r.members[:0]
}

// Add adds the members, whose ids have the hashes idHashes, that rank high
// enough and are accepted. Others are not passed to accepts.
func (r *Ranking[M]) Add(members []M, idHashes []uint64, accepts func(M) bool) {
	for i, id := range idHashes {
		h := kcset.Mix(r.key ^ id)
		if n := len(r.members); n == r.size && (n == 0 || h <= r.hashes[n-1]) || !accepts(members[i]) {
			continue
		}
		if len(r.members) < r.size {
			r.members = append(r.members, members[i])
		}
		k := len(r.members) - 1
		for ; k > 0 && r.hashes[k-1] < h; k-- {
			r.members[k], r.hashes[k] = r.members[k-1], r.hashes[k-1]
		}
		r.members[k], r.hashes[k] = members[i], h
	}
}

// Members returns the ranked members. They are valid until the next Reset.
func (r *Ranking[M]) Members() []M { return r.members }
