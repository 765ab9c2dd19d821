package engine

import (
	"math"
	"strconv"
	"strings"
)

// maxUtilization bounds what is believed of a reported utilization. A ratio of CPU cores in use is at most about 1, with noise:
// one wild value taken for load would have requests rejected that a healthy pool could serve.
const maxUtilization = 4

// parseLoad parses a load report ("inflight=7,util=0.61") into the order of the fields. A report that lacks one, or holds an
// impossible value, gives nil: a wrong value is worse than none.
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

// maxFieldValue returns the largest valid value of a field.
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
