package bootstrap

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	t.Parallel()
	const insecure = `"channel_creds": [{"type": "insecure"}]`
	for name, c := range map[string]struct{ text, want string }{
		"insecure":                 {`{"xds_servers": [{"server_uri": "dns:///plane:1", ` + insecure + `}]}`, ""},
		"not JSON":                 {`{`, "unexpected end of JSON input"},
		"no servers":               {`{}`, "no xds_servers"},
		"no port":                  {`{"xds_servers": [{"server_uri": "plane", ` + insecure + `}]}`, `xds_servers[0].server_uri: "plane" is no address and port`},
		"no supported credentials": {`{"xds_servers": [{"server_uri": "plane:1"}]}`, "xds_servers[0].channel_creds: none of"},
		"certificate without key": {`{"xds_servers": [{"server_uri": "plane:1", "channel_creds": [{"type": "tls", "config": {"certificate_file": "c"}}]}]}`,
			"xds_servers[0].channel_creds: certificate_file and private_key_file go together"},
		"version 2 alone": {`{"xds_servers": [{"server_uri": "plane:1", "server_features": ["xds_v2"], ` + insecure + `}]}`, "xds_servers[0].server_features"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config, err := Parse([]byte(c.text), "/etc")
			if c.want == "" {
				if err != nil || len(config.ControlPlanes) != 1 || !config.ControlPlanes[0].Insecure || config.ControlPlanes[0].Address != "plane:1" {
					t.Errorf("got %+v, %v", config, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one with %q", err, c.want)
			}
		})
	}
}
