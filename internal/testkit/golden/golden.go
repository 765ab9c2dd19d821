// Package golden compares encoded values with files that an earlier version of this program wrote, so that a change to the
// Go code cannot change a byte that leaves the process or stays on a disk.
//
// A golden file stands under testdata/golden of the package whose format it records. Binary formats are stored as
// hexadecimal digits. Run the tests with -golden.write to add the files of a new format; a file that exists is never
// overwritten, since a difference is a change of the format.
package golden

import (
	"encoding/hex"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var writeMissing = flag.Bool("golden.write", false, "write golden files that do not exist yet")

// bytesPerLine is how many bytes one line of a hexadecimal file holds.
const bytesPerLine = 32

// Text compares text with testdata/golden/name and returns the content of the file.
func Text(tb testing.TB, name string, encoded []byte) []byte {
	tb.Helper()
	recorded := load(tb, name, encoded)
	if string(recorded) != string(encoded) {
		tb.Errorf("%s: the format has changed\nencoded:  %s\nrecorded: %s", name, encoded, recorded)
	}
	return recorded
}

// Binary is Text for a format that is not readable text.
func Binary(tb testing.TB, name string, encoded []byte) []byte {
	tb.Helper()
	recorded, err := hex.DecodeString(strings.Join(strings.Fields(string(load(tb, name, dump(encoded)))), ""))
	if err != nil {
		tb.Fatalf("%s: %v", name, err)
	}
	if string(recorded) != string(encoded) {
		tb.Errorf("%s: the format has changed\nencoded:\n%s\nrecorded:\n%s", name, dump(encoded), dump(recorded))
	}
	return recorded
}

// load returns the content of a golden file. It writes a missing one where the flag asks for that.
func load(tb testing.TB, name string, content []byte) []byte {
	tb.Helper()
	path := filepath.Join("testdata", "golden", name)
	recorded, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && *writeMissing {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			tb.Fatal(err)
		}
		if err := os.WriteFile(path, content, 0o644); err != nil {
			tb.Fatal(err)
		}
		return content
	}
	if err != nil {
		tb.Fatalf("%v; add the file of a new format with -golden.write", err)
	}
	return recorded
}

func dump(data []byte) []byte {
	var out strings.Builder
	for len(data) > 0 {
		line := data[:min(len(data), bytesPerLine)]
		data = data[len(line):]
		out.WriteString(hex.EncodeToString(line))
		out.WriteByte('\n')
	}
	return []byte(out.String())
}
