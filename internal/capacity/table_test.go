package main

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFitLine(t *testing.T) {
	f := fitLine([]float64{3, 12, 24, 48}, []float64{7, 25, 49, 97})
	assert.Assert(t, math.Abs(f.slope-2) < 1e-9 && math.Abs(f.intercept-1) < 1e-9 && math.Abs(f.r2-1) < 1e-9, "%+v", f)
	assert.Equal(t, f.at(410), 821.0)
	flat := fitLine([]float64{5, 5}, []float64{1, 3})
	assert.Equal(t, flat.slope, 0.0)
	assert.Equal(t, flat.intercept, 2.0)
}
