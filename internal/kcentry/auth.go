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

// HashAPIKey returns the hex-encoded SHA-256 hash of an API key. The rules store keys only in this form.
func HashAPIKey(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authenticate looks up the workspace by the hash of the bearer token.
func (s *Server) authenticate(_ context.Context, ex *Exchange) *kcapi.Error {
	token, ok := strings.CutPrefix(ex.R.Header.Get("Authorization"), "Bearer ")
	if ok {
		rules := s.Rules.Rules()
		if name, found := s.apiKeys.workspacesByHash(rules)[HashAPIKey(token)]; found {
			ex.WorkspaceName, ex.Workspace = name, rules.Workspaces[name]
			return nil
		}
	}
	return kcapi.NewError(http.StatusUnauthorized, kcapi.CodeUnauthorized, kcapi.NotRun,
		"send the key of a workspace as: Authorization: Bearer KEY")
}

// apiKeyCache caches an index of API keys for the rules that the index was
// built from.
type apiKeyCache struct{ index atomic.Pointer[apiKeyIndex] }

// apiKeyIndex maps the hash of each API key to the name of its workspace.
type apiKeyIndex struct {
	rules           *kcrules.Rules
	workspaceByHash map[string]string
}

// workspacesByHash returns the workspace names by key hash and rebuilds the
// index if the rules have changed. A hash that two workspaces list belongs to
// the one whose name sorts first.
func (c *apiKeyCache) workspacesByHash(rules *kcrules.Rules) map[string]string {
	if idx := c.index.Load(); idx != nil && idx.rules == rules {
		return idx.workspaceByHash
	}
	byHash := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(rules.Workspaces)) {
		for _, h := range rules.Workspaces[name].KeyHashes {
			if _, exists := byHash[h]; !exists {
				byHash[h] = name
			}
		}
	}
	c.index.Store(&apiKeyIndex{rules: rules, workspaceByHash: byHash})
	return byHash
}
