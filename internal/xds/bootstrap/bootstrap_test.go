package bootstrap

import (
	"strings"
	"testing"
)

func TestParseAcceptsValidAndRejectsInvalidBootstrapFiles(t *testing.T) {
	t.Parallel()
	const insecure = `"channel_creds": [{"type": "insecure"}]`
	for name, c := range map[string]struct{ text, wantError string }{
		"insecure":                 {`{"xds_servers": [{"server_uri": "dns:///plane:1", ` + insecure + `}]}`, ""},
		"not JSON":                 {`{`, "unexpected end of JSON input"},
		"no servers":               {`{}`, "no xds_servers"},
		"no port":                  {`{"xds_servers": [{"server_uri": "plane", ` + insecure + `}]}`, `xds_servers[0].server_uri: "plane" is not of the form host:port`},
		"no supported credentials": {`{"xds_servers": [{"server_uri": "plane:1"}]}`, "xds_servers[0].channel_creds: no supported type; expected"},
		"certificate without key": {`{"xds_servers": [{"server_uri": "plane:1", "channel_creds": [{"type": "tls", "config": {"certificate_file": "c"}}]}]}`,
			"xds_servers[0].channel_creds: certificate_file and private_key_file must be set together"},
		"version 2 alone": {`{"xds_servers": [{"server_uri": "plane:1", "server_features": ["xds_v2"], ` + insecure + `}]}`, "xds_servers[0].server_features"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config, err := Parse([]byte(c.text), "/etc")
			if c.wantError == "" {
				if err != nil || len(config.ControlPlanes) != 1 || !config.ControlPlanes[0].Insecure || config.ControlPlanes[0].Address != "plane:1" {
					t.Errorf("got config %+v, error %v; want one insecure control plane at plane:1", config, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.wantError) {
				t.Errorf("got error %v, want one that contains %q", err, c.wantError)
			}
		})
	}
}
