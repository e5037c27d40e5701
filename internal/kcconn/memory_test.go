package kcconn_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcfault"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Guards against large headers that are not charged, against charges that are not
// released, and against charges for ordinary headers.
func TestLargeHeadersAreCharged(t *testing.T) {
	for name, c := range map[string]struct {
		fields  int
		room    int64
		fits    bool
		charged bool
	}{
		"ordinary headers":           {fields: 100, room: 0, fits: true},
		"large headers":              {fields: 5000, room: 1 << 20, fits: true, charged: true},
		"large headers without room": {fields: 5000, room: 100 << 10, charged: true},
	} {
		addr, _ := startServer(t, func(int) string {
			return "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", c.fields) + "Content-Length: 2\r\n\r\nok"
		})
		p, m := newPool(t, kcclock.NewManual(1000)), &kcfault.Memory{Room: c.room}
		for range 2 {
			body, err := send(p, addr, kcconn.Request{Memory: m})
			if fits := err == nil && body == "ok"; fits != c.fits || !fits && !errors.Is(err, kcfault.ErrFull) {
				t.Errorf("%s: %q, %v", name, body, err)
			}
			if m.Held != 0 || c.charged != (m.Most > 0) {
				t.Errorf("%s: %d bytes stay charged, at most %d were", name, m.Held, m.Most)
			}
		}
	}
}
