package conf

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"silvertrail/internal/fleet"
	"silvertrail/lbpolicy"
)

// keyBytes is the length of a fleet's keys (AES-256).
const keyBytes = 32

// maxVoters is the maximum number of voters. Every voter is asked about each request with an idempotency key.
const maxVoters = 9

// fleetBlock reads the fleet block, or returns nil where there is none.
func (p *parser) fleetBlock(blocks hcl.Blocks, f *File) *fleet.Options {
	if len(blocks) == 0 {
		return nil
	}
	p.atMostOne(blocks)
	b := blocks[0]
	s := p.decodeBlock("fleet "+quote(b.Labels[0]), b.DefRange, b.Body, []string{"name", "listen", "advertise", "seeds", "keyring", "voters",
		"members", "new", "views", "versions", "taking"}, nil)
	s.require("name", "listen", "keyring")
	options := &fleet.Options{
		FleetName:      b.Labels[0],
		Name:           s.text("name", ""),
		Listen:         s.text("listen", ""),
		Advertise:      s.text("advertise", ""),
		MaxMembers:     s.integer("members", 128, 1, maxFleetSize),
		MaxKeys:        f.Process.MaxKeys,
		NewFleet:       s.boolean("new"),
		Views:          s.boolean("views"),
		Versions:       s.boolean("versions"),
		RolloutTimeout: s.duration("taking", 10*time.Second, time.Second, time.Hour),
	}
	if options.Versions && !options.Views {
		s.report(s.rangeOf("versions"), "Views needed", "\"versions\" goes with \"views = true\" alone: who is in has to be agreed on.")
	}
	for _, name := range []string{"listen", "advertise"} {
		if _, err := netip.ParseAddrPort(s.text(name, "")); err != nil && s.has(name) {
			s.report(s.rangeOf(name), "Not an address", "%q is no IP address and port, such as \"10.0.0.5:7946\".", s.text(name, ""))
		}
	}
	options.Seeds = p.seeds(s)
	options.Voters = p.voters(s)
	setKeyTimes(options, f.Classes)
	if s.has("keyring") {
		var err error
		if options.Keyring, err = readKeyring(p.path(s, "keyring")); err != nil {
			s.report(s.rangeOf("keyring"), "Unusable keyring", "%s.", err)
		}
	}
	return options
}

func (p *parser) seeds(s *block) (seeds []string) {
	for _, l := range s.list("seeds") {
		if host, port, err := net.SplitHostPort(l.text); err != nil || host == "" || port == "" {
			p.report(l.at, "Not an address", "%q is no address and port.", l.text)
		}
		seeds = append(seeds, l.text)
	}
	return seeds
}

func (p *parser) voters(s *block) (voters []string) {
	for _, l := range s.list("voters") {
		if l.text == "" || slices.Contains(voters, l.text) {
			p.report(l.at, "Named twice", "%q is empty or a voter already.", l.text)
		}
		voters = append(voters, l.text)
	}
	if n := len(voters); n > maxVoters {
		s.report(s.rangeOf("voters"), "Too many voters", "%d voters are asked for each keyed request; 9 is the most, 3 or 5 are usual.", n)
	}
	return voters
}

// setKeyTimes sets the maximum deadline of requests with idempotency keys, and the retention of their keys.
func setKeyTimes(options *fleet.Options, classes []Class) {
	options.MaxDeadline = time.Second
	options.KeyRetention = time.Second
	for _, c := range classes {
		if c.Effect == lbpolicy.KeyedIdempotent {
			options.MaxDeadline = max(options.MaxDeadline, c.Deadline)
			options.KeyRetention = max(options.KeyRetention, 2*c.Deadline+c.Window+c.Retention)
		}
	}
}

// NewKey returns a new random key in the base64 form of keyring files.
func NewKey() (string, error) {
	key := make([]byte, keyBytes)
	if _, err := rand.Read(key); err != nil {
		return "", fmt.Errorf("key: %w", err)
	}
	return base64.StdEncoding.EncodeToString(key), nil
}

// readKeyring reads a file of keys in base64, one per line. The first key encrypts; the others only decrypt.
func readKeyring(path string) (keys [][]byte, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil || len(key) != keyBytes {
			return nil, fmt.Errorf("%s, line %d: not %d bytes in base64", filepath.Base(path), i+1, keyBytes)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: no key", filepath.Base(path))
	}
	return keys, nil
}
