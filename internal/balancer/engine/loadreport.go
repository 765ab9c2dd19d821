package engine

import (
	"math"
	"strconv"
	"strings"
)

// parseLoad reads a load report ("inflight=7,util=0.61") into the order of the fields. A report that lacks one, or
// holds a value that no endpoint can have, gives nil: a wrong figure is worse than none.
func parseLoad(text string, fields []string) []float32 {
	if text == "" || len(fields) == 0 {
		return nil
	}
	load := make([]float32, len(fields))
	for i, field := range fields {
		v, ok := fieldValue(text, field)
		if !ok || !(v >= 0 && v <= maxFieldValue(field)) {
			return nil
		}
		load[i] = float32(v)
	}
	return load
}

// maxFieldValue is the most that a field can hold. A share of the cores in use lies about under 1, however noisy: one wild
// figure taken for load would have the sidecar refuse what a healthy pool could serve.
func maxFieldValue(field string) float64 {
	if field == "util" {
		return 4
	}
	return math.MaxFloat32
}

func fieldValue(text, field string) (float64, bool) {
	for part := range strings.SplitSeq(text, ",") {
		name, figure, ok := strings.Cut(strings.TrimSpace(part), "=")
		if ok && name == field {
			v, err := strconv.ParseFloat(figure, 64)
			return v, err == nil
		}
	}
	return 0, false
}
