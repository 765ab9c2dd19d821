// Package bootstrap holds the settings of an xDS client, and reads the bootstrap files that gRPC's xDS clients share.
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
	File       string // a response in protobuf JSON that is replaced atomically; used in place of an address
	Insecure   bool   // no TLS
	TLS        certs.Files
	ServerName string // that its certificate must be valid for; empty: the host of the address
}

// Options are the settings of an xDS client.
type Options struct {
	ControlPlanes []ControlPlane // the preferred one first
	Node          Node
	Variant       ads.Variant
	Wildcard      bool // all clusters are subscribed to, not only those in use
	Selection     selection.Timing

	DeferTime       time.Duration // for which an older update is deferred
	ResourceTimeout time.Duration // after which a resource that was requested and did not come does not exist
	KeepaliveTime   time.Duration // after which a silent connection is pinged
	MaxMessageBytes int
	StateFile       string // of the last good state; empty: none
}

// Node identifies this process to control planes.
type Node struct {
	ID, Cluster           string
	Region, Zone, SubZone string
}

// Config is the content of a bootstrap file.
type Config struct {
	ControlPlanes []ControlPlane
	Node          Node
}

// file is the bootstrap form (JSON with xds_servers and node, gRFC A27). Other fields are ignored.
type file struct {
	Servers []server `json:"xds_servers"`
	Node    struct {
		ID       string `json:"id"`
		Cluster  string `json:"cluster"`
		Locality struct {
			Region  string `json:"region"`
			Zone    string `json:"zone"`
			SubZone string `json:"sub_zone"`
		} `json:"locality"`
	} `json:"node"`
}

type server struct {
	URI         string              `json:"server_uri"`
	Credentials []serverCredentials `json:"channel_creds"`
	Features    []string            `json:"server_features"`
}

type serverCredentials struct {
	Type   string `json:"type"`
	Config struct {
		Certificate string `json:"certificate_file"`
		Key         string `json:"private_key_file"`
		Authority   string `json:"ca_certificate_file"`
	} `json:"config"`
}

// Parse reads a bootstrap file. Relative paths in it are resolved against the folder.
func Parse(text []byte, folder string) (Config, error) {
	var parsed file
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Config{}, err
	}
	n := parsed.Node
	config := Config{Node: Node{n.ID, n.Cluster, n.Locality.Region, n.Locality.Zone, n.Locality.SubZone}}
	for i, s := range parsed.Servers {
		controlPlane, err := s.controlPlane(folder)
		if err != nil {
			return config, fmt.Errorf("xds_servers[%d].%w", i, err)
		}
		config.ControlPlanes = append(config.ControlPlanes, controlPlane)
	}
	if len(config.ControlPlanes) == 0 {
		return config, errors.New("no xds_servers")
	}
	return config, nil
}

// controlPlane checks a server. An error begins with the name of the field.
func (s server) controlPlane(folder string) (ControlPlane, error) {
	p := ControlPlane{Name: s.URI, Address: strings.TrimPrefix(s.URI, "dns:///")}
	if host, port, err := net.SplitHostPort(p.Address); err != nil || host == "" || port == "" {
		return p, fmt.Errorf("server_uri: %q is no address and port", s.URI)
	}
	if err := s.addCredentials(&p, folder); err != nil {
		return p, err
	}
	if len(s.Features) > 0 && !slices.Contains(s.Features, "xds_v3") {
		return p, errors.New("server_features: without \"xds_v3\", and version 3 alone is spoken")
	}
	return p, nil
}

// addCredentials uses the first credentials of a supported type.
func (s server) addCredentials(p *ControlPlane, folder string) error {
	for _, c := range s.Credentials {
		switch c.Type {
		case "insecure":
			p.Insecure = true
			return nil
		case "tls":
			p.TLS = certs.Files{
				Certificate: resolve(folder, c.Config.Certificate),
				Key:         resolve(folder, c.Config.Key),
				Authority:   resolve(folder, c.Config.Authority),
			}
			if (p.TLS.Certificate == "") != (p.TLS.Key == "") {
				return errors.New("channel_creds: certificate_file and private_key_file go together")
			}
			return nil
		}
	}
	return errors.New("channel_creds: none of \"tls\" and \"insecure\"")
}

// resolve returns a path relative to the folder; empty and absolute paths stay.
func resolve(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}
