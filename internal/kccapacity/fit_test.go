package kccapacity

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a wrong extrapolation of points that lie on a line.
func TestFitPredictsPointsOnLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(0.01, 1000).Draw(t, "slope")
		intercept := rapid.Float64Range(0, 10_000).Draw(t, "intercept")
		f := Figure{}
		for _, size := range []float64{50, 200, 800, 3200} {
			f.Points = append(f.Points, singlePoint(size, intercept+slope*size))
		}
		f.fit()
		if want := intercept + slope*6400; math.Abs(f.ValueAt(6400)-want) > want/1000 {
			t.Fatalf("%g + %g x gives %g at 6400, want %g", f.Intercept, f.Slope, f.ValueAt(6400), want)
		}
	})
}

// Guards against a division by zero if there is one point, all points have the
// same size or all values are 0.
func TestFitOfConstantsIsFinite(t *testing.T) {
	for _, points := range [][]Point{
		{singlePoint(0, 7)}, {singlePoint(3, 1), singlePoint(3, 1)}, {singlePoint(1, 0), singlePoint(2, 0)},
	} {
		f := Figure{Points: points}
		f.fit()
		if math.IsNaN(f.ValueAt(10)) || f.ValueAt(10) != points[0].Value {
			t.Errorf("%v: %g", points, f.ValueAt(10))
		}
	}
}

// Guards against parts that no longer run after a change of the component that
// they measure, and against figures without points. Only the two fastest parts
// run here.
func TestRunReportsFiguresOfParts(t *testing.T) {
	r, err := Run(t.Context(), []string{"session", "route"})
	if err != nil {
		t.Fatal(err)
	}
	if r.FindFigure("session.token.bytes").ValueAt(1) <= 0 || r.FindFigure("route.pick.allocs") == nil {
		t.Fatalf("figures: %s", r.Table())
	}
	plot, err := r.Plot()
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(plot), "<circle"); n == 0 || strings.Contains(string(plot), "NaN") {
		t.Fatalf("%d points in the plot", n)
	}
	if _, err := Run(t.Context(), []string{"nothing"}); err == nil {
		t.Fatal("Run accepted an unknown part")
	}
}
