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
		if name, found := s.apiKeys.workspacesByHash(rules)[HashAPIKey(token)]; found {
			ex.WorkspaceName, ex.Workspace = name, rules.Workspaces[name]
			return nil
		}
	}
	return kcapi.NewError(http.StatusUnauthorized, kcapi.CodeUnauthorized, kcapi.NotRun,
		"send the key of a workspace as: Authorization: Bearer KEY")
}

// apiKeyCache maps the hash of a key to the name of its workspace, for the rules
// that it was built from.
type apiKeyCache struct{ index atomic.Pointer[apiKeyIndex] }

type apiKeyIndex struct {
	rules           *kcrules.Rules
	workspaceByHash map[string]string
}

// of returns the index for rules and builds it if the rules are new. A hash
// that stands in two workspaces belongs to the first by name.
func (c *apiKeyCache) workspacesByHash(rules *kcrules.Rules) map[string]string {
	if idx := c.index.Load(); idx != nil && idx.rules == rules {
		return idx.workspaceByHash
	}
	byHash := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(rules.Workspaces)) {
		for _, h := range rules.Workspaces[name].KeyHashes {
			if _, taken := byHash[h]; !taken {
				byHash[h] = name
			}
		}
	}
	c.index.Store(&apiKeyIndex{rules: rules, workspaceByHash: byHash})
	return byHash
}
