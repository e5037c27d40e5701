package kcreplay

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/template"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Dimensions of the plot in pixels, and the number of points per line.
const (
	plotWidth     = 900
	panelHeight   = 160
	panelGap      = 50
	plotLeft      = 70
	pointsPerLine = 72
)

var lineColors = []string{"#1b6ca8", "#c8553d", "#3a7d44", "#8e6bbf", "#b8860b", "#555555"}

// panel is one chart of the plot. The template reads its fields by name.
type panel struct {
	Title string
	Y     int
	Max   string
	Lines []plotLine
	Bands []band
}

type plotLine struct {
	Name, Color, Points string
	LegendX             int
}

type band struct {
	X, Width float64
	Name     string
}

var plotTemplate = template.Must(template.New("plot").Parse(
	`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="11">
<rect width="100%" height="100%" fill="white"/>
<text x="{{.Left}}" y="18" font-size="14">{{html .Title}}</text>
{{range .Panels}}<g transform="translate({{$.Left}},{{.Y}})">
<text x="0" y="-6">{{html .Title}}</text>
{{range .Bands}}<rect x="{{printf "%.1f" .X}}" y="0" width="{{printf "%.1f" .Width}}" height="{{$.Panel}}" fill="#f3d9d2">
<title>{{html .Name}}</title></rect>
{{end}}<path d="M0 0V{{$.Panel}}H{{$.Inner}}" fill="none" stroke="black"/>
<text x="-6" y="8" text-anchor="end">{{.Max}}</text><text x="-6" y="{{$.Panel}}" text-anchor="end">0</text>
{{range .Lines}}<polyline fill="none" stroke="{{.Color}}" stroke-width="1.5" points="{{.Points}}"/>
<text x="{{.LegendX}}" y="-6" fill="{{.Color}}">{{html .Name}}</text>
{{end}}</g>
{{end}}</svg>
`))

// WritePlot writes time series of the run as SVG: the share of good answers in
// time, the p95 latency and the share of refused requests, each per class.
func (r *Report) WritePlot(w io.Writer) error {
	panels := []panel{
		r.buildPanel("share of good answers in time", func(requests []int) float64 {
			return r.shareOfRequests(requests, func(res *Result) bool { return res.Good && res.InTime })
		}),
		r.buildPanel("p95 latency, s", func(requests []int) float64 {
			var latencies []kcclock.Millis
			for _, i := range requests {
				if r.results[i].Code == "" {
					latencies = append(latencies, r.results[i].LatencyMs)
				}
			}
			slices.Sort(latencies)
			return quantile(latencies, 0.95) / float64(kcclock.Second)
		}),
		r.buildPanel("share of refused requests", func(requests []int) float64 {
			return r.shareOfRequests(requests, func(res *Result) bool { return res.Code != "" })
		}),
	}
	for i := range panels {
		panels[i].Y = panelGap + i*(panelHeight+panelGap)
	}
	return errs.Wrap(plotTemplate.Execute(w, map[string]any{
		"Title": fmt.Sprintf("%s, seed %d, %s", r.Trace, r.Seed, r.Policy), "Panels": panels,
		"Width": plotWidth, "Height": panelGap + len(panels)*(panelHeight+panelGap), "Left": plotLeft,
		"Panel": panelHeight, "Inner": plotWidth - plotLeft - panelGap,
	}))
}

func (r *Report) shareOfRequests(requests []int, match func(*Result) bool) float64 {
	n := 0
	for _, i := range requests {
		if match(&r.results[i]) {
			n++
		}
	}
	return float64(n) / float64(max(len(requests), 1))
}

// buildPanel draws metric over the day with one line per class. Each point covers
// the requests that arrived in one of pointsPerLine equal intervals. Bands mark
// the faults.
func (r *Report) buildPanel(title string, metric func(requests []int) float64) panel {
	p := panel{Title: title}
	inner := float64(plotWidth - plotLeft - panelGap)
	end := float64(r.trace.Header.EndMs)
	values := make([][]float64, len(r.classes))
	top := 0.0
	for c, class := range r.classes {
		intervals := make([][]int, pointsPerLine)
		for i := range r.trace.Arrivals {
			if a := &r.trace.Arrivals[i]; a.Class == class {
				n := min(int(float64(a.At)/end*pointsPerLine), pointsPerLine-1)
				intervals[n] = append(intervals[n], i)
			}
		}
		for _, requests := range intervals {
			values[c] = append(values[c], metric(requests))
		}
		top = max(top, slices.Max(values[c]))
	}
	top = max(top, 1e-9)
	p.Max = fmt.Sprintf("%.3g", top)
	for c, class := range r.classes {
		var b strings.Builder
		for n, v := range values[c] {
			fmt.Fprintf(&b, "%.1f,%.1f ", (float64(n)+0.5)/pointsPerLine*inner, panelHeight*(1-v/top))
		}
		p.Lines = append(p.Lines, plotLine{
			Name: string(class), Color: lineColors[c%len(lineColors)], Points: b.String(), LegendX: 260 + c*100,
		})
	}
	for _, f := range r.trace.Faults {
		until := float64(f.Until)
		if f.Until == 0 {
			until = end
		}
		x := float64(f.At) / end * inner
		p.Bands = append(p.Bands, band{X: x, Width: math.Min(until/end*inner, inner) - x, Name: string(f.Kind) + " " + f.Target})
	}
	return p
}
