// Package conf reads the gateway's configuration file, in HCL: listeners, classes, tenants, clusters, routes, and optional blocks
// such as the fleet, the link, the xDS client and the ledger.
//
// A file with an error is rejected as a whole. All errors are reported at once, each with its file, line and column. The package opens
// the file itself, and the files to which it refers for the keyring, the ledger's secret, client networks and the xDS bootstrap.
package conf

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"silvertrail/internal/controlplane/api"
	"silvertrail/internal/edge/admission"
	"silvertrail/internal/fleet"
	"silvertrail/internal/gateway/cluster"
	"silvertrail/internal/gateway/route"
	"silvertrail/internal/ledger"
	"silvertrail/internal/sites/peering"
	"silvertrail/internal/xds/bootstrap"
	"silvertrail/lbpolicy"
)

// File is a valid configuration.
type File struct {
	Process      Process
	Classes      []Class
	Tenants      []string // the policy refers to a tenant by its index in this list
	Listeners    []Listener
	Clusters     []cluster.Config
	Routes       *route.Table
	Fleet        *fleet.Options     // nil: no fleet
	Link         *peering.Options   // nil: no other sites
	XDS          *bootstrap.Options // nil: no control planes
	ControlPlane *api.Options       // nil: this instance is no control-plane server
	Ledger       *ledger.Options    // nil: keyed requests are not recorded
	Fingerprint  Fingerprint        // set where the fleet reports applied versions
	Control      string             // path of the control socket; empty: none
}

// Process holds the settings of the whole process.
type Process struct {
	Zones        []string
	Sockets      int // limit of open file descriptors
	MaxRequests  int64
	BodyMemory   int64
	ShutdownTime time.Duration // time for a graceful shutdown, from SIGTERM to the last response
	DefaultClass string        // class of requests without a class, on routes without a class
	MaxKeys      int           // limit of idempotency keys that are tracked
}

// Class is a class of requests.
type Class struct {
	Name    string
	Methods []string
	lbpolicy.Class

	// The following fields apply to classes with idempotency keys.

	Retention       time.Duration // how long a key is kept after its window, so that a late retry is not taken for a new request
	CheckRepeats    bool          // a repeated key with another target or body is rejected
	Concurrent      ConcurrentPolicy
	ServeUnrecorded bool // requests are served even if the ledger cannot record them
}

// ConcurrentPolicy determines how a request is handled while another request with the same idempotency key is in flight.
type ConcurrentPolicy uint8

// The policies for concurrent requests with the same idempotency key.
const (
	ForwardConcurrent ConcurrentPolicy = iota // forwarded to the group of endpoints that deduplicates requests by key
	RejectConcurrent                          // rejected with status 409
)

// Listener holds the settings of an address on which the gateway accepts client connections.
type Listener struct {
	Name     string
	Address  string
	MaxConns int
	// TrustsForwarded makes the gateway append to the X-Forwarded-For header that clients send. Otherwise the header is replaced.
	TrustsForwarded bool
	Admission       admission.Policy
	TLS             *TLS // nil: no TLS
}

// Error holds all errors of a file.
type Error struct {
	Diagnostics hcl.Diagnostics
	files       map[string]*hcl.File
}

// Error returns the errors, one per line.
func (e *Error) Error() string {
	var b strings.Builder
	for i, d := range e.Diagnostics {
		if i > 0 {
			b.WriteByte('\n')
		}
		if d.Subject != nil {
			fmt.Fprintf(&b, "%s:%d:%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		fmt.Fprintf(&b, "%s: %s", d.Summary, d.Detail)
	}
	return b.String()
}

// Text returns the errors, each with the lines of the file to which it refers.
func (e *Error) Text() string {
	var b bytes.Buffer
	_ = hcl.NewDiagnosticTextWriter(&b, e.files, textWidth, false).WriteDiagnostics(e.Diagnostics) // a write to a buffer cannot fail
	return b.String()
}

const (
	maxFileBytes = 64 << 20
	textWidth    = 100 // width of the lines that Error.Text returns, in columns
)

// Load reads a configuration file. Errors in its content are returned as an *Error.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("config: %s: over %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return Parse(text, path)
}

// Parse parses the text of a configuration file. The name is the file's path: it appears in errors, and relative paths in the text are
// resolved against its folder.
func Parse(text []byte, name string) (*File, error) {
	parsed, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, &Error{diags, map[string]*hcl.File{name: parsed}}
	}
	p := &parser{folder: filepath.Dir(name), names: map[string]map[string]hcl.Range{}}
	f := p.file(parsed.Body)
	if p.diags.HasErrors() {
		sort.SliceStable(p.diags, func(i, j int) bool {
			a, b := p.diags[i].Subject, p.diags[j].Subject
			return a != nil && b != nil && a.Start.Byte < b.Start.Byte
		})
		return nil, &Error{p.diags, map[string]*hcl.File{name: parsed}}
	}
	if f.Fleet != nil && f.Fleet.Versions {
		var err error
		if f.Fingerprint, err = fingerprintOf(parsed.Body.(*hclsyntax.Body)); err != nil {
			return nil, err
		}
	}
	return f, nil
}
