package engine

import (
	"math"
	"strconv"
	"strings"
)

// maxUtilization is the largest utilization that is accepted from a load report. A ratio of CPU cores in use is at most about 1, with
// noise. If a single wildly wrong value counted as load, requests would be rejected that a healthy pool could serve.
const maxUtilization = 4

// parseLoad parses a load report ("inflight=7,util=0.61") and returns the values in the order of the fields. It returns nil for a
// report that lacks a field or contains an impossible value, because a wrong value is worse than none.
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

func maxFieldValue(field string) float64 {
	if field == "util" {
		return maxUtilization
	}
	return math.MaxFloat32
}

func fieldValue(text, field string) (float64, bool) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if found && name == field {
			v, err := strconv.ParseFloat(value, 64)
			return v, err == nil
		}
	}
	return 0, false
}
