package kcevent_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcevent"
)

var errFull = errors.New("full")

// memory has room for a number of bytes.
type memory struct{ room, held, most int64 }

func (m *memory) Hold(n int64) error {
	if m.held+n > m.room {
		return errFull
	}
	m.held += n
	m.most = max(m.most, m.held)
	return nil
}

func (m *memory) Release(n int64) { m.held -= n }

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
		m := &memory{room: c.room}
		event := "data: " + strings.Repeat("x", int(c.size)) + "\n\n"
		rd := kcevent.NewReader(strings.NewReader(event+event), -1, m)
		events := 0
		var err error
		for err == nil {
			var ev kcevent.Event
			if ev, err = rd.Next(); err != nil {
				break
			}
			if events++; string(ev.Raw) != event || c.charged && m.held < c.size {
				t.Errorf("%s: an event of %d bytes, %d are charged", name, len(ev.Raw), m.held)
			}
		}
		rd.Release()
		if fits := events == 2 && errors.Is(err, io.EOF); fits != c.fits || !c.fits && !errors.Is(err, errFull) {
			t.Errorf("%s: %d events, %v", name, events, err)
		}
		if m.held != 0 || c.charged != (m.most > 0) {
			t.Errorf("%s: %d bytes stay charged, at most %d were", name, m.held, m.most)
		}
	}
}
