package kcclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxClockSkew is how far the clock that generated a UUIDv7 may be ahead of the
// log time.
const maxClockSkew = kcclock.Minute

const (
	uuidLength       = 36
	uuidVersionIndex = 14
	uuidVariantIndex = 19
)

// hash identifies a key whose claim has expired. On a collision of two keys,
// the router rejects one of them without need, but never runs one twice.
func (k Key) hash() uint64 {
	sum := sha256.Sum256([]byte(k.String()))
	return binary.BigEndian.Uint64(sum[:])
}

// createdAt returns the timestamp of a UUIDv7 key, or false for any other key.
func (k Key) createdAt() (kcclock.Millis, bool) {
	s := k.IdempotencyKey
	if len(s) != uuidLength || s[uuidVersionIndex] != '7' || !strings.ContainsRune("89abAB", rune(s[uuidVariantIndex])) {
		return 0, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(s, "-", ""))
	if err != nil || len(b) != 16 {
		return 0, false
	}
	return kcclock.Millis(binary.BigEndian.Uint64(b) >> 16), true
}
