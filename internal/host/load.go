package host

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
		v, ok := value(text, field)
		if !ok || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil
		}
		load[i] = float32(v)
	}
	return load
}

func value(text, field string) (float64, bool) {
	for part := range strings.SplitSeq(text, ",") {
		name, figure, ok := strings.Cut(strings.TrimSpace(part), "=")
		if ok && name == field {
			v, err := strconv.ParseFloat(figure, 64)
			return v, err == nil
		}
	}
	return 0, false
}
