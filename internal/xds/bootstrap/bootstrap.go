package bootstrap

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"silvertrail/internal/edge/certs"
	"silvertrail/internal/xds/ads"
	"silvertrail/internal/xds/selection"
)

// ControlPlane is a control plane: an address, or a file.
type ControlPlane struct {
	Name       string
	Address    string // host and port
	File       string // a response in protobuf JSON, which is replaced atomically; told in place of an address
	Insecure   bool   // no TLS
	TLS        certs.Files
	ServerName string // that its certificate must be for; empty: that of the address
}

// Options are what is told of the control planes.
type Options struct {
	ControlPlanes []ControlPlane
	Node          Node
	Variant       ads.Variant
	Wildcard      bool // all clusters are subscribed to, not only those in use
	Selection     selection.Timing

	DeferTime       time.Duration // for which an old word is held off
	ResourceTimeout time.Duration // after which what was asked for and did not come does not exist
	KeepaliveTime   time.Duration // after which a silent connection is asked for a sign of life
	MaxMessageBytes int           // bytes
	StateFile       string        // file of the last good state; empty: none
}

// Node is what this process calls itself.
type Node struct {
	ID, Cluster           string
	Region, Zone, SubZone string
}

// Config is what a bootstrap file tells.
type Config struct {
	ControlPlanes []ControlPlane
	Node          Node
}

// Parse reads the bootstrap form that gRPC's xDS clients share (JSON with xds_servers and node). Paths are taken from the
// folder. What it tells beside that is passed over.
func Parse(text []byte, folder string) (b Config, err error) {
	var raw struct {
		Servers []struct {
			URI   string `json:"server_uri"`
			Creds []struct {
				Type   string `json:"type"`
				Config struct {
					Certificate string `json:"certificate_file"`
					Key         string `json:"private_key_file"`
					Authority   string `json:"ca_certificate_file"`
				} `json:"config"`
			} `json:"channel_creds"`
			Features []string `json:"server_features"`
		} `json:"xds_servers"`
		Node struct {
			ID       string `json:"id"`
			Cluster  string `json:"cluster"`
			Locality struct {
				Region  string `json:"region"`
				Zone    string `json:"zone"`
				SubZone string `json:"sub_zone"`
			} `json:"locality"`
		} `json:"node"`
	}
	if err = json.Unmarshal(text, &raw); err != nil {
		return b, err
	}
	n := raw.Node
	b.Node = Node{n.ID, n.Cluster, n.Locality.Region, n.Locality.Zone, n.Locality.SubZone}
	path := func(p string) string {
		if p == "" || filepath.IsAbs(p) {
			return p
		}
		return filepath.Join(folder, p)
	}
	for i, s := range raw.Servers {
		here := fmt.Sprintf("xds_servers[%d]", i)
		p := ControlPlane{Name: s.URI, Address: strings.TrimPrefix(s.URI, "dns:///")}
		if host, port, err := net.SplitHostPort(p.Address); err != nil || host == "" || port == "" {
			return b, fmt.Errorf("%s.server_uri: %q is no address and port", here, s.URI)
		}
		found := false
		for _, c := range s.Creds { // the first that is known counts
			switch c.Type {
			case "insecure":
				p.Insecure, found = true, true
			case "tls":
				found = true
				p.TLS = certs.Files{Certificate: path(c.Config.Certificate), Key: path(c.Config.Key), Authority: path(c.Config.Authority)}
				if (p.TLS.Certificate == "") != (p.TLS.Key == "") {
					return b, fmt.Errorf("%s.channel_creds: certificate_file and private_key_file go together", here)
				}
			}
			if found {
				break
			}
		}
		if !found {
			return b, fmt.Errorf("%s.channel_creds: none of \"tls\" and \"insecure\"", here)
		}
		if len(s.Features) > 0 && !slices.Contains(s.Features, "xds_v3") {
			return b, fmt.Errorf("%s.server_features: without \"xds_v3\", and version 3 alone is spoken", here)
		}
		b.ControlPlanes = append(b.ControlPlanes, p)
	}
	if len(b.ControlPlanes) == 0 {
		return b, errors.New("no xds_servers")
	}
	return b, nil
}
