package kcentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
)

// HashAPIKey returns the form in which a bearer token stands in the rules.
func HashAPIKey(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authenticate finds the workspace by the hash of the bearer token.
func (s *Server) authenticate(_ context.Context, ex *Exchange) *kcapi.Error {
	token, ok := strings.CutPrefix(ex.R.Header.Get("Authorization"), "Bearer ")
	if ok {
		rules := s.Rules.Rules()
		if name, found := s.keys.of(rules)[HashAPIKey(token)]; found {
			ex.WorkspaceName, ex.Workspace = name, rules.Workspaces[name]
			return nil
		}
	}
	return kcapi.NewError(http.StatusUnauthorized, kcapi.CodeUnauthorized, kcapi.NotRun,
		"send the key of a workspace as: Authorization: Bearer KEY")
}

// keyCache maps the hash of a key to the name of its workspace, for the rules
// that it was built from.
type keyCache struct{ p atomic.Pointer[keyIndex] }

type keyIndex struct {
	rules  *kcrules.Rules
	byHash map[string]string
}

// of returns the index for rules and builds it if the rules are new. A hash
// that stands in two workspaces belongs to the first by name.
func (c *keyCache) of(rules *kcrules.Rules) map[string]string {
	if idx := c.p.Load(); idx != nil && idx.rules == rules {
		return idx.byHash
	}
	byHash := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(rules.Workspaces)) {
		for _, h := range rules.Workspaces[name].KeyHashes {
			if _, taken := byHash[h]; !taken {
				byHash[h] = name
			}
		}
	}
	c.p.Store(&keyIndex{rules: rules, byHash: byHash})
	return byHash
}
