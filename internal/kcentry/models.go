package kcentry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
)

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels returns the versions that the workspace may use for new requests.
func (s *Server) listModels(_ context.Context, ex *Exchange) *kcapi.Error {
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	versions := s.Rules.Rules().Versions
	for _, key := range slices.Sorted(maps.Keys(versions)) {
		if ex.Workspace.Allows(key) && versions[key].State == kcrules.Active {
			list.Data = append(list.Data, model{ID: key, Object: "model", OwnedBy: "kingcuprail"})
		}
	}
	ex.W.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(ex.W).Encode(list)
	return nil
}
