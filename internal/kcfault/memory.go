package kcfault

import "errors"

// ErrFull is returned by a Memory without room.
var ErrFull = errors.New("full")

// Memory is what responses are charged to. It has room for a number of bytes.
type Memory struct {
	Room int64
	// Held is what is charged now, Most the most that was.
	Held, Most int64
}

// Hold charges n bytes.
func (m *Memory) Hold(n int64) error {
	if m.Held+n > m.Room {
		return ErrFull
	}
	m.Held += n
	m.Most = max(m.Most, m.Held)
	return nil
}

// Release releases n bytes.
func (m *Memory) Release(n int64) { m.Held -= n }
