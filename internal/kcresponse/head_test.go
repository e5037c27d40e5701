package kcresponse_test

import (
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
)

// Guards against a head that begins as that of another response, and against a sound one
// that is refused because it names HTTP.
func TestHeadHoldsOneStatusLine(t *testing.T) {
	for value, sound := range map[string]bool{
		"text/plain":                   true,
		"HTTP/1.1 proxy":               true,
		"HTTP/1.1, HTTP/1.0 20":        true,
		"HTTP/1.":                      true,
		"text/plHTTP/1.1 200 OK":       false,
		"HTTP/1.HTTP/1.1 503 Busy":     false,
		"HTTP/1.1 proxyHTTP/1.0 404 N": false,
	} {
		for name, resp := range map[string]*http.Response{
			"field":       {StatusCode: 200, Status: "200 OK", Header: http.Header{"Server": {"a", value}}},
			"status line": {StatusCode: 200, Status: "200 " + value},
		} {
			if err := kcresponse.CheckHead(resp); (err == nil) != sound {
				t.Errorf("%q in a %s: %v", value, name, err)
			}
		}
	}
}
