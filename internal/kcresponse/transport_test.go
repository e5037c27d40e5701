package kcresponse_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/internal/kcresponse"
)

// Guards against large heads that are not charged, against charges that are not released,
// and against charges for ordinary heads.
func TestLargeHeadsAreCharged(t *testing.T) {
	for name, c := range map[string]struct {
		fields        int
		room          int64
		fits, charged bool
	}{
		"ordinary head":           {fields: 100, room: 0, fits: true},
		"large head":              {fields: 5000, room: 1 << 20, fits: true, charged: true},
		"large head without room": {fields: 5000, room: 100 << 10, charged: true},
	} {
		t.Run(name, func(t *testing.T) {
			response := "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", c.fields) + "Content-Length: {length}\r\n\r\n{body}"
			s := kcfault.NewServer(t, kcfault.Case{Response: response, End: kcfault.Keep}, "", "body")
			m := &kcfault.Memory{Room: c.room}
			transport := kcresponse.NewTransport(&http.Transport{})
			transport.MemoryOf = func(context.Context) kcresponse.Memory { return m }
			t.Cleanup(transport.CloseIdleConnections)
			client := http.Client{Transport: transport}
			for range 2 {
				resp, err := client.Get("http://" + s.Addr)
				if fits := err == nil; fits != c.fits || !fits && !errors.Is(err, kcfault.ErrFull) {
					t.Errorf("error %v, want a response: %v", err, c.fits)
				}
				if err == nil {
					if held := m.Held > 0; held != c.charged {
						t.Errorf("%d bytes are charged", m.Held)
					}
					_ = resp.Body.Close()
				}
				if m.Held != 0 || c.charged != (m.Most > 0) {
					t.Errorf("%d bytes stay charged, at most %d were", m.Held, m.Most)
				}
			}
		})
	}
}
