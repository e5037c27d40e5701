package kccapacity

import (
	"encoding/json"
	"fmt"
	"html"
	"math"
	"strings"
)

// Table returns the figures as a Markdown table.
func (r *Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %d processors. Values are medians; the spread of the last point is in parentheses.\n\n", r.Go, r.CPUs)
	b.WriteString("| figure | unit | size | values | slope | intercept |\n|---|---|---|---|---|---|\n")
	for _, f := range r.Figures {
		sizes, values := make([]string, len(f.Points)), make([]string, len(f.Points))
		for i, p := range f.Points {
			sizes[i], values[i] = formatThreeDigits(p.Size), formatThreeDigits(p.Value)
			if i == len(f.Points)-1 && p.Min != p.Max {
				values[i] += " (" + formatThreeDigits(p.Min) + " to " + formatThreeDigits(p.Max) + ")"
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s: %s | %s | %s | %s |\n", f.Name, f.Unit, f.Variable,
			strings.Join(sizes, ", "), strings.Join(values, ", "), formatThreeDigits(f.Slope), formatThreeDigits(f.Intercept))
	}
	return b.String()
}

// formatThreeDigits formats v with three significant digits. Integers and values
// from 100 are rounded to a whole number instead.
func formatThreeDigits(v float64) string {
	if a := math.Abs(v); a >= 100 || v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// JSON returns the report as JSON.
func (r *Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", "  ") }

// Layout of the plot.
const (
	panelWidthPx  = 260
	panelHeightPx = 170
	panelMarginPx = 34
	panelColumns  = 4
)

// Plot returns an SVG image with one panel for each figure that has several
// points. A panel shows the points, their range and the fitted line; both axes
// start at 0.
func (r *Report) Plot() ([]byte, error) {
	var panels []string
	for _, f := range r.Figures {
		if len(f.Points) > 1 {
			panels = append(panels, svgPanel(f, len(panels)))
		}
	}
	rows := (len(panels) + panelColumns - 1) / panelColumns
	return fmt.Appendf(nil, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">
%s</svg>
`, panelColumns*panelWidthPx, rows*panelHeightPx, strings.Join(panels, "")), nil
}

func svgPanel(f *Figure, n int) string {
	var maxX, maxY float64
	for _, p := range f.Points {
		maxX, maxY = max(maxX, p.Size), max(maxY, p.Max, f.ValueAt(p.Size))
	}
	w, h := float64(panelWidthPx-2*panelMarginPx), float64(panelHeightPx-2*panelMarginPx)
	x := func(v float64) float64 { return panelMarginPx + w*v/max(maxX, 1e-9) }
	y := func(v float64) float64 { return panelMarginPx + h - h*v/max(maxY, 1e-9) }
	var b strings.Builder
	fmt.Fprintf(&b, "<g transform=\"translate(%d,%d)\">\n", n%panelColumns*panelWidthPx, n/panelColumns*panelHeightPx)
	fmt.Fprintf(&b, "<text x=\"%d\" y=\"16\" font-weight=\"bold\">%s</text>\n", panelMarginPx, html.EscapeString(f.Name))
	fmt.Fprintf(&b, "<path d=\"M%[1]d %[1]d V%.0f H%.0f\" fill=\"none\" stroke=\"#888\"/>\n", panelMarginPx, y(0), x(maxX))
	fmt.Fprintf(&b, "<text x=\"%d\" y=\"%d\">%s %s</text>\n", panelMarginPx, panelMarginPx-6, formatThreeDigits(maxY), f.Unit)
	fmt.Fprintf(&b, "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"end\">%s %s</text>\n",
		x(maxX), y(0)+13, formatThreeDigits(maxX), html.EscapeString(f.Variable))
	fmt.Fprintf(&b, "<path d=\"M%.1f %.1f L%.1f %.1f\" stroke=\"#06c\"/>\n",
		x(0), y(max(f.ValueAt(0), 0)), x(maxX), y(f.ValueAt(maxX)))
	for _, p := range f.Points {
		fmt.Fprintf(&b, "<path d=\"M%.1f %.1f V%.1f\" stroke=\"#c33\"/><circle cx=\"%.1f\" cy=\"%.1f\" r=\"2.5\" fill=\"#c33\"/>\n",
			x(p.Size), y(p.Min), y(p.Max), x(p.Size), y(p.Value))
	}
	b.WriteString("</g>\n")
	return b.String()
}
