package kcentry

import (
	"context"
	"net/http"
	"path"
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
)

// unmatchedRoute returns a filter that rejects requests that match no endpoint of
// mux except "/".
func unmatchedRoute(mux *http.ServeMux) Filter {
	return func(_ context.Context, ex *Exchange) *kcapi.Error { return unmatchedRouteError(mux, ex.W, ex.R) }
}

// unmatchedRouteError returns 405 and sets the Allow header if the path has an
// endpoint for other methods, otherwise 404.
func unmatchedRouteError(mux *http.ServeMux, w http.ResponseWriter, r *http.Request) *kcapi.Error {
	var allowed []string
	for _, m := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		_, pattern := mux.Handler(&http.Request{Method: m, URL: r.URL, Host: r.Host})
		if strings.HasPrefix(pattern, m+" ") && m != r.Method {
			allowed = append(allowed, m)
		}
	}
	if len(allowed) == 0 || isUncleanPath(r.URL.Path) {
		return kcapi.NewError(http.StatusNotFound, kcapi.CodeNotFound, kcapi.NotRun, "no such endpoint")
	}
	list := strings.Join(allowed, ", ")
	w.Header().Set("Allow", list)
	return kcapi.NewError(http.StatusMethodNotAllowed, kcapi.CodeMethodNotAllowed, kcapi.NotRun, "the endpoint allows "+list)
}

// isUncleanPath reports whether p has empty, "." or ".." elements.
func isUncleanPath(p string) bool {
	c := path.Clean(p)
	return p != c && p != c+"/"
}

// JSONErrors wraps mux so that requests that match no endpoint get a JSON error
// instead of the plain text of net/http.
func JSONErrors(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern == "" || isUncleanPath(r.URL.Path) {
			unmatchedRouteError(mux, w, r).Write(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
}
