# A sample of a gateway whose clusters a control plane tells, in Envoy's xDS form. The program must be built with the tag xds:
# go build -tags xds -o bin/ ./cmd/silvertrail. docs/OPERATING.md ("Control planes") and docs/XDS.md explain it. A control plane for a
# trial: silvertrail xds serve deploy/xds-clusters.json
process {
  zones   = ["sala-centro", "sala-norte"]
  zone    = "sala-centro"
  control = "silvertrail.sock"
}

xds {
  node    = "portal-1"
  variant = "delta" # or "whole": the state of the world
  state   = "silvertrail.xds" # the last good state, for a start without any control plane

  plane "first" { # the first one is listened to as long as it can be
    address = "127.0.0.1:18000"
    plain   = true
  }
  plane "second" {
    address     = "127.0.0.1:18001"
    authority   = "planes.pem"
    certificate = "portal.pem"
    key         = "portal.key"
    host        = "planes.example"
  }
}

class "consulta" {
  aim      = "2s"
  deadline = "5s"
  effect   = "safe"
}

listener "public" {
  address = "127.0.0.1:8080"
}

cluster "portal" {
  xds {
    resource = "portal" # the cluster's name where it is not told
    level    = 0        # this level of failover alone; not told: all, as their health has it
  }
}

cluster "portal-next" {
  xds {
    resource = "portal"
    level    = 1
  }
}

route "all" {
  class    = "consulta"
  cluster  = "portal"
  failover = "portal-next"
}
