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

// ControlPlane describes where resources come from: a control-plane server, or a file.
type ControlPlane struct {
	Name       string
	Address    string // host and port
	File       string // path of a response in protobuf JSON, which is replaced atomically; used in place of Address
	Insecure   bool   // connects without TLS
	TLS        certs.Files
	ServerName string // the name that the server certificate must be valid for; empty: the host of Address
}

// Options are the settings of an xDS client.
type Options struct {
	ControlPlanes []ControlPlane // in order of preference
	Node          Node
	Variant       ads.Variant
	Wildcard      bool // subscribes to all clusters, not only to those in use
	Selection     selection.Timing

	DeferTime       time.Duration // how long an older update is deferred
	ResourceTimeout time.Duration // a requested resource that is not received within this time is treated as nonexistent
	KeepaliveTime   time.Duration // idle time of a connection before it is pinged
	MaxMessageBytes int
	StateFile       string // path of the file that holds the last good state; empty: no file
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

// file is the bootstrap file format: JSON with xds_servers and node (gRFC A27). Other fields are ignored.
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

// Parse parses the content of a bootstrap file. Relative paths in the file are resolved against folder.
func Parse(text []byte, folder string) (Config, error) {
	var parsed file
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Config{}, err
	}
	n := parsed.Node
	config := Config{Node: Node{n.ID, n.Cluster, n.Locality.Region, n.Locality.Zone, n.Locality.SubZone}}
	for i, s := range parsed.Servers {
		controlPlane, err := s.toControlPlane(folder)
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

// toControlPlane validates a server entry and converts it. Each error begins with the name of the invalid field.
func (s server) toControlPlane(folder string) (ControlPlane, error) {
	p := ControlPlane{Name: s.URI, Address: strings.TrimPrefix(s.URI, "dns:///")}
	if host, port, err := net.SplitHostPort(p.Address); err != nil || host == "" || port == "" {
		return p, fmt.Errorf("server_uri: %q is not of the form host:port", s.URI)
	}
	if err := s.addCredentials(&p, folder); err != nil {
		return p, err
	}
	if len(s.Features) > 0 && !slices.Contains(s.Features, "xds_v3") {
		return p, errors.New("server_features: \"xds_v3\" is missing, and only xDS version 3 is supported")
	}
	return p, nil
}

// addCredentials sets the first credentials of a supported type on the control plane.
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
				return errors.New("channel_creds: certificate_file and private_key_file must be set together")
			}
			return nil
		}
	}
	return errors.New("channel_creds: no supported type; expected \"tls\" or \"insecure\"")
}

// resolve joins a relative path to folder. Empty and absolute paths are returned unchanged.
func resolve(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}
