package kcevent_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcevent"
	"github.com/kingcuprail/kingcuprail/internal/kcfault"
)

// Guards against large events that are not charged, against charges that are not
// released, and against charges for ordinary events.
func TestEventsAreCharged(t *testing.T) {
	for name, c := range map[string]struct {
		size, room int64
		fits       bool
		charged    bool
	}{
		"ordinary event":           {size: 4 << 10, room: 0, fits: true},
		"large event":              {size: 200 << 10, room: 1 << 20, fits: true, charged: true},
		"large event without room": {size: 200 << 10, room: 100 << 10, charged: true},
	} {
		m := &kcfault.Memory{Room: c.room}
		event := "data: " + strings.Repeat("x", int(c.size)) + "\n\n"
		rd := kcevent.NewReader(strings.NewReader(event+event), -1, m)
		events := 0
		var err error
		for err == nil {
			var ev kcevent.Event
			if ev, err = rd.Next(); err != nil {
				break
			}
			if events++; string(ev.Raw) != event || c.charged && m.Held < c.size {
				t.Errorf("%s: an event of %d bytes, %d are charged", name, len(ev.Raw), m.Held)
			}
		}
		rd.Release()
		if fits := events == 2 && errors.Is(err, io.EOF); fits != c.fits || !c.fits && !errors.Is(err, kcfault.ErrFull) {
			t.Errorf("%s: %d events, %v", name, events, err)
		}
		if m.Held != 0 || c.charged != (m.Most > 0) {
			t.Errorf("%s: %d bytes stay charged, at most %d were", name, m.Held, m.Most)
		}
	}
}
