package kcload

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
)

// Flags of an entry with figures.
const (
	tokensFlag = 1
	figureFlag = 2
)

// maxLoadsBytesBytes is the size of the length of the loads in a report with
// figures.
const maxLoadsBytesBytes = 2

// hasExtra reports whether there is anything to tell besides the work.
func (s UpstreamLoad) hasExtra() bool { return s.Tokens > 0 || s.HasFigure }

// encodeWithFigures encodes a report with figures. The length of the loads comes
// first, then the loads, then the figures. Loads take precedence where not all fits,
// and tokens and newer figures over older ones: a peer can do without a figure, but
// without a load it takes an upstream for idle.
func encodeWithFigures(m Message) []byte {
	b := make([]byte, 1+maxLoadsBytesBytes, MaxMessageBytes)
	b[0] = figuresFormat
	b, loads := appendLoads(b, m, MaxMessageBytes)
	binary.BigEndian.PutUint16(b[1:], uint16(len(b)-1-maxLoadsBytesBytes))
	order := make([]int, 0, loads)
	for i := range loads {
		if m.Loads[i].hasExtra() {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(m.Loads[x].FigureMsAgo, m.Loads[y].FigureMsAgo) })
	for _, i := range order {
		next := appendFigure(b, i, m.Loads[i])
		if len(next) > MaxMessageBytes {
			break
		}
		b = next
	}
	return b
}

func appendFigure(b []byte, i int, s UpstreamLoad) []byte {
	flags := uint64(0)
	if s.Tokens > 0 {
		flags |= tokensFlag
	}
	if s.HasFigure {
		flags |= figureFlag
	}
	b = binary.AppendUvarint(b, uint64(i))
	b = binary.AppendUvarint(b, flags)
	if s.Tokens > 0 {
		b = appendNumber(b, s.Tokens)
	}
	if s.HasFigure {
		for _, n := range [...]int{s.Figure.Running, s.Figure.Waiting, s.Figure.Speed, s.FigureMsAgo} {
			b = appendNumber(b, n)
		}
	}
	return b
}

func appendNumber(b []byte, n int) []byte {
	return binary.AppendUvarint(b, uint64(min(max(n, 0), maxNumber)))
}

func (d *decoder) number() int { return int(d.uvarint() & maxNumber) }

// cutFigures cuts the figures off a report, so that d holds the message without
// them.
func (d *decoder) cutFigures() (figures decoder) {
	if len(d.b) < maxLoadsBytesBytes {
		d.b, d.err = nil, errTruncated
		return figures
	}
	n := int(binary.BigEndian.Uint16(d.b))
	d.b = d.b[maxLoadsBytesBytes:]
	if n > len(d.b) {
		d.b, d.err = nil, errTruncated
		return figures
	}
	figures.b, d.b = d.b[n:], d.b[:n]
	return figures
}

// decodeFigures decodes the figures into the loads that they belong to.
func (d *decoder) decodeFigures(loads []UpstreamLoad) error {
	for len(d.b) > 0 && d.err == nil {
		i, flags := d.number(), d.uvarint()
		var s UpstreamLoad
		if flags&tokensFlag != 0 {
			s.Tokens = d.number()
		}
		if flags&figureFlag != 0 {
			s.HasFigure = true
			s.Figure = kcspeed.Load{Running: d.number(), Waiting: d.number(), Speed: d.number()}
			s.FigureMsAgo = d.number()
		}
		if d.err == nil && i >= len(loads) {
			d.err = errTruncated
		}
		if d.err == nil {
			loads[i].Tokens, loads[i].HasFigure, loads[i].Figure, loads[i].FigureMsAgo = s.Tokens, s.HasFigure, s.Figure, s.FigureMsAgo
		}
	}
	return d.err
}
